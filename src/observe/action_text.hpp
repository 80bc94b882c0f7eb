// Text forms of what the decision code returns, for recorded inputs and their replay. Both sides
// use these functions, so equal actions give equal texts.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "decide/admission.hpp"
#include "decide/distribution.hpp"
#include "decide/lease.hpp"
#include "decide/version_move.hpp"

namespace caraway {

// The request chosen, with the state that the keeper is in after it.
std::string action_text(const lease_keeper& keeper, lease_request request);

// The verdict on an offered call, with the running calls and the limit after it.
std::string action_text(const admission_state& state, const admission_result& result);
// The waiting calls that may run or expired, with the running calls and the limit after it.
std::string action_text(const admission_state& state, const released_calls& release);

// The actions in order, as "fetch east-1 3;announce 4;parse 4"; empty if there are none.
std::string action_text(std::span<const distribution_action> actions);

// The verdict with route and reason.
std::string action_text(const evidence_result& result);
// "wait", or "write" with the record as the store gets it.
std::string action_text(const move_step& step);

// Counts as "CALLS FAILURES COLD CLASS:COUNT ...", latency classes without calls left out.
std::string counts_text(const arm_counts& counts);
// Reads counts back; nothing if the text is none.
std::optional<arm_counts> parse_counts(std::string_view text);

} // namespace caraway
