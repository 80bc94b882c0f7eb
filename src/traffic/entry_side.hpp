// Entry side of a node: accepts requests of callers, chooses a version and a backend server,
// forwards the call, and retries it where that is safe.
#pragma once

#include "traffic/traffic_context.hpp"

namespace caraway {

// Handles a request of a caller or an onward call of the own backend server. Returns the answer to
// send; for a failed call it states outcome and reason. Suspends the coroutine while the call is in
// progress.
call_reply handle_entry(traffic_context& context, call_control& control, http_request& request,
                        boost::asio::yield_context yield);

// Returns true if the route of the request is marked as idempotent in the configuration in force.
// Returns false if there is no configuration or no route matches.
bool is_idempotent_call(const traffic_context& context, const http_request& request);

} // namespace caraway
