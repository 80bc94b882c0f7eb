// Builds packets and fills the rest of each with piggybacked member updates.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "decide/membership.hpp"
#include "decide/membership_table.hpp"

namespace caraway::swim {

// A packet being filled, with its estimated size.
struct packet_filler {
    packet& m_packet;
    std::size_t m_bytes;
};

// Queues an entry as an update for the next packets, ahead of the updates that wait.
void queue_update(membership_table& table, tracked_member& tracked);

// The same for the own entry.
void queue_self(membership_table& table);

// Queues an entry for the other data centres. Entries of the own data centre's members are queued
// there by queue_update already; this is for what this node found out of another one's member.
void queue_remote_update(membership_table& table, tracked_member& tracked);

// Fills the rest of the packet with the entries that all other data centres are owed, each in turn.
void add_remote_updates(membership_table& table, packet_filler& filler);

// A packet with this node's header and nothing else.
packet make_packet(const membership_table& table, packet_kind kind, std::string_view target);

packet_filler start_filling(packet& value);

bool contains_entry(const packet& value, std::string_view instance);

// A gone or suspected member's entry travels without addresses: those who need them have them, and
// three times as many updates fit into a packet when a data centre fails.
member shortened_entry(const member& value);

// The whole entry of an alive member, else the shortened one.
member entry_to_send(const member& value);

// Adds an entry. Returns false when it doesn't fit.
bool add_entry(packet_filler& filler, member entry);

// Adds the own entry. Returns false when it doesn't fit or is there already.
bool add_self(const membership_table& table, packet_filler& filler);

// Whether the own entry goes into every packet, since most receivers lack it.
bool is_announcing_self(const membership_table& table, time_point now);

// Fills the rest of the packet with owed updates, each in turn.
void add_updates(membership_table& table, packet_filler& filler);

// Introduces this node while that is due and fills the rest with owed updates.
void add_self_and_updates(membership_table& table, packet_filler& filler, time_point now);

void send(const ip_endpoint& to, packet value, actions& out);

// Pings a member. The ping holds the own entry, so that every member that this node knows gets to
// know it, and what is held against the target (claim if given, else the entry here), so that it
// can refute that.
void send_ping(membership_table& table, const tracked_member& target, std::uint64_t sequence,
               const std::optional<member>& claim, actions& out);

} // namespace caraway::swim
