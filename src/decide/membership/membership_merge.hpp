// Merges received entries into the table, ordered by incarnation and state.
#pragma once

#include <cstdint>

#include "decide/membership/membership.hpp"
#include "decide/membership/membership_table.hpp"

namespace caraway::swim {

// How an entry reached this node: in a packet, or in a join reply or table exchange.
enum class entry_source : std::uint8_t { packet, exchange };

// Effect of a merge on the table. The value `rumour` means that the table has changed and that the
// entry must be forwarded to other members immediately.
enum class merge_result : std::uint8_t { unchanged, changed, rumour };

// Merges one entry. An entry about this node itself is not merged; unless it is outdated or equals
// this node's own state, this node refutes it by a higher incarnation.
merge_result merge_entry(membership_table& table, const member& entry, entry_source source,
                         time_point now, actions& out);

// Raises the configuration version known to be in force at a member; a lower one has no effect.
void raise_config_version(tracked_member& tracked, std::uint64_t config_version);

} // namespace caraway::swim
