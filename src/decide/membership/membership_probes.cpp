#include "decide/membership/membership_probes.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "decide/membership/membership_groups.hpp"
#include "decide/membership/membership_packets.hpp"

namespace caraway::swim {
namespace {

// Maximum number of probes in progress, including those for other nodes; further ping requests are
// dropped.
constexpr std::size_t max_probes = 256;
// Maximum number of timers handled per tick, so that the suspicion of a whole data centre is spread
// over several ticks.
constexpr std::size_t max_timers_per_tick = 256;
// Verifications of death claims per probe interval.
constexpr int claim_checks_per_interval = 4;
// One dead member is pinged in this many probe intervals, to detect that a partition healed.
constexpr int dead_ping_intervals = 5;
// Members that have been dead or left for less than this are pinged in every interval, a limited
// number at a time. A member that restarts at its address then finds the others even if the store
// cannot provide their addresses.
constexpr milliseconds restart_window{60'000};
constexpr std::size_t restart_pings_per_interval = 4;
// Maximum number of entries inspected per search for such members.
constexpr std::size_t max_restart_scan = 512;
// Entries inspected per search for a dead member.
constexpr std::size_t max_dead_scan = 64;
// If at least one in this many members is dead, and at least min_mass_loss members are, the table
// may be one side of a partition.
constexpr std::size_t mass_loss_divisor = 10;
constexpr std::size_t min_mass_loss = 2;
// Interval between retention checks of a dead member that is kept longer because many are dead.
constexpr milliseconds retention_check_interval{60'000};
// Number of probes per interval that a gateway sends to a data centre in which a member did not
// answer, and the time for which this rate applies after the last failed probe.
constexpr int unresponsive_probes_per_interval = 4;
constexpr milliseconds unresponsive_time{5'000};
// A longer gap between ticks means that the process was paused.
constexpr milliseconds pause_threshold{1'000};

// Pings the target, including the claim if there is one, and registers the probe.
void start_probe(membership_table& table, const tracked_member& target,
                 const std::optional<member>& claim, time_point now, actions& out) {
    if (table.m_probes.size() >= max_probes) {
        return;
    }
    probe started;
    started.m_target = target.m_member.m_instance;
    started.m_sequence = table.m_next_sequence++;
    started.m_sent = now;
    started.m_timeout = scaled_by_local_health(table, table.m_options.m_probe_timeout);
    started.m_limit = scaled_by_local_health(table, table.m_options.m_probe_interval);
    send_ping(table, target, started.m_sequence, claim, out);
    table.m_probes.push_back(std::move(started));
}

// Asks some members of the local group to ping the target for this node.
void request_indirect_probes(membership_table& table, probe& waiting, time_point now,
                             actions& out) {
    waiting.m_indirect = true;
    for (const tracked_member* relay :
         pick_members(table, table.m_options.m_indirect_probes, waiting.m_target)) {
        packet request = make_packet(table, packet_kind::ping_request, waiting.m_target);
        request.m_sequence = waiting.m_sequence;
        packet_filler filler = start_filling(request);
        add_self_and_updates(table, filler, now);
        send(relay->m_member.m_udp, std::move(request), out);
        ++waiting.m_relays;
    }
}

// Turns a suspicion into this node's own: pings the target with the suspicion once per probe
// interval and declares it dead after the timeout unless it refutes.
void start_own_suspicion(membership_table& table, tracked_member& suspect, milliseconds timeout,
                         time_point now, actions& out) {
    if (suspect.m_suspected_locally) {
        return;
    }
    suspect.m_suspected_locally = true;
    suspect.m_suspect_until = std::min(*suspect.m_suspect_until, now + timeout);
    table.m_timers.emplace(*suspect.m_suspect_until, suspect.m_member.m_instance);
    table.m_timers.emplace(now + table.m_options.m_probe_interval, suspect.m_member.m_instance);
    send_ping(table, suspect, 0, std::nullopt, out);
}

// Handles a probe without an ack: suspects the target. If none of the relays answered either, this
// node itself may be the cause.
void handle_failed_probe(membership_table& table, const probe& failed, time_point now,
                         actions& out) {
    if (failed.m_relays > 0 && failed.m_relays_confirmed == 0) {
        worsen_local_health(table);
    }
    tracked_member* target = find_tracked(table, failed.m_target);
    if (target == nullptr || !is_live(target->m_member.m_state)) {
        return;
    }
    if (target->m_member.m_state == member_state::alive) {
        change_state(table, *target, member_state::suspect, now);
        queue_update(table, *target);
        queue_remote_update(table, *target);
        report_member_change(target->m_member.m_instance, out);
    }
    if (is_remote(table, target->m_member)) {
        table.m_unresponsive_data_centre = target->m_member.m_data_centre;
        table.m_unresponsive_until = now + unresponsive_time;
    }
    start_own_suspicion(table, *target, suspicion_time(table), now, out);
}

// Handles a due timer of a suspect. Until the suspicion expires, pings the member again if this
// node suspects it itself. If a suspicion received from another node expires, this node starts its
// own, with time for two more pings. Returns true if the member must now be declared dead.
bool check_suspect(membership_table& table, tracked_member& suspect, time_point now, actions& out) {
    const std::string& name = suspect.m_member.m_instance;
    const milliseconds interval = table.m_options.m_probe_interval;
    if (now < *suspect.m_suspect_until) {
        if (suspect.m_suspected_locally) {
            send_ping(table, suspect, 0, std::nullopt, out);
            table.m_timers.emplace(now + interval, name);
        }
        return false;
    }
    if (now < table.m_no_death_before) {
        suspect.m_suspect_until = table.m_no_death_before;
        table.m_timers.emplace(*suspect.m_suspect_until, name);
        return false;
    }
    if (!suspect.m_suspected_locally) {
        const milliseconds timeout = scaled_by_local_health(table, interval) * 2;
        suspect.m_suspect_until = now + timeout;
        start_own_suspicion(table, suspect, timeout, now, out);
        return false;
    }
    return true;
}

// Returns how long a dead or left member is kept. Dead ones are kept longer while many are dead.
duration retention_time(const membership_table& table, const tracked_member& tracked) {
    const bool mass_loss = table.m_dead >= min_mass_loss &&
                           table.m_dead * mass_loss_divisor >= table.m_live + 1 + table.m_dead;
    return mass_loss && tracked.m_counted_dead ? table.m_options.m_mass_loss_retention
                                               : table.m_options.m_dead_retention;
}

} // namespace

void detect_pause(membership_table& table, time_point now) {
    if (now - table.m_last_tick > pause_threshold) {
        // Acks and refutations that arrived during the pause still wait in the socket; declare
        // nobody dead before they have been read.
        std::erase_if(table.m_probes,
                      [](const probe& pending) { return !pending.m_requester_address; });
        table.m_no_death_before = now + table.m_options.m_probe_interval * 2;
    }
    table.m_last_tick = now;
}

void advance_probes(membership_table& table, time_point now, actions& out) {
    std::vector<probe> failed;
    for (std::size_t i = 0; i < table.m_probes.size();) {
        probe& pending = table.m_probes[i];
        const duration waited = now - pending.m_sent;
        if (waited >= pending.m_limit) {
            if (!pending.m_requester_address) {
                failed.push_back(std::move(pending));
            }
            // The order of the probes in progress has no meaning.
            if (i + 1 < table.m_probes.size()) {
                table.m_probes[i] = std::move(table.m_probes.back());
            }
            table.m_probes.pop_back();
            continue;
        }
        if (!pending.m_requester_address && !pending.m_indirect && waited >= pending.m_timeout) {
            request_indirect_probes(table, pending, now, out);
        }
        ++i;
    }
    for (const probe& failed_probe : failed) {
        handle_failed_probe(table, failed_probe, now, out);
    }
}

// A timer of a member that has changed its state since is ignored.
void expire_timers(membership_table& table, time_point now, actions& out) {
    for (std::size_t handled = 0; handled < max_timers_per_tick && !table.m_timers.empty() &&
                                  table.m_timers.begin()->first <= now;
         ++handled) {
        const std::string name = std::move(table.m_timers.begin()->second);
        table.m_timers.erase(table.m_timers.begin());
        tracked_member* tracked = find_tracked(table, name);
        if (tracked == nullptr) {
            continue;
        }
        if (tracked->m_suspect_until) {
            if (check_suspect(table, *tracked, now, out)) {
                change_state(table, *tracked, member_state::dead, now);
                queue_update(table, *tracked);
                queue_remote_update(table, *tracked);
                report_member_change(name, out);
            }
            continue;
        }
        if (!tracked->m_gone_since) {
            continue;
        }
        const duration gone_for = now - *tracked->m_gone_since;
        const duration tombstone_after = retention_time(table, *tracked);
        const duration erased_after = tombstone_after + table.m_options.m_tombstone_retention;
        if (gone_for >= erased_after) {
            table.m_members.erase(name);
        } else if (gone_for < tombstone_after) {
            table.m_timers.emplace(now + retention_check_interval, name);
        } else if (!tracked->m_is_tombstone) {
            tracked->m_is_tombstone = true;
            table.m_dead -= std::exchange(tracked->m_counted_dead, false) ? 1U : 0U;
            table.m_timers.emplace(*tracked->m_gone_since + erased_after, name);
            report_member_change(name, out);
        }
    }
}

// On a gateway, probes the other data centres. After a failed probe it probes that data centre more
// often for a while, since all of its members may have failed together.
void probe_remote(membership_table& table, time_point now, actions& out) {
    if (now < table.m_next_remote_probe) {
        return;
    }
    const milliseconds interval = scaled_by_local_health(table, table.m_options.m_probe_interval);
    table.m_next_remote_probe = now + interval;
    if (!is_gateway(table)) {
        return;
    }
    const bool unresponsive = now < table.m_unresponsive_until;
    if (unresponsive) {
        table.m_next_remote_probe = now + interval / unresponsive_probes_per_interval;
    }
    const std::string data_centre = unresponsive ? table.m_unresponsive_data_centre : std::string{};
    if (const tracked_member* target = next_remote_target(table, data_centre)) {
        start_probe(table, *target, std::nullopt, now, out);
    }
}

void probe_next(membership_table& table, time_point now, actions& out) {
    probe_remote(table, now, out);
    if (now < table.m_next_probe) {
        return;
    }
    table.m_next_probe = now + scaled_by_local_health(table, table.m_options.m_probe_interval);
    if (const tracked_member* target = next_probe_target(table)) {
        start_probe(table, *target, std::nullopt, now, out);
    }
}

void check_death_claims(membership_table& table, time_point now, actions& out) {
    while (!table.m_death_claims.empty() && now >= table.m_next_claim_check) {
        const death_claim claim = std::move(table.m_death_claims.front());
        table.m_death_claims.pop_front();
        const tracked_member* target = find_tracked(table, claim.m_instance);
        if (target == nullptr || !has_addresses(target->m_member) ||
            target->m_member.m_incarnation > claim.m_incarnation) {
            continue;
        }
        member entry = shortened_entry(target->m_member);
        entry.m_incarnation = claim.m_incarnation;
        entry.m_state = member_state::dead;
        if (is_live(target->m_member.m_state)) {
            start_probe(table, *target, entry, now, out);
        } else {
            send_ping(table, *target, 0, entry, out);
        }
        table.m_next_claim_check =
            now + table.m_options.m_probe_interval / claim_checks_per_interval;
    }
}

// Pings members that were lost or left recently, in case they have restarted. Each search inspects
// a bounded number of entries and continues where the previous one ended.
void ping_restarting_members(membership_table& table, time_point now, actions& out) {
    if (now < table.m_next_restart_ping) {
        return;
    }
    table.m_next_restart_ping = now + table.m_options.m_probe_interval;
    const auto& members = table.m_members;
    auto position = members.upper_bound(table.m_restart_cursor);
    std::size_t pings = 0;
    const bool gateway = is_gateway(table);
    for (std::size_t step = 0; step < std::min(max_restart_scan, members.size());
         ++step, ++position) {
        position = position == members.end() ? members.begin() : position;
        const tracked_member& candidate = position->second;
        const bool recently_gone =
            candidate.m_gone_since && now - *candidate.m_gone_since < restart_window;
        if (recently_gone && (gateway || !is_remote(table, candidate.m_member)) &&
            has_addresses(candidate.m_member) && !candidate.m_is_tombstone) {
            table.m_restart_cursor = position->first;
            send_ping(table, candidate, 0, std::nullopt, out);
            if (++pings == restart_pings_per_interval) {
                return;
            }
        }
    }
}

void ping_dead_member(membership_table& table, time_point now, actions& out) {
    ping_restarting_members(table, now, out);
    if (now < table.m_next_dead_ping) {
        return;
    }
    table.m_next_dead_ping = now + table.m_options.m_probe_interval * dead_ping_intervals;
    const auto& members = table.m_members;
    auto position = members.upper_bound(table.m_dead_cursor);
    const bool gateway = is_gateway(table);
    for (std::size_t step = 0; step < std::min(max_dead_scan, members.size()); ++step, ++position) {
        if (position == members.end()) {
            position = members.begin();
        }
        const tracked_member& candidate = position->second;
        if (candidate.m_member.m_state == member_state::dead && has_addresses(candidate.m_member) &&
            (gateway || !is_remote(table, candidate.m_member))) {
            table.m_dead_cursor = position->first;
            send_ping(table, candidate, 0, std::nullopt, out);
            return;
        }
    }
    table.m_dead_cursor = position == members.end() ? std::string{} : position->first;
}

void relay_ping(membership_table& table, const packet& received, const ip_endpoint& from,
                time_point now, actions& out) {
    const tracked_member* target = find_tracked(table, received.m_target);
    if (target == nullptr || !has_addresses(target->m_member) ||
        table.m_probes.size() >= max_probes) {
        return;
    }
    packet confirmation = make_packet(table, packet_kind::ack, received.m_sender);
    confirmation.m_sequence = received.m_sequence;
    send(from, std::move(confirmation), out);
    probe relayed;
    relayed.m_target = received.m_target;
    relayed.m_sequence = table.m_next_sequence++;
    relayed.m_sent = now;
    relayed.m_limit = table.m_options.m_probe_interval;
    relayed.m_timeout = relayed.m_limit;
    relayed.m_requester_address = from;
    relayed.m_requester_sequence = received.m_sequence;
    relayed.m_requester = received.m_sender;
    send_ping(table, *target, relayed.m_sequence, std::nullopt, out);
    table.m_probes.push_back(std::move(relayed));
}

void handle_probe_ack(membership_table& table, const packet& received, time_point now,
                      actions& out) {
    const auto found = std::find_if(
        table.m_probes.begin(), table.m_probes.end(),
        [&received](const probe& pending) { return pending.m_sequence == received.m_sequence; });
    if (received.m_sequence == 0 || found == table.m_probes.end()) {
        return;
    }
    if (found->m_target != received.m_sender) {
        if (found->m_indirect && found->m_relays_confirmed < found->m_relays &&
            now - found->m_sent < found->m_timeout * 2) {
            ++found->m_relays_confirmed;
        }
        return;
    }
    if (found->m_requester_address) {
        packet ack = received;
        ack.m_sequence = found->m_requester_sequence;
        ack.m_target = found->m_requester;
        send(*found->m_requester_address, std::move(ack), out);
    } else if (!found->m_indirect) {
        table.m_local_health -= table.m_local_health > 0 ? 1 : 0;
    } else if (found->m_relays > 0 && found->m_relays_confirmed == 0) {
        // A late ack while the relays do not answer either indicates that this node is slow.
        worsen_local_health(table);
    }
    table.m_probes.erase(found);
}

} // namespace caraway::swim
