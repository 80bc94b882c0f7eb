// One incoming connection of a caller or of another node: reads its requests, runs them and answers
// in their order.
#pragma once

#include <memory>

#include <boost/asio/spawn.hpp>

#include "traffic/traffic_context.hpp"

namespace caraway {

// Serves the requests of the connection until it ends. callers_only: every request is a caller's,
// whatever its headers say. Requests that arrive behind another one are read while that one runs;
// idempotent ones begin at once, so that a caller that sends several doesn't wait for the sum of
// their times.
void serve_connection(traffic_context& context, const std::shared_ptr<call_control>& control,
                      bool callers_only, boost::asio::yield_context yield);

// Tells a connection above the limit that it is one too many.
void refuse_surplus_connection(traffic_context& context, call_control& control,
                               boost::asio::yield_context yield);

} // namespace caraway
