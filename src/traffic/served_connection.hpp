// Incoming connection of a caller or of another node: reads requests, runs them and sends the
// answers in the order of the requests.
#pragma once

#include <memory>

#include <boost/asio/spawn.hpp>

#include "traffic/traffic_context.hpp"

namespace caraway {

// Serves the requests of the connection until it closes; suspends the coroutine meanwhile. If
// callers_only is set, every request is treated as a request of a caller, regardless of its
// headers. Pipelined requests are read while an earlier one runs. Idempotent ones start at once, so
// that a caller that pipelines requests does not wait for the sum of their times.
void serve_connection(traffic_context& context, const std::shared_ptr<call_control>& control,
                      bool callers_only, boost::asio::yield_context yield);

// Answers a connection above the connection limit with a refusal (too_many_connections) and closes
// it.
void refuse_surplus_connection(traffic_context& context, call_control& control,
                               boost::asio::yield_context yield);

} // namespace caraway
