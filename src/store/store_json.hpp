// Decodes the JSON bodies of the store's answers.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "store/store_codec.hpp"

namespace caraway {

// Reads the array of a list or watch answer; nothing when it is malformed.
std::optional<std::vector<store_entry>> decode_entries(std::string_view body);

// Reads the lease's identifier, a string or a number, from the answer to its creation; nothing when
// it is malformed.
std::optional<std::string> decode_lease(std::string_view body);

} // namespace caraway
