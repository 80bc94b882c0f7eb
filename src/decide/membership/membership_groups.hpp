// Groups members by data centre. In a data centre with many members, probes and gossip stay inside.
// A few of its members, the gateways, probe the other data centres and send them the changes of
// this one, so that the traffic between data centres does not grow with the square of the number of
// members.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "decide/membership/membership.hpp"
#include "decide/membership/membership_table.hpp"

namespace caraway::swim {

// Recipients of a rumour.
enum class gossip_scope : std::uint8_t {
    local_group,      // see is_grouped_by_data_centre
    all_data_centres, // also one member of each other data centre
};

// Adds a live member to the probe order of its data centre.
void add_to_probe_order(membership_table& table, tracked_member& tracked);

// Returns whether this node's data centre has enough members to be a group of its own. The local
// group is then this data centre, otherwise all members.
bool is_grouped_by_data_centre(membership_table& table);

// Returns whether this node is one of those that send changes to the other data centres and probe
// them.
bool is_gateway(membership_table& table);

// Returns whether the member is in another data centre and members are grouped by data centre.
bool is_remote(membership_table& table, const member& other);

// Returns the next live member of the local group in the current probe round, or null.
tracked_member* next_probe_target(membership_table& table);

// Returns the next live member of the given data centre, or of any other one if the name is empty;
// null if none is found.
tracked_member* next_remote_target(membership_table& table, std::string_view data_centre);

// Picks up to count distinct random live members of the local group, except the excluded one.
std::vector<const tracked_member*> pick_members(membership_table& table, std::size_t count,
                                                std::string_view excluded);

// Picks a random alive member of each other data centre; none if members are not grouped by data
// centre.
std::vector<const tracked_member*> pick_remote_members(membership_table& table);

} // namespace caraway::swim
