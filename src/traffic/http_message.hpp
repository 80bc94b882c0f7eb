// HTTP messages of the traffic side: header names, filtering of internal headers, refusals.
// Includes Boost.Beast, so only the .cpp files of this folder include it.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <boost/beast/http.hpp>

#include "base/clock.hpp"
#include "base/error.hpp"

namespace caraway {

namespace http = boost::beast::http;
using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

// Header names of the system. All begin with internal_prefix but for the last three.
namespace header {
constexpr std::string_view internal_prefix = "x-caraway-";
constexpr std::string_view service = "x-caraway-service";
constexpr std::string_view backend_version = "x-caraway-backend-version";
constexpr std::string_view config_version = "x-caraway-config-version";
constexpr std::string_view deadline_ms = "x-caraway-deadline-ms";
// Milliseconds until an answer loses most of its worth to the caller.
constexpr std::string_view useful_ms = "x-caraway-useful-ms";
constexpr std::string_view hop = "x-caraway-hop";
constexpr std::string_view first_sent = "x-caraway-first-sent";
constexpr std::string_view instance = "x-caraway-instance";
constexpr std::string_view outcome = "x-caraway-outcome";
constexpr std::string_view reason = "x-caraway-reason";
constexpr std::string_view load = "x-caraway-load";
// The backend server's smoothed latency in microseconds, and its failures in permille of its calls.
constexpr std::string_view latency_us = "x-caraway-latency-us";
constexpr std::string_view failures = "x-caraway-failures";
// On a refusal for want of room: microseconds until there may be some.
constexpr std::string_view capacity_after_us = "x-caraway-room-after-us";
constexpr std::string_view replayed = "x-caraway-replayed";
constexpr std::string_view backend_shed = "x-caraway-backend-shed";
// Number of one exchange between two nodes, repeated in the answer. An answer with another number
// belongs to another request.
constexpr std::string_view exchange = "x-caraway-exchange";
constexpr std::string_view idempotency_key = "idempotency-key";
constexpr std::string_view request_number = "x-request-number";
constexpr std::string_view traceparent = "traceparent";
} // namespace header

// Paths below this one are requests between nodes that are no calls.
constexpr std::string_view node_path_prefix = "/.caraway/";
// Depth above which a chain of calls is taken for a loop.
constexpr std::uint32_t max_hops = 7;

// Value of a header, empty if absent.
std::string_view header_value(const http::fields& fields, std::string_view name);

// Value of a header that holds a decimal number; nothing if absent or malformed.
std::optional<std::uint64_t> numeric_header_value(const http::fields& fields,
                                                  std::string_view name);

// The time left that the sender states in the header of that name, at most an hour, so that no sum
// with it overflows; nothing if absent or malformed.
std::optional<milliseconds> remaining_time(const http::fields& fields,
                                           std::string_view name = header::deadline_ms);

// The host that a request names, without a port; empty if none.
std::string_view host_of(const http_request& request);

// Sets a header, replacing what it held.
void set_header(http::fields& fields, std::string_view name, std::string_view value);

// Sets a header to a decimal number.
void set_numeric_header(http::fields& fields, std::string_view name, std::uint64_t value);

// Tells a refused caller when to come back, in seconds with three decimals.
void set_retry_after(http::fields& fields, duration wait);

// Removes all headers of the system but those to keep.
void strip_internal_headers(http::fields& fields, std::span<const std::string_view> keep);

// Removes the headers that describe one connection only, and those that a Connection header
// names; there may be several.
void strip_hop_by_hop_headers(http::fields& fields);

// The path of a request target: without query and, in absolute form, without scheme and authority.
std::string_view path_of(std::string_view target);

// About the bytes that a message takes on the wire.
std::size_t message_bytes(const http_request& message);
std::size_t message_bytes(const http_response& message);

// Makes the answer to a call that failed, with status, outcome, reason and a short JSON body.
http_response make_refusal(error_kind kind, std::string_view text);

// Makes an answer with a JSON body, for requests between nodes.
http_response make_json_response(unsigned status, std::string body);

} // namespace caraway
