// Formats the results of the decision code as text, for recordings and their replay. The recorder
// and the replay both call these functions, so equal results produce equal texts.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "decide/configuration/distribution.hpp"
#include "decide/leases/lease.hpp"
#include "decide/traffic/admission.hpp"
#include "decide/versions/version_move.hpp"

namespace caraway {

// Returns the chosen lease request and the keeper's state after it.
std::string action_text(const lease_keeper& keeper, lease_request request);

// Returns the verdict on an offered call, then the resulting state: the numbers of running and
// waiting calls and the cold-start limit.
std::string action_text(const admission_state& state, const admission_result& result);
// Returns the identifiers of the waiting calls that may now run and of those that have expired,
// then the resulting state: the numbers of running and waiting calls and the cold-start limit.
std::string action_text(const admission_state& state, const released_calls& release);

// Returns the actions in order, such as "fetch east-1 3;announce 4;parse 4". Empty if there are
// none.
std::string action_text(std::span<const distribution_action> actions);

// Returns the verdict with its route and reason.
std::string action_text(const evidence_result& result);
// Returns "wait", or "write" followed by the record as it is written to the store.
std::string action_text(const move_step& step);

// Formats counts as "CALLS FAILURES COLD_CALLS BUCKET:COUNT ...". Latency buckets without calls are
// omitted.
std::string format_counts(const arm_counts& counts);
// Parses the output of format_counts. Returns nothing if the text is malformed.
std::optional<arm_counts> parse_counts(std::string_view text);

} // namespace caraway
