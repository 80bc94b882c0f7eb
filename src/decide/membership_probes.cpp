#include "decide/membership_probes.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "decide/membership_groups.hpp"
#include "decide/membership_packets.hpp"

namespace caraway::swim {
namespace {

// Probes under way, those for other nodes included; more ping requests are dropped.
constexpr std::size_t max_probes = 256;
// Timers handled per tick. A whole data centre that is suspected at once is spread over some ticks.
constexpr std::size_t max_timers_per_tick = 256;
// Checks of such claims per probe interval.
constexpr int claims_per_interval = 4;
// Dead members are pinged once in this many probe intervals, in case a partition healed.
constexpr int gone_ping_intervals = 5;
// Members gone for less than this are pinged in every interval, some at a time: one that restarts
// at its address then finds the others, also when the store can't name them.
constexpr milliseconds restart_time{60'000};
constexpr std::size_t restart_pings = 4;
constexpr std::size_t restart_scan = 512;
// Entries looked at per search for a dead member.
constexpr std::size_t gone_scan = 64;
// With a share of one in this many dead members the table may be one side of a partition.
constexpr std::size_t mass_loss_share = 10;
constexpr std::size_t least_mass_loss = 2;
// A dead member kept because many are dead is looked at this often.
constexpr milliseconds retention_check{60'000};
// Probes per interval of a data centre of which a member has not answered, and for how long after
// the last such probe.
constexpr int doubt_probes_per_interval = 4;
constexpr milliseconds doubt_time{5'000};
// A gap between ticks longer than this means that the process was paused.
constexpr milliseconds pause_threshold{1'000};

// Pings the target, with the claim if there is one, and waits for its ack.
void start_probe(membership_table& table, const tracked_member& target,
                 const std::optional<member>& claim, time_point now, actions& out) {
    if (table.m_probes.size() >= max_probes) {
        return;
    }
    probe started;
    started.m_target = target.m_member.m_instance;
    started.m_sequence = table.m_next_sequence++;
    started.m_sent = now;
    started.m_timeout = lengthened(table, table.m_options.m_probe_timeout);
    started.m_limit = lengthened(table, table.m_options.m_probe_interval);
    send_ping(table, target, started.m_sequence, claim, out);
    table.m_probes.push_back(std::move(started));
}

// Asks some members to ping the target on this node's behalf.
void ask_indirect(membership_table& table, probe& waiting, time_point now, actions& out) {
    waiting.m_indirect = true;
    for (const tracked_member* each :
         pick_members(table, table.m_options.m_indirect_probes, waiting.m_target)) {
        packet request = make_packet(table, packet_kind::ping_request, waiting.m_target);
        request.m_sequence = waiting.m_sequence;
        packet_filler filler = start_filling(request);
        add_news(table, filler, now);
        send(each->m_member.m_udp, std::move(request), out);
        ++waiting.m_relays;
    }
}

// Makes a suspicion this node's own: the target is pinged with the accusation once per probe
// interval, and is declared dead after the given time unless it refutes.
void accuse(membership_table& table, tracked_member& suspect, milliseconds time, time_point now,
            actions& out) {
    if (suspect.m_accused) {
        return;
    }
    suspect.m_accused = true;
    suspect.m_suspect_until = std::min(*suspect.m_suspect_until, now + time);
    table.m_timers.emplace(*suspect.m_suspect_until, suspect.m_member.m_instance);
    table.m_timers.emplace(now + table.m_options.m_probe_interval, suspect.m_member.m_instance);
    send_ping(table, suspect, 0, std::nullopt, out);
}

// The probe failed: the target is suspected. If none of the relays answered either, the fault may
// be this node's own.
void fail_probe(membership_table& table, const probe& failed, time_point now, actions& out) {
    if (failed.m_relays > 0 && failed.m_relays_confirmed == 0) {
        worsen_local_health(table);
    }
    tracked_member* target = find_tracked(table, failed.m_target);
    if (target == nullptr || !is_live(target->m_member.m_state)) {
        return;
    }
    if (target->m_member.m_state == member_state::alive) {
        set_entry(table, *target, member_state::suspect, now);
        queue_update(table, *target);
        queue_for_others(table, *target);
        report_change(target->m_member.m_instance, out);
    }
    if (is_remote(table, target->m_member)) {
        table.m_doubted_centre = target->m_member.m_data_centre;
        table.m_doubted_until = now + doubt_time;
    }
    accuse(table, *target, suspicion_time(table), now, out);
}

// Handles a due timer of a suspect. Hearsay that nobody has settled becomes an accusation of this
// node's own, with time for two more pings. Returns whether the member is dead.
bool judge_suspect(membership_table& table, tracked_member& suspect, time_point now, actions& out) {
    const std::string& name = suspect.m_member.m_instance;
    const milliseconds interval = table.m_options.m_probe_interval;
    if (now < *suspect.m_suspect_until) {
        if (suspect.m_accused) {
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
    if (!suspect.m_accused) {
        const milliseconds time = lengthened(table, interval) * 2;
        suspect.m_suspect_until = now + time;
        accuse(table, suspect, time, now, out);
        return false;
    }
    return true;
}

// How long the gone member is kept. Dead ones are kept longer while many are dead.
duration retention_of(const membership_table& table, const tracked_member& tracked) {
    const bool mass_loss = table.m_dead >= least_mass_loss &&
                           table.m_dead * mass_loss_share >= table.m_live + 1 + table.m_dead;
    return mass_loss && tracked.m_counted_dead ? table.m_options.m_mass_loss_retention
                                               : table.m_options.m_dead_retention;
}

} // namespace

void note_pause(membership_table& table, time_point now) {
    if (now - table.m_last_tick > pause_threshold) {
        // Acks and refutations of the pause still wait in the socket; judge nobody before they are
        // read.
        std::erase_if(table.m_probes, [](const probe& each) { return !each.m_relay; });
        table.m_no_death_before = now + table.m_options.m_probe_interval * 2;
    }
    table.m_last_tick = now;
}

void advance_probes(membership_table& table, time_point now, actions& out) {
    std::vector<probe> failed;
    for (std::size_t i = 0; i < table.m_probes.size();) {
        probe& each = table.m_probes[i];
        const duration waited = now - each.m_sent;
        if (waited >= each.m_limit) {
            if (!each.m_relay) {
                failed.push_back(std::move(each));
            }
            // The order of the probes under way has no meaning.
            if (i + 1 < table.m_probes.size()) {
                table.m_probes[i] = std::move(table.m_probes.back());
            }
            table.m_probes.pop_back();
            continue;
        }
        if (!each.m_relay && !each.m_indirect && waited >= each.m_timeout) {
            ask_indirect(table, each, now, out);
        }
        ++i;
    }
    for (const probe& each : failed) {
        fail_probe(table, each, now, out);
    }
}

// A timer whose member has changed state since is ignored.
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
            if (judge_suspect(table, *tracked, now, out)) {
                set_entry(table, *tracked, member_state::dead, now);
                queue_update(table, *tracked);
                queue_for_others(table, *tracked);
                report_change(name, out);
            }
            continue;
        }
        if (!tracked->m_gone_since) {
            continue;
        }
        const duration gone = now - *tracked->m_gone_since;
        const duration forgotten_after = retention_of(table, *tracked);
        const duration erased_after = forgotten_after + table.m_options.m_forgotten_retention;
        if (gone >= erased_after) {
            table.m_members.erase(name);
        } else if (gone < forgotten_after) {
            table.m_timers.emplace(now + retention_check, name);
        } else if (!tracked->m_forgotten) {
            tracked->m_forgotten = true;
            table.m_dead -= std::exchange(tracked->m_counted_dead, false) ? 1U : 0U;
            table.m_timers.emplace(*tracked->m_gone_since + erased_after, name);
            report_change(name, out);
        }
    }
}

// A carrier probes the other data centres. After a failed probe it looks at that data centre more
// closely for a while, since all of its members may be gone at once.
void probe_remote(membership_table& table, time_point now, actions& out) {
    if (now < table.m_next_remote_probe) {
        return;
    }
    const milliseconds interval = lengthened(table, table.m_options.m_probe_interval);
    table.m_next_remote_probe = now + interval;
    if (!is_carrier(table)) {
        return;
    }
    const bool doubted = now < table.m_doubted_until;
    if (doubted) {
        table.m_next_remote_probe = now + interval / doubt_probes_per_interval;
    }
    const std::string centre = doubted ? table.m_doubted_centre : std::string{};
    if (const tracked_member* target = next_remote_target(table, centre)) {
        start_probe(table, *target, std::nullopt, now, out);
    }
}

void probe_next(membership_table& table, time_point now, actions& out) {
    probe_remote(table, now, out);
    if (now < table.m_next_probe) {
        return;
    }
    table.m_next_probe = now + lengthened(table, table.m_options.m_probe_interval);
    if (const tracked_member* target = next_probe_target(table)) {
        start_probe(table, *target, std::nullopt, now, out);
    }
}

void check_claims(membership_table& table, time_point now, actions& out) {
    while (!table.m_claims.empty() && now >= table.m_next_claim) {
        const death_claim claim = std::move(table.m_claims.front());
        table.m_claims.pop_front();
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
        table.m_next_claim = now + table.m_options.m_probe_interval / claims_per_interval;
    }
}

// Pings members that went away lately, in case they are back: a search of bounded length for each
// interval, which goes on where the last one ended.
void ping_restarting_members(membership_table& table, time_point now, actions& out) {
    if (now < table.m_next_restart_ping) {
        return;
    }
    table.m_next_restart_ping = now + table.m_options.m_probe_interval;
    const auto& members = table.m_members;
    auto at = members.upper_bound(table.m_restart_cursor);
    std::size_t pings = 0;
    const bool carrier = is_carrier(table);
    for (std::size_t step = 0; step < std::min(restart_scan, members.size()); ++step, ++at) {
        at = at == members.end() ? members.begin() : at;
        const tracked_member& each = at->second;
        const bool lately = each.m_gone_since && now - *each.m_gone_since < restart_time;
        if (lately && (carrier || !is_remote(table, each.m_member)) &&
            has_addresses(each.m_member) && !each.m_forgotten) {
            table.m_restart_cursor = at->first;
            send_ping(table, each, 0, std::nullopt, out);
            if (++pings == restart_pings) {
                return;
            }
        }
    }
}

void ping_gone(membership_table& table, time_point now, actions& out) {
    ping_restarting_members(table, now, out);
    if (now < table.m_next_gone_ping) {
        return;
    }
    table.m_next_gone_ping = now + table.m_options.m_probe_interval * gone_ping_intervals;
    const auto& members = table.m_members;
    auto at = members.upper_bound(table.m_gone_cursor);
    const bool carrier = is_carrier(table);
    for (std::size_t step = 0; step < std::min(gone_scan, members.size()); ++step, ++at) {
        if (at == members.end()) {
            at = members.begin();
        }
        const tracked_member& each = at->second;
        if (each.m_member.m_state == member_state::dead && has_addresses(each.m_member) &&
            (carrier || !is_remote(table, each.m_member))) {
            table.m_gone_cursor = at->first;
            send_ping(table, each, 0, std::nullopt, out);
            return;
        }
    }
    table.m_gone_cursor = at == members.end() ? std::string{} : at->first;
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
    relayed.m_relay = from;
    relayed.m_relay_sequence = received.m_sequence;
    relayed.m_relay_instance = received.m_sender;
    send_ping(table, *target, relayed.m_sequence, std::nullopt, out);
    table.m_probes.push_back(std::move(relayed));
}

void settle_probe(membership_table& table, const packet& received, time_point now, actions& out) {
    const auto found =
        std::find_if(table.m_probes.begin(), table.m_probes.end(), [&received](const probe& each) {
            return each.m_sequence == received.m_sequence;
        });
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
    if (found->m_relay) {
        packet ack = received;
        ack.m_sequence = found->m_relay_sequence;
        ack.m_target = found->m_relay_instance;
        send(*found->m_relay, std::move(ack), out);
    } else if (!found->m_indirect) {
        table.m_local_health -= table.m_local_health > 0 ? 1 : 0;
    } else if (found->m_relays > 0 && found->m_relays_confirmed == 0) {
        // A late ack while the relays are silent too: this node is slow.
        worsen_local_health(table);
    }
    table.m_probes.erase(found);
}

} // namespace caraway::swim
