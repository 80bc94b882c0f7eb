// Merges what others say of members into the table, by the order of incarnations and states.
#pragma once

#include <cstdint>

#include "decide/membership.hpp"
#include "decide/membership_table.hpp"

namespace caraway::swim {

// How an entry reached this node.
enum class entry_source : std::uint8_t { packet, exchange };

// What a merge did. After rumour the change is to be forwarded at once.
enum class merge_result : std::uint8_t { unchanged, changed, rumour };

// Merges one entry. An entry of this node itself is answered instead.
merge_result merge_entry(membership_table& table, const member& entry, entry_source source,
                         time_point now, actions& out);

// Raises the configuration version known to be in force at a member.
void raise_config_version(tracked_member& tracked, std::uint64_t config_version);

} // namespace caraway::swim
