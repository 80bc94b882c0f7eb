// The entry side of a node: takes callers' requests, chooses version and backend server, forwards,
// and tries again where that is safe.
#pragma once

#include "traffic/traffic_context.hpp"

namespace caraway {

// Handles a caller's request, or an onward call of the own backend server.
call_reply handle_entry(traffic_context& context, call_control& control, http_request& request,
                        boost::asio::yield_context yield);

// True for a caller's request whose route may be repeated, as far as the configuration in force
// says; false where no route matches.
bool is_idempotent_call(const traffic_context& context, const http_request& request);

} // namespace caraway
