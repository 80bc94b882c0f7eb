// The operators' items as one configuration text, for deployments whose store holds the
// configuration in several items. Nodes distribute it like any other text.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "store/store_codec.hpp"

namespace caraway {

// Encodes all items as one text.
std::string encode_items(std::span<const store_entry> items);

// Returns the items of such a text, or nothing if it is malformed.
std::optional<std::vector<store_entry>> decode_items(std::string_view text);

} // namespace caraway
