// Dates the copy from which the store was restored. Revisions and values don't identify a write: a
// restored store assigns its revisions again, and the operators write the same values again. The
// nodes therefore write a marker after each change of the operators' items, under a key of the
// store's era that no later era writes. A restored store whose copy holds a marker has, from the
// era in which it was written, every write before it; what has a higher revision was written after
// the restoration, except for changes that the copy includes but that no marker had followed yet.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "store/store_codec.hpp"

namespace caraway {

// Prefix of the store keys of the markers. The era follows it.
constexpr std::string_view marker_prefix = "caraway/marker/";

// Returns the store key of an era's marker.
std::string marker_key(std::uint64_t era);

// Returns the value of the marker that follows the change with this version.
std::string encode_marker(std::uint64_t version);

// Returns up to which version the copy is known to be complete, given all markers in the store's
// current era: the era and the revision of the marker that was written last, or 0 if none dates the
// copy. A marker that was executed only after the restoration, since its call was late, is left out
// if it shows that: it doesn't follow the change that it names.
std::uint64_t copy_complete_until(std::span<const store_entry> markers, std::uint64_t era);

} // namespace caraway
