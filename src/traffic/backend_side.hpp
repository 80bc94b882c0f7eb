// Backend side of a node: refuses the calls that its own backend server must not receive, admits
// the others, and classifies how each call ended.
#pragma once

#include "traffic/traffic_context.hpp"

namespace caraway {

// Handles a call that another node sent to this one.
call_reply handle_backend_call(traffic_context& context, call_control& control,
                               http_request& request, boost::asio::yield_context yield);

// Runs a call at the own backend server, either for a caller of this node or for another node.
// sender_version is the configuration version of the node that routed the call. Rewrites the
// request's headers for the server.
call_reply run_backend_call(traffic_context& context, call_control& control, const call_info& info,
                            std::uint64_t sender_version, http_request& request,
                            boost::asio::yield_context yield);

} // namespace caraway
