// The backend side of a node: refuses what the own backend server must not get, admits the rest,
// and classifies how each call ended.
#pragma once

#include "traffic/traffic_context.hpp"

namespace caraway {

// Handles a call that another node sent here.
call_reply handle_backend_call(traffic_context& context, call_control& control,
                               http_request& request, boost::asio::yield_context yield);

// Runs a call at the own backend server, for either side. sender_version is the configuration
// version of the sender. The request's headers are rewritten for the server.
call_reply run_backend_call(traffic_context& context, call_control& control, const call_info& info,
                            std::uint64_t sender_version, http_request& request,
                            boost::asio::yield_context yield);

} // namespace caraway
