#include "decide/membership_packets.hpp"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "decide/membership_groups.hpp"
#include "decide/membership_packet_size.hpp"

namespace caraway::swim {
namespace {

// Piggyback transmissions of one update per power of ten of the table size. With half of this, some
// member missed about one update in twenty at 50 members and 5% loss.
constexpr double sends_per_decade = 6.0;
// Updates queued at which each of their transmissions starts to count several times, down to this
// many in all. When a data centre fails or returns, every node passes on thousands of updates; the
// first transmissions of each reach nearly everyone, and the exchange of tables repairs the rest.
constexpr std::size_t long_queue = 64;
constexpr std::uint32_t fewest_sends = 4;
// The own entry goes into every packet for this long after the start or a new incarnation, since
// most receivers don't have it yet.
constexpr milliseconds introduce_time{30'000};
// Rounds of packets to the other data centres that an entry travels with, from each carrier.
constexpr std::uint32_t remote_rounds = 2;
// Entries queued for the other data centres; the comparison of tables repairs what is left out.
constexpr std::size_t max_remote_queue = 1'024;

// Transmissions of one update.
std::uint32_t sends_owed(const membership_table& table) {
    return static_cast<std::uint32_t>(std::ceil(sends_per_decade * decades(table)));
}

} // namespace

void queue_update(membership_table& table, tracked_member& tracked) {
    tracked.m_sends_left = sends_owed(table);
    if (!tracked.m_queued) {
        tracked.m_queued = true;
        table.m_update_queue.push_front(tracked.m_member.m_instance);
    }
    if (tracked.m_member.m_data_centre == table.m_self.m_data_centre) {
        queue_for_others(table, tracked);
    }
}

void queue_for_others(membership_table& table, tracked_member& tracked) {
    if (!is_carrier(table)) {
        return;
    }
    if (tracked.m_remote_rounds == 0) {
        if (table.m_remote_queue.size() >= max_remote_queue) {
            return;
        }
        table.m_remote_queue.push_back(tracked.m_member.m_instance);
    }
    tracked.m_remote_rounds = remote_rounds;
}

void add_remote_updates(membership_table& table, packet_filler& filler) {
    for (std::size_t left = table.m_remote_queue.size(); left > 0; --left) {
        std::string name = std::move(table.m_remote_queue.front());
        table.m_remote_queue.pop_front();
        const auto found = table.m_members.find(name);
        if (found == table.m_members.end() || found->second.m_remote_rounds == 0) {
            continue;
        }
        if (!add_entry(filler, entry_to_send(found->second.m_member))) {
            table.m_remote_queue.push_front(std::move(name));
            return;
        }
        if (--found->second.m_remote_rounds > 0) {
            table.m_remote_queue.push_back(std::move(name));
        }
    }
}

void queue_self(membership_table& table) {
    table.m_self_sends_left = sends_owed(table);
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

bool contains_update(const packet& value, std::string_view instance) {
    return std::any_of(value.m_updates.begin(), value.m_updates.end(),
                       [instance](const member& each) { return each.m_instance == instance; });
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
    return !contains_update(filler.m_packet, table.m_self.m_instance) &&
           add_entry(filler, table.m_self);
}

bool introduces_itself(const membership_table& table, time_point now) {
    return now - table.m_self_changed < introduce_time ||
           table.m_self.m_state == member_state::left;
}

void add_updates(membership_table& table, packet_filler& filler) {
    if (table.m_self_sends_left > 0 && add_self(table, filler)) {
        --table.m_self_sends_left;
    }
    const auto cost = static_cast<std::uint32_t>(
        std::clamp<std::size_t>(table.m_update_queue.size() / long_queue, 1,
                                std::max(1U, sends_owed(table) / fewest_sends)));
    for (std::size_t left = table.m_update_queue.size(); left > 0; --left) {
        std::string name = std::move(table.m_update_queue.front());
        table.m_update_queue.pop_front();
        const auto found = table.m_members.find(name);
        if (found == table.m_members.end()) {
            continue;
        }
        tracked_member& tracked = found->second;
        if (tracked.m_sends_left == 0 || tracked.m_forgotten) {
            tracked.m_queued = false;
            continue;
        }
        // A rumour's packets hold the entry besides; they don't count as one of its transmissions,
        // since nearly all nodes get the rumour at the same time and need the later ones.
        if (contains_update(filler.m_packet, name)) {
            table.m_update_queue.push_back(std::move(name));
            continue;
        }
        if (!add_entry(filler, entry_to_send(tracked.m_member))) {
            table.m_update_queue.push_front(std::move(name));
            return;
        }
        tracked.m_sends_left -= std::min(tracked.m_sends_left, cost);
        if (tracked.m_sends_left > 0) {
            table.m_update_queue.push_back(std::move(name));
        } else {
            tracked.m_queued = false;
        }
    }
}

void add_news(membership_table& table, packet_filler& filler, time_point now) {
    if (introduces_itself(table, now)) {
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
