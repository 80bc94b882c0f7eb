// HTTP messages of the traffic side: header names, removal of headers, error responses. Includes
// Boost.Beast, so only the .cpp files of this folder include it.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <boost/beast/http.hpp>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "http/body_pieces.hpp"

namespace caraway {

namespace http = boost::beast::http;
using http_request = http::request<pieces_body>;
using http_response = http::response<http::string_body>;

// Names of the headers that the nodes use. All begin with internal_prefix except the last three.
namespace header {
constexpr std::string_view internal_prefix = "x-caraway-";
constexpr std::string_view service = "x-caraway-service";
constexpr std::string_view backend_version = "x-caraway-backend-version";
constexpr std::string_view config_version = "x-caraway-config-version";
constexpr std::string_view deadline_ms = "x-caraway-deadline-ms";
// Milliseconds until an answer loses most of its value to the caller.
constexpr std::string_view useful_ms = "x-caraway-useful-ms";
constexpr std::string_view hop = "x-caraway-hop";
// Present if the call, or one that it serves, reached a server in an earlier attempt.
constexpr std::string_view repeated = "x-caraway-repeated";
// Urgency that an onward call has inherited, as the number of the level.
constexpr std::string_view urgency = "x-caraway-urgency";
constexpr std::string_view first_sent = "x-caraway-first-sent";
constexpr std::string_view instance = "x-caraway-instance";
constexpr std::string_view outcome = "x-caraway-outcome";
constexpr std::string_view reason = "x-caraway-reason";
constexpr std::string_view load = "x-caraway-load";
// Smoothed latency of the backend server in microseconds, and its failures in permille of its
// calls.
constexpr std::string_view latency_us = "x-caraway-latency-us";
constexpr std::string_view failures = "x-caraway-failures";
// Speed and mean load of the backend server; see speed_report.
constexpr std::string_view speed = "x-caraway-speed";
// On an overload refusal: microseconds until the backend server is expected to have capacity.
constexpr std::string_view capacity_after_us = "x-caraway-room-after-us";
// Microseconds for which the call and its onward calls waited for capacity.
constexpr std::string_view waited_us = "x-caraway-waited-us";
// Present if an onward call of the call was refused for lack of capacity.
constexpr std::string_view onward_refused = "x-caraway-onward-refused";
constexpr std::string_view replayed = "x-caraway-replayed";
constexpr std::string_view backend_shed = "x-caraway-backend-shed";
// Number of one exchange between two nodes, repeated in the answer. An answer with another number
// belongs to another request.
constexpr std::string_view exchange = "x-caraway-exchange";
constexpr std::string_view idempotency_key = "idempotency-key";
constexpr std::string_view request_number = "x-request-number";
constexpr std::string_view traceparent = "traceparent";
} // namespace header

// Path prefix of the requests that nodes send each other besides calls.
constexpr std::string_view node_path_prefix = "/.caraway/";
// Depth above which a chain of calls is assumed to be a loop.
constexpr std::uint32_t max_hops = 7;

// Returns the value of a header, or an empty string if it is absent. The view is valid until the
// header changes.
std::string_view header_value(const http::fields& fields, std::string_view name);

// Returns the value of a header that contains a decimal number, or nothing if it is absent or
// malformed.
std::optional<std::uint64_t> numeric_header_value(const http::fields& fields,
                                                  std::string_view name);

// Returns the remaining time that the sender states in the header, or nothing if the header is
// absent or malformed. The value is limited to one hour so that sums with it cannot overflow.
std::optional<milliseconds> remaining_time(const http::fields& fields,
                                           std::string_view name = header::deadline_ms);

// Returns the host that a request names, without the port; empty if it names none.
std::string_view host_of(const http_request& request);

// Sets a header and replaces any previous value.
void set_header(http::fields& fields, std::string_view name, std::string_view value);

// Sets a header to a decimal number.
void set_numeric_header(http::fields& fields, std::string_view name, std::uint64_t value);

// Sets Retry-After, the time after which a refused caller should retry, in seconds with three
// decimals.
void set_retry_after(http::fields& fields, duration wait);

// Removes all headers that begin with internal_prefix except those in keep.
void strip_internal_headers(http::fields& fields, std::span<const std::string_view> keep);

// Removes the headers that apply to one connection only, and those that any of the Connection
// headers names.
void strip_hop_by_hop_headers(http::fields& fields);

// Returns the path of a request target, without the query and, in absolute form, without scheme and
// authority.
std::string_view path_of(std::string_view target);

// Returns the approximate size of a message on the wire in bytes.
std::size_t message_bytes(const http_request& message);
std::size_t message_bytes(const http_response& message);

// Makes the answer to a call that failed: status, outcome and reason for the error kind, and a
// short JSON body with the text.
http_response make_error_response(error_kind kind, std::string_view text);

// Makes an answer with a JSON body.
http_response make_json_response(unsigned status, std::string body);

} // namespace caraway
