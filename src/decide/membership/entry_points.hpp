// Entry points: the few addresses in the store through which nodes discover the others. Their
// number depends on the number of data centres, not of members, so that the list stays small. Pure
// functions.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.hpp"
#include "decide/membership/membership.hpp"

namespace caraway {

// The address stored under a slot of a data centre.
struct entry_point {
    std::string m_data_centre;
    std::string m_slot;
    ip_endpoint m_address;
    friend bool operator==(const entry_point&, const entry_point&) = default;
};

// Returns the slot that an instance fills if it is free.
std::string slot_of(std::string_view instance);

// Returns the entry points to join through first: only those of the node's own data centre if it
// has enough, so that many nodes that join at once do not load the other data centres, otherwise
// all.
std::vector<ip_endpoint> join_entry_points(std::span<const entry_point> all,
                                           std::string_view data_centre);

// Returns the entry points whose address belongs to no live member here. Their nodes may have
// joined only each other, or may be dead. If members are grouped by data centre, only a gateway
// searches for members of other data centres.
std::vector<ip_endpoint> unknown_entry_points(membership_table& table,
                                              std::span<const entry_point> all);

// Returns the slots of this node's data centre whose address belongs neither to a live member nor
// to this node.
std::vector<std::string> unknown_slots(const membership_table& table,
                                       std::span<const entry_point> all);

// Returns the slots of this node's data centre that live members of it, or this node, would fill
// and that are not among the filled ones. After a restoration of the store, whose copy may lack
// entry points, they are written again.
std::vector<std::string> missing_slots(const membership_table& table,
                                       std::span<const std::string> filled);

// Returns the live member of this node's data centre whose address belongs in the slot. Nodes with
// equal tables return the same member.
const member& member_for_slot(const membership_table& table, std::string_view slot);

// Returns the number of members of each data centre that watch the store. One suffices where there
// are many data centres, since the watchers of the other data centres forward changes too.
std::size_t watchers_per_data_centre(std::size_t data_centres);

} // namespace caraway
