// Whether the head of an answer is valid, and what an answer of the own backend server says about
// the request on whose connection it was read. Pure functions.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/error.hpp"
#include "config/settings.hpp"
#include "http/message.hpp"

namespace caraway {

// Returns why an answer with this head, of a server or a node, must not be passed on, or an empty
// text if it is valid: its status is not 100 to 599, it switches protocols, its framing is
// contradictory, or it declares a body where its status allows none. Contradictory lengths, and
// bytes that are not allowed, are found when the head is parsed.
std::string_view head_fault(const http::response_header<>& head);

// Returns the length of the body that the head declares; 0 if it declares none.
std::uint64_t declared_length(const http::response_header<>& head);

// How an answer relates to the request on whose connection it was read.
enum class answer_match : std::uint8_t {
    own,     // answers this request
    other,   // answers another request, as from a server that mixes up its answers
    unclear, // names no request, and may be a late answer to an earlier one on the connection
};

// Relates an answer to the request. On the first request of a connection, an answer without a
// number can only be its own.
answer_match match_answer(const edge_headers& edge, const http_response& answer,
                          const http_request& request, bool first_request);

// Returns why an answer can't be passed on as the result of the request, or nothing if it can:
// version_not_served or backend_shed if the server states that the request did not run, or
// connection_cut if the answer is unclear or lacks the marker that the server sets on all its
// answers.
std::optional<error> rejection_reason(const edge_headers& edge, const http_response& answer,
                                      answer_match match);

} // namespace caraway
