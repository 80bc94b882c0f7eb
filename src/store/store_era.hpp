// Recognises that the store was restored from a copy, by the era that its answers state, and keeps
// answers and conditions of different eras apart. Pure functions; the client keeps the state.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "store/store_codec.hpp"

namespace caraway {

// Parses the header that states the era. An absent header means era 0. Returns nothing if it is
// malformed or above max_era.
std::optional<std::uint64_t> parse_era(std::string_view header);

// Returns the reply to a call that must not be sent in the current era, because it names a revision
// of an earlier one: a conflict for a conditional write, and the loss of the history for a watch.
// Returns nothing for any other call.
std::optional<store_reply> refuse_outdated(const store_command& command, std::uint64_t era);

// Returns the command as it is sent: versions are replaced by the revisions that the store knows.
store_command with_revisions(store_command command);

// Returns what a decoded reply means, with versions in place of revisions. current_era is the
// highest era known when the answer arrives and answer_era the one that it states.
// - An answer of an earlier era is no answer.
// - A conditional write that was sent in an earlier era is a conflict, even if it succeeded: its
//   condition may have met a revision that was assigned again.
// - A watch that was sent in an earlier era has lost its history.
store_reply reply_in_era(const store_command& command, store_reply reply, std::uint64_t sent_era,
                         std::uint64_t answer_era, std::uint64_t current_era);

} // namespace caraway
