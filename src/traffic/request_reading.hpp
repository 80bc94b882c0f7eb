// Reading of requests from a connection: limits of sizes and times, and the account of the bytes
// held for the request.
#pragma once

#include <memory>
#include <optional>

#include <boost/asio/spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "http/message.hpp"
#include "traffic/byte_budget.hpp"
#include "traffic/traffic_context.hpp"

namespace caraway {

using request_parser = http::request_parser<pieces_body>;

// The input of one connection. All access is on the strand of its call_control.
struct request_input {
    request_input(traffic_context& context, const std::shared_ptr<call_control>& control);

    traffic_context& m_context;
    const std::shared_ptr<call_control> m_control;
    const std::shared_ptr<byte_share> m_share;
    boost::beast::flat_buffer m_buffer;
    // Time at which the request that is being read must have made more progress.
    time_point m_deadline = time_point::max();
    // Whether m_deadline is set as the control's time limit. It isn't while a call runs, whose own
    // deadline is the limit.
    bool m_limits_time = false;
};

// Waits for the first bytes of a request unless some are buffered already.
boost::system::error_code await_request_bytes(request_input& input,
                                              boost::asio::yield_context yield);

// Reads the rest of a request into the parser and charges it. Confirms "Expect: 100-continue" if
// confirm is set. The connection is closed if the request makes too little progress.
boost::system::error_code read_request(request_input& input, request_parser& parser,
                                       byte_charge& charge, bool confirm,
                                       boost::asio::yield_context yield);

// Returns the refusal for a request that could not be read, with its exchange number if the headers
// contain one; nothing if the connection ended and there is no one to answer.
std::optional<http_response> make_read_refusal(const request_input& input,
                                               const boost::system::error_code& failed,
                                               const request_parser& parser);

} // namespace caraway
