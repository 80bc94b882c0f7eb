// Builds packets and fills the remaining space of each with piggybacked member updates.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "decide/membership/membership.hpp"
#include "decide/membership/membership_table.hpp"

namespace caraway::swim {

// A packet under construction with its estimated size in bytes. It refers to a packet owned by
// the calling function.
struct packet_filler {
    packet& m_packet;
    std::size_t m_bytes;
};

// Queues an entry as an update for the next packets, ahead of the updates that are already queued.
void queue_update(membership_table& table, tracked_member& tracked);

// Queues this node's own entry for the next packets.
void queue_self(membership_table& table);

// On a gateway, queues an entry for the other data centres. queue_update already does this for
// members of this data centre; call it for changes that this node detected in a member of another
// one.
void queue_remote_update(membership_table& table, tracked_member& tracked);

// Fills the remaining space with entries queued for the other data centres, in turn.
void add_remote_updates(membership_table& table, packet_filler& filler);

// Creates a packet with this node's header and no content.
packet make_packet(const membership_table& table, packet_kind kind, std::string_view target);

// Starts to fill the packet, which must outlive the filler.
packet_filler start_filling(packet& value);

// Returns whether the packet contains an entry of the instance.
bool contains_entry(const packet& value, std::string_view instance);

// Returns the entry without addresses, as sent for dead, left and suspect members. Nodes that need
// the addresses already have them, and three times as many updates fit into a packet when a data
// centre fails.
member shortened_entry(const member& value);

// Returns the full entry of an alive member, otherwise the shortened one.
member entry_to_send(const member& value);

// Adds an entry. Returns false if it does not fit.
bool add_entry(packet_filler& filler, member entry);

// Adds this node's entry. Returns false if it does not fit or is already present.
bool add_self(const membership_table& table, packet_filler& filler);

// Returns whether this node's entry goes into every packet, since most receivers do not have its
// latest state yet.
bool is_announcing_self(const membership_table& table, time_point now);

// Fills the remaining space with due updates, in turn.
void add_updates(membership_table& table, packet_filler& filler);

// Adds this node's entry while it is being announced, and fills the remaining space with due
// updates.
void add_self_and_updates(membership_table& table, packet_filler& filler, time_point now);

// Adds an action that sends the packet.
void send(const ip_endpoint& to, packet value, actions& out);

// Pings a member. The ping contains this node's entry, so that every member known here gets to know
// this node. It also contains the claim if given, otherwise the target's entry unless it is alive,
// so that the target can refute it.
void send_ping(membership_table& table, const tracked_member& target, std::uint64_t sequence,
               const std::optional<member>& claim, actions& out);

} // namespace caraway::swim
