#include "decide/membership/membership.hpp"

#include <array>
#include <utility>

#include "decide/membership/membership_groups.hpp"
#include "decide/membership/membership_merge.hpp"
#include "decide/membership/membership_packets.hpp"
#include "decide/membership/membership_probes.hpp"
#include "decide/membership/membership_rumours.hpp"
#include "decide/membership/membership_table.hpp"

namespace caraway {
namespace {

using namespace swim;

// Minimum interval between reports of differing facts; one fetch repairs several differences.
constexpr milliseconds facts_differ_interval{1'000};

// Requests the sender's entry by a ping. The ping includes the sender's entry as known here, unless
// the packet has a higher incarnation, so that the sender can refute it.
void request_sender_entry(membership_table& table, const packet& received, const ip_endpoint& from,
                          const tracked_member* sender, time_point now, actions& out) {
    if (!take_token(table, table.m_reply_tokens, now)) {
        return;
    }
    packet ping = make_packet(table, packet_kind::ping, {});
    packet_filler filler = start_filling(ping);
    add_self(table, filler);
    if (sender != nullptr && sender->m_member.m_incarnation >= received.m_incarnation) {
        add_entry(filler, shortened_entry(sender->m_member));
    }
    send(from, std::move(ping), out);
}

// Merges the packet's header into the sender's entry. Returns whether the sender's entry is unknown
// here, older than the packet, or wrongly dead.
bool merge_sender_header(membership_table& table, const packet& received, time_point now,
                         actions& out) {
    tracked_member* sender = find_tracked(table, received.m_sender);
    if (sender == nullptr) {
        return true;
    }
    sender->m_highest_config_version =
        std::max(sender->m_highest_config_version, received.m_config_version);
    if (sender->m_member.m_incarnation > received.m_incarnation) {
        return false;
    }
    if (sender->m_member.m_incarnation < received.m_incarnation) {
        return true;
    }
    raise_config_version(*sender, received.m_config_version);
    if (!is_live(sender->m_member.m_state)) {
        return sender->m_member.m_state == member_state::dead;
    }
    const std::uint64_t held = std::max(received.m_held_version, received.m_config_version);
    if (held > sender->m_held_version) {
        sender->m_held_version = held;
        membership_action action;
        action.m_kind = membership_action::kind::version_reported;
        action.m_instance = received.m_sender;
        action.m_config_version = held;
        out.push_back(std::move(action));
    }
    if (received.m_facts_digest != table.m_facts_digest && now >= table.m_next_facts_differ) {
        table.m_next_facts_differ = now + facts_differ_interval;
        membership_action action;
        action.m_kind = membership_action::kind::facts_differ;
        action.m_instance = received.m_sender;
        out.push_back(std::move(action));
    }
    return false;
}

// Answers a ping. The ack includes this node's entry if the sender may lack it or may hold a
// different one.
void answer_ping(membership_table& table, const packet& received, const ip_endpoint& from,
                 bool sender_outdated, time_point now, actions& out) {
    packet ack = make_packet(table, packet_kind::ack, received.m_sender);
    ack.m_sequence = received.m_sequence;
    packet_filler filler = start_filling(ack);
    if (sender_outdated || received.m_target != table.m_self.m_instance ||
        is_announcing_self(table, now) || contains_entry(received, table.m_self.m_instance)) {
        add_self(table, filler);
    }
    const tracked_member* sender = find_tracked(table, received.m_sender);
    if (sender != nullptr && sender->m_member.m_state != member_state::alive &&
        sender->m_member.m_incarnation >= received.m_incarnation) {
        add_entry(filler, shortened_entry(sender->m_member));
    }
    if (sender == nullptr || !is_remote(table, sender->m_member)) {
        add_updates(table, filler);
    }
    send(from, std::move(ack), out);
}

// Intervals between comparisons of tables: with a random member of the local group, randomised by
// up to half in both directions, and on a gateway with a member of another data centre.
constexpr milliseconds comparison_interval{30'000};
constexpr milliseconds remote_comparison_interval{5'000};
// Interval during m_initial_comparison_time. When many nodes start together, those that answer
// first know only a few others.
constexpr milliseconds initial_comparison_interval{500};

// Requests a comparison of tables with the member.
void request_comparison(const tracked_member& with, actions& out) {
    membership_action action;
    action.m_kind = membership_action::kind::compare_tables;
    action.m_instance = with.m_member.m_instance;
    out.push_back(std::move(action));
}

// Requests the comparisons of tables that are due.
void request_due_comparisons(membership_table& table, time_point now, actions& out) {
    if (now >= table.m_next_comparison) {
        const bool starting = now - table.m_started < table.m_options.m_initial_comparison_time;
        const auto spread = static_cast<std::uint64_t>(comparison_interval.count());
        table.m_next_comparison =
            now + (starting ? initial_comparison_interval
                            : comparison_interval / 2 + milliseconds(table.m_random.below(spread)));
        for (const tracked_member* other : pick_members(table, 1, {})) {
            request_comparison(*other, out);
        }
    }
    if (now >= table.m_next_remote_comparison) {
        table.m_next_remote_comparison = now + remote_comparison_interval;
        const tracked_member* other = is_gateway(table) ? next_remote_target(table, {}) : nullptr;
        if (other != nullptr) {
            request_comparison(*other, out);
        }
    }
}

} // namespace

std::string_view member_state_name(member_state value) {
    static constexpr std::array<std::string_view, 4> names{"alive", "suspect", "dead", "left"};
    return names.at(static_cast<std::size_t>(value));
}

membership_table make_membership(const member& self, const membership_options& options,
                                 std::uint64_t seed, time_point now) {
    membership_table table;
    table.m_options = options;
    table.m_self = self;
    table.m_announced = self;
    table.m_random = random_source(seed);
    table.m_started = now;
    table.m_started_ms = self.m_incarnation;
    // Random offset, so that nodes that start together do not probe at the same moments.
    const auto interval = static_cast<std::uint64_t>(options.m_probe_interval.count());
    table.m_next_probe = now + milliseconds(table.m_random.below(interval));
    table.m_next_gossip = now;
    table.m_next_dead_ping = now;
    table.m_next_claim_check = now;
    table.m_last_tick = now;
    table.m_self_changed = now;
    table.m_no_death_before = now;
    table.m_next_facts_differ = now;
    table.m_next_remote_gossip = now;
    table.m_next_remote_probe = now;
    table.m_next_comparison = now;
    table.m_next_remote_comparison = now;
    start_budgets(table, now);
    queue_self(table);
    return table;
}

std::vector<membership_action> membership_tick(membership_table& table, time_point now) {
    actions out;
    detect_pause(table, now);
    advance_probes(table, now, out);
    expire_timers(table, now, out);
    probe_next(table, now, out);
    check_death_claims(table, now, out);
    ping_dead_member(table, now, out);
    gossip(table, now, out);
    gossip_remote(table, now, out);
    request_due_comparisons(table, now, out);
    return out;
}

std::vector<membership_action> membership_receive(membership_table& table, const packet& received,
                                                  const ip_endpoint& from, time_point now) {
    actions out;
    if (received.m_sender.empty() || received.m_sender == table.m_self.m_instance) {
        return out;
    }
    std::vector<member> rumours;
    for (const member& entry : received.m_updates) {
        const merge_result result = merge_entry(table, entry, entry_source::packet, now, out);
        if (result == merge_result::unchanged) {
            continue;
        }
        tracked_member& tracked = *find_tracked(table, entry.m_instance);
        queue_update(table, tracked);
        report_member_change(entry.m_instance, out);
        if (result == merge_result::rumour) {
            rumours.push_back(tracked.m_member);
        }
    }
    const bool sender_outdated = merge_sender_header(table, received, now, out);
    forward_rumours(table, received, std::move(rumours), now, out);
    switch (received.m_kind) {
    case packet_kind::ping:
        answer_ping(table, received, from, sender_outdated, now, out);
        break;
    case packet_kind::ack:
        // The source address is not checked: a relayed ack arrives from the relay's address.
        handle_probe_ack(table, received, now, out);
        break;
    case packet_kind::ping_request:
        relay_ping(table, received, from, now, out);
        break;
    case packet_kind::rumour:
        break;
    }
    if (sender_outdated && received.m_kind != packet_kind::ack) {
        request_sender_entry(table, received, from, find_tracked(table, received.m_sender), now,
                             out);
    }
    return out;
}

} // namespace caraway
