// Conversion of the operators' items that stay in force after a restoration of the store to and
// from the peer messages.
#pragma once

#include "decide/configuration/kept_items.hpp"

namespace caraway::wire {
class Facts;
} // namespace caraway::wire

namespace caraway {

// Adds the table to the facts; a table of era 0 is empty and left out.
void kept_items_to_wire(wire::Facts& to, const kept_items& from);

// Returns the table of the facts. One that no node sends, with too many items or values out of
// range, counts as empty.
kept_items kept_items_from_wire(const wire::Facts& from);

} // namespace caraway
