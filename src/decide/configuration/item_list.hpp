// The operators' items as one configuration text, for deployments whose store holds the
// configuration in several items. Nodes distribute it like any other text.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/store_codec.hpp"

namespace caraway {

// A configuration text as items, with its version.
struct item_list {
    std::uint64_t m_version = 0;
    std::vector<store_entry> m_items;
    // From copy_complete_until for the era of the version.
    std::uint64_t m_copy_complete_until = 0;
};

// Encodes the list as one text. The text states m_copy_complete_until, so that all nodes judge the
// items by the same evidence, those too that never read the store.
std::string encode_item_list(const item_list& list);

// Returns the list of such a text, or nothing if it is malformed.
std::optional<item_list> decode_item_list(std::uint64_t version, std::string_view text);

} // namespace caraway
