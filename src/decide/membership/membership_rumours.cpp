#include "decide/membership/membership_rumours.hpp"

#include <algorithm>
#include <utility>

#include "base/hash.hpp"
#include "decide/membership/membership_packet_size.hpp"
#include "decide/membership/membership_packets.hpp"

namespace caraway {
namespace swim {
namespace {

// Budget of the packets sent only for gossip, in bytes per second and per burst. Together with one
// full ping and one full ack a second, sent and received, control traffic stays within 9 KB/s
// however many updates are queued.
constexpr double gossip_bytes_per_second = 2'000;
constexpr double gossip_byte_burst = 16'000;
// Packets sent only for their header, one per gossip interval, after this node's held version or
// facts have changed. A rumour misses about 2% of the members, which receive the change from such a
// header.
constexpr std::uint32_t header_packets_per_change = 8;
// Packets that each gateway sends only for their header to every other data centre after such a
// change.
constexpr std::uint32_t remote_header_packets_per_change = 2;
// Budget of a gateway for packets to other data centres between probes, in bytes per second and per
// burst.
constexpr double remote_bytes_per_second = 3'000;
constexpr double remote_byte_burst = 24'000;
// Member rumours (leaves, refuted suspicions) forwarded immediately, per second and per burst. When
// a data centre leaves, the remaining changes travel only by piggyback, and control traffic stays
// within its budget.
constexpr double rumours_per_second = 4;
constexpr double rumour_burst = 16;
// Pings in reply to packets of unknown or wrongly dead senders, per second and per burst.
constexpr double replies_per_second = 20;
constexpr double reply_burst = 50;
// Number of forwarded facts that are remembered.
constexpr std::size_t max_forwarded_facts = 4'096;

// Refills the budgets for the time since the last call.
void fill_tokens(membership_table& table, time_point now) {
    const double seconds = std::chrono::duration<double>(now - table.m_tokens_filled_at).count();
    if (seconds > 0) {
        table.m_tokens_filled_at = now;
        table.m_rumour_tokens =
            std::min(rumour_burst, table.m_rumour_tokens + seconds * rumours_per_second);
        table.m_reply_tokens =
            std::min(reply_burst, table.m_reply_tokens + seconds * replies_per_second);
        table.m_gossip_bytes =
            std::min(gossip_byte_burst, table.m_gossip_bytes + seconds * gossip_bytes_per_second);
        table.m_remote_bytes =
            std::min(remote_byte_burst, table.m_remote_bytes + seconds * remote_bytes_per_second);
    }
}

// Remembers a fact by its hash. Returns false if it was already known.
bool remember_fact(membership_table& table, std::uint64_t hash) {
    if (!table.m_forwarded_facts.insert(hash).second) {
        return false;
    }
    table.m_forwarded_facts_order.push_back(hash);
    if (table.m_forwarded_facts_order.size() > max_forwarded_facts) {
        table.m_forwarded_facts.erase(table.m_forwarded_facts_order.front());
        table.m_forwarded_facts_order.pop_front();
    }
    return true;
}

// A suspension is identified by its move: reports of other nodes about the same move add nothing.
std::uint64_t fact_hash(const suspension& value) {
    return hash_bytes(value.m_move_id, 1);
}

// A move record is identified by its service and revision.
std::uint64_t fact_hash(const move_record& value) {
    return hash_bytes(value.m_service, value.m_revision + 2);
}

} // namespace

void start_budgets(membership_table& table, time_point now) {
    table.m_tokens_filled_at = now;
    table.m_rumour_tokens = rumour_burst;
    table.m_reply_tokens = reply_burst;
    table.m_gossip_bytes = gossip_byte_burst;
    table.m_remote_bytes = remote_byte_burst;
}

bool take_token(membership_table& table, double& tokens, time_point now) {
    fill_tokens(table, now);
    if (tokens < 1) {
        return false;
    }
    tokens -= 1;
    return true;
}

void send_rumour(membership_table& table, const packet& rumour, gossip_scope scope,
                 std::string_view excluded, time_point now, actions& out) {
    for (const tracked_member* target :
         pick_members(table, table.m_options.m_rumour_fanout, excluded)) {
        packet copy = rumour;
        packet_filler filler = start_filling(copy);
        add_self_and_updates(table, filler, now);
        send(target->m_member.m_udp, std::move(copy), out);
    }
    if (scope == gossip_scope::local_group) {
        return;
    }
    for (const tracked_member* target : pick_remote_members(table)) {
        packet copy = rumour;
        packet_filler filler = start_filling(copy);
        add_self(table, filler);
        send(target->m_member.m_udp, std::move(copy), out);
    }
}

void announce_self(membership_table& table, time_point now, actions& out) {
    table.m_announced = table.m_self;
    table.m_self_changed = now;
    queue_self(table);
    send_rumour(table, make_packet(table, packet_kind::rumour, {}), gossip_scope::all_data_centres,
                {}, now, out);
}

void gossip(membership_table& table, time_point now, actions& out) {
    if (table.m_held_version != table.m_gossiped_version ||
        table.m_facts_digest != table.m_gossiped_digest) {
        table.m_gossiped_version = table.m_held_version;
        table.m_gossiped_digest = table.m_facts_digest;
        table.m_header_packets_left = header_packets_per_change;
        table.m_remote_header_packets_left = remote_header_packets_per_change;
    }
    const bool has_updates = !table.m_update_queue.empty() || table.m_self_transmissions_left > 0 ||
                             table.m_header_packets_left > 0;
    if (now < table.m_next_gossip || !has_updates) {
        return;
    }
    fill_tokens(table, now);
    if (table.m_gossip_bytes < static_cast<double>(max_packet_bytes)) {
        return;
    }
    table.m_next_gossip = now + table.m_options.m_probe_interval / 4;
    for (const tracked_member* target : pick_members(table, 1, {})) {
        packet sent = make_packet(table, packet_kind::rumour, {});
        packet_filler filler = start_filling(sent);
        add_self_and_updates(table, filler, now);
        if (!sent.m_updates.empty() || table.m_header_packets_left > 0) {
            table.m_gossip_bytes -= static_cast<double>(filler.m_bytes);
            send(target->m_member.m_udp, std::move(sent), out);
        }
        table.m_header_packets_left -= table.m_header_packets_left > 0 ? 1 : 0;
    }
}

// The same packet goes to all other data centres, so that each receives every entry.
void gossip_remote(membership_table& table, time_point now, actions& out) {
    if (!is_gateway(table)) {
        table.m_remote_header_packets_left = 0;
        return;
    }
    const bool has_updates =
        !table.m_remote_queue.empty() || table.m_remote_header_packets_left > 0;
    if (now < table.m_next_remote_gossip || !has_updates) {
        return;
    }
    fill_tokens(table, now);
    if (table.m_remote_bytes < static_cast<double>(max_packet_bytes)) {
        return;
    }
    table.m_next_remote_gossip = now + table.m_options.m_probe_interval / 4;
    table.m_remote_header_packets_left -= table.m_remote_header_packets_left > 0 ? 1 : 0;
    packet update = make_packet(table, packet_kind::rumour, {});
    packet_filler filler = start_filling(update);
    add_remote_updates(table, filler);
    for (const tracked_member* target : pick_remote_members(table)) {
        table.m_remote_bytes -= static_cast<double>(filler.m_bytes);
        send(target->m_member.m_udp, update, out);
    }
}

void forward_rumours(membership_table& table, const packet& received, std::vector<member> rumours,
                     time_point now, actions& out) {
    packet forwarded = make_packet(table, packet_kind::rumour, {});
    for (const suspension& suspended : received.m_suspensions) {
        if (remember_fact(table, fact_hash(suspended))) {
            forwarded.m_suspensions.push_back(suspended);
        }
    }
    for (const move_record& record : received.m_records) {
        if (remember_fact(table, fact_hash(record))) {
            forwarded.m_records.push_back(record);
        }
    }
    const bool has_facts = !forwarded.m_suspensions.empty() || !forwarded.m_records.empty();
    if (has_facts) {
        membership_action action;
        action.m_kind = membership_action::kind::facts_received;
        action.m_instance = received.m_sender;
        action.m_packet = forwarded;
        out.push_back(std::move(action));
    }
    if (!rumours.empty() && !take_token(table, table.m_rumour_tokens, now)) {
        rumours.clear();
    }
    if (!has_facts && rumours.empty()) {
        return;
    }
    packet_filler filler = start_filling(forwarded);
    for (member& entry : rumours) {
        add_entry(filler, entry_to_send(entry));
    }
    send_rumour(table, forwarded, gossip_scope::local_group, received.m_sender, now, out);
}

} // namespace swim

using namespace swim;

std::vector<membership_action> membership_update_self(membership_table& table, bool urgent,
                                                      time_point now) {
    actions out;
    member announced = table.m_announced;
    announced.m_config_version = table.m_self.m_config_version;
    announced.m_incarnation = table.m_self.m_incarnation;
    if (!(announced == table.m_self)) {
        ++table.m_self.m_incarnation;
        table.m_self_changed = now;
        queue_self(table);
    }
    table.m_announced = table.m_self;
    if (urgent) {
        send_rumour(table, make_packet(table, packet_kind::rumour, {}),
                    gossip_scope::all_data_centres, {}, now, out);
    }
    return out;
}

std::vector<membership_action> membership_leave(membership_table& table, time_point now) {
    actions out;
    if (table.m_self.m_state != member_state::left) {
        table.m_self.m_state = member_state::left;
        announce_self(table, now, out);
    }
    return out;
}

std::vector<membership_action> membership_spread_facts(membership_table& table,
                                                       std::span<const suspension> suspensions,
                                                       std::span<const move_record> records,
                                                       time_point now) {
    actions out;
    packet rumour = make_packet(table, packet_kind::rumour, {});
    const std::size_t empty_bytes = estimated_packet_bytes(rumour);
    std::size_t bytes = empty_bytes;
    const auto flush = [&] {
        if (bytes > empty_bytes) {
            send_rumour(table, rumour, gossip_scope::all_data_centres, {}, now, out);
            rumour.m_suspensions.clear();
            rumour.m_records.clear();
            bytes = empty_bytes;
        }
    };
    // A fact that is too large for any packet is left to the comparison of digests.
    const auto reserve_bytes = [&](std::size_t size) {
        if (empty_bytes + size > max_packet_bytes) {
            return false;
        }
        if (bytes + size > max_packet_bytes) {
            flush();
        }
        bytes += size;
        return true;
    };
    for (const suspension& suspended : suspensions) {
        if (remember_fact(table, fact_hash(suspended)) &&
            reserve_bytes(suspension_bytes(suspended))) {
            rumour.m_suspensions.push_back(suspended);
        }
    }
    for (const move_record& record : records) {
        if (remember_fact(table, fact_hash(record)) && reserve_bytes(record_bytes(record))) {
            rumour.m_records.push_back(record);
        }
    }
    flush();
    return out;
}

} // namespace caraway
