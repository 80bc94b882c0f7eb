#include "decide/membership/membership_packets.hpp"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "decide/membership/membership_groups.hpp"
#include "decide/membership/membership_packet_size.hpp"

namespace caraway::swim {
namespace {

// Number of packets in which a node piggybacks one update, multiplied by the decimal logarithm of
// the number of live members (at least 1): 12 packets at 100 live members. With half as many, about
// one update in twenty didn't reach every member (50 members, 5% packet loss).
constexpr double transmissions_per_decade = 6.0;
// While the queue is N times this long, the number of packets that carry an update is divided by N,
// but to no fewer than min_transmissions. When a data centre fails or returns, every node forwards
// thousands of updates; the first transmissions of each reach nearly all members, and the
// comparison of tables repairs the rest.
constexpr std::size_t long_queue_length = 64;
constexpr std::uint32_t min_transmissions = 4;
// This node's entry goes into every packet for this time after the start or a new incarnation,
// since most receivers do not have it yet.
constexpr milliseconds self_announcement_time{30'000};
// Transmissions of an entry from each gateway to the other data centres.
constexpr std::uint32_t remote_transmissions = 2;
// Maximum number of entries queued for the other data centres; the comparison of tables repairs
// omitted ones.
constexpr std::size_t max_remote_queue = 1'024;

// Returns the number of transmissions of one update for the present table size.
std::uint32_t transmissions_per_update(const membership_table& table) {
    return static_cast<std::uint32_t>(
        std::ceil(transmissions_per_decade * log10_live_members(table)));
}

} // namespace

void queue_update(membership_table& table, tracked_member& tracked) {
    tracked.m_transmissions_left = transmissions_per_update(table);
    if (!tracked.m_queued) {
        tracked.m_queued = true;
        table.m_update_queue.push_front(tracked.m_member.m_instance);
    }
    if (tracked.m_member.m_data_centre == table.m_self.m_data_centre) {
        queue_remote_update(table, tracked);
    }
}

void queue_remote_update(membership_table& table, tracked_member& tracked) {
    if (!is_gateway(table)) {
        return;
    }
    if (tracked.m_remote_transmissions_left == 0) {
        if (table.m_remote_queue.size() >= max_remote_queue) {
            return;
        }
        table.m_remote_queue.push_back(tracked.m_member.m_instance);
    }
    tracked.m_remote_transmissions_left = remote_transmissions;
}

void add_remote_updates(membership_table& table, packet_filler& filler) {
    for (std::size_t remaining = table.m_remote_queue.size(); remaining > 0; --remaining) {
        std::string name = std::move(table.m_remote_queue.front());
        table.m_remote_queue.pop_front();
        const auto found = table.m_members.find(name);
        if (found == table.m_members.end() || found->second.m_remote_transmissions_left == 0) {
            continue;
        }
        if (!add_entry(filler, entry_to_send(found->second.m_member))) {
            table.m_remote_queue.push_front(std::move(name));
            return;
        }
        if (--found->second.m_remote_transmissions_left > 0) {
            table.m_remote_queue.push_back(std::move(name));
        }
    }
}

void queue_self(membership_table& table) {
    table.m_self_transmissions_left = transmissions_per_update(table);
}

packet make_packet(const membership_table& table, packet_kind kind, std::string_view target) {
    packet value;
    value.m_kind = kind;
    value.m_sender = table.m_self.m_instance;
    value.m_incarnation = table.m_self.m_incarnation;
    value.m_target = target;
    value.m_config_version = table.m_self.m_config_version;
    value.m_held_version = std::max(table.m_held_version, table.m_self.m_config_version);
    value.m_facts_digest = table.m_facts_digest;
    return value;
}

packet_filler start_filling(packet& value) {
    return {value, estimated_packet_bytes(value)};
}

bool contains_entry(const packet& value, std::string_view instance) {
    return std::any_of(value.m_updates.begin(), value.m_updates.end(),
                       [instance](const member& entry) { return entry.m_instance == instance; });
}

member shortened_entry(const member& value) {
    member entry;
    entry.m_instance = value.m_instance;
    entry.m_incarnation = value.m_incarnation;
    entry.m_first_incarnation = value.m_first_incarnation;
    entry.m_lost_ms = value.m_lost_ms;
    entry.m_state = value.m_state;
    entry.m_service = value.m_service;
    entry.m_traffic.m_address.clear();
    entry.m_udp.m_address.clear();
    entry.m_bulk.m_address.clear();
    return entry;
}

member entry_to_send(const member& value) {
    return value.m_state == member_state::alive ? value : shortened_entry(value);
}

bool add_entry(packet_filler& filler, member entry) {
    const std::size_t bytes = member_bytes(entry);
    if (filler.m_bytes + bytes > max_packet_bytes) {
        return false;
    }
    filler.m_bytes += bytes;
    filler.m_packet.m_updates.push_back(std::move(entry));
    return true;
}

bool add_self(const membership_table& table, packet_filler& filler) {
    return !contains_entry(filler.m_packet, table.m_self.m_instance) &&
           add_entry(filler, table.m_self);
}

bool is_announcing_self(const membership_table& table, time_point now) {
    return now - table.m_self_changed < self_announcement_time ||
           table.m_self.m_state == member_state::left;
}

void add_updates(membership_table& table, packet_filler& filler) {
    if (table.m_self_transmissions_left > 0 && add_self(table, filler)) {
        --table.m_self_transmissions_left;
    }
    const auto cost = static_cast<std::uint32_t>(
        std::clamp<std::size_t>(table.m_update_queue.size() / long_queue_length, 1,
                                std::max(1U, transmissions_per_update(table) / min_transmissions)));
    for (std::size_t remaining = table.m_update_queue.size(); remaining > 0; --remaining) {
        std::string name = std::move(table.m_update_queue.front());
        table.m_update_queue.pop_front();
        const auto found = table.m_members.find(name);
        if (found == table.m_members.end()) {
            continue;
        }
        tracked_member& tracked = found->second;
        if (tracked.m_transmissions_left == 0 || tracked.m_is_tombstone) {
            tracked.m_queued = false;
            continue;
        }
        // The packet already contains the entry as a rumour. This does not count as a transmission,
        // since nearly all nodes receive the rumour at the same time and the later transmissions
        // are for the rest.
        if (contains_entry(filler.m_packet, name)) {
            table.m_update_queue.push_back(std::move(name));
            continue;
        }
        if (!add_entry(filler, entry_to_send(tracked.m_member))) {
            table.m_update_queue.push_front(std::move(name));
            return;
        }
        tracked.m_transmissions_left -= std::min(tracked.m_transmissions_left, cost);
        if (tracked.m_transmissions_left > 0) {
            table.m_update_queue.push_back(std::move(name));
        } else {
            tracked.m_queued = false;
        }
    }
}

void add_self_and_updates(membership_table& table, packet_filler& filler, time_point now) {
    if (is_announcing_self(table, now)) {
        add_self(table, filler);
    }
    add_updates(table, filler);
}

void send(const ip_endpoint& to, packet value, actions& out) {
    membership_action action;
    action.m_kind = membership_action::kind::send;
    action.m_to = to;
    action.m_packet = std::move(value);
    out.push_back(std::move(action));
}

void send_ping(membership_table& table, const tracked_member& target, std::uint64_t sequence,
               const std::optional<member>& claim, actions& out) {
    packet ping = make_packet(table, packet_kind::ping, target.m_member.m_instance);
    ping.m_sequence = sequence;
    packet_filler filler = start_filling(ping);
    add_self(table, filler);
    if (claim) {
        add_entry(filler, *claim);
    } else if (target.m_member.m_state != member_state::alive) {
        add_entry(filler, shortened_entry(target.m_member));
    }
    if (!is_remote(table, target.m_member)) {
        add_updates(table, filler);
    }
    send(target.m_member.m_udp, std::move(ping), out);
}

} // namespace caraway::swim
