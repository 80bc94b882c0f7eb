// Decoding of the JSON bodies of the store's responses.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/store_codec.hpp"

namespace caraway {

// Decodes the array of a list or watch response. Returns nothing if it is malformed.
std::optional<std::vector<store_entry>> decode_entries(std::string_view body);

// Decodes the lease identifier, a string or a number, from the response to create_lease. Returns
// nothing if it is malformed.
std::optional<std::string> decode_lease(std::string_view body);

} // namespace caraway
