// Members by data centre. In a data centre with many members, probes and news stay inside. A few of
// its members, the carriers, probe the other data centres and tell them what has changed here, so
// that the bytes between data centres don't grow with the square of the members.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "decide/membership.hpp"
#include "decide/membership_table.hpp"

namespace caraway::swim {

// Whom news is meant for.
enum class gossip_scope : std::uint8_t {
    local_group,      // the own data centre if it is a group of its own, else everyone
    all_data_centres, // besides, one member of each other data centre
};

// Adds a live member to the order of probes of its data centre.
void add_to_probe_order(membership_table& table, tracked_member& tracked);

// True if the own data centre has enough members to be a group of its own.
bool is_grouped_by_data_centre(membership_table& table);

// True if this node is one of those that carry news to the other data centres.
bool is_gateway(membership_table& table);

// True if the member is in another data centre and these are groups of their own.
bool is_remote(membership_table& table, const member& other);

// Takes the next member nearby of the present round of probes, or null.
tracked_member* next_probe_target(membership_table& table);

// Takes the next member of another data centre, or of the one named if it is not empty.
tracked_member* next_remote_target(membership_table& table, std::string_view data_centre);

// Picks up to count distinct live members nearby at random, excluding one.
std::vector<const tracked_member*> pick_members(membership_table& table, std::size_t count,
                                                std::string_view excluded);

// Picks a random live member of each other data centre where these are groups.
std::vector<const tracked_member*> pick_remote_members(membership_table& table);

} // namespace caraway::swim
