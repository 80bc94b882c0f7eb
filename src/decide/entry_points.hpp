// Entry points: the few addresses in the store through which nodes find the others. Their number
// depends on the data centres, not on the members, so that a list of them stays small. Pure.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "config/settings.hpp"
#include "decide/membership.hpp"

namespace caraway {

// One address under a slot of its data centre.
struct entry_point {
    std::string m_data_centre;
    std::string m_slot;
    ip_endpoint m_address;
    friend bool operator==(const entry_point&, const entry_point&) = default;
};

// The slot that an instance fills if it is free.
std::string slot_of(std::string_view instance);

// The entry points to join through first: those of the own data centre where it has many, so that a
// herd of joining nodes loads no other one, else all.
std::vector<ip_endpoint> join_entry_points(std::span<const entry_point> all,
                                           std::string_view data_centre);

// The entry points of members that are unknown here, which may have joined only each other, or be
// gone. Only a carrier looks for members of other data centres where these are groups.
std::vector<ip_endpoint> unknown_entry_points(membership_table& table,
                                              std::span<const entry_point> all);

// The slots of the own data centre that name nobody who is known here.
std::vector<std::string> unknown_slots(const membership_table& table,
                                       std::span<const entry_point> all);

// The live member of the own data centre to name in a slot; the same at every node.
const member& member_for_slot(const membership_table& table, std::string_view slot);

// Members of each data centre that watch the store: one where there are many data centres, since
// members of the others pass news on, too.
std::size_t watchers_per_data_centre(std::size_t data_centres);

} // namespace caraway
