#include "http/server_answer.hpp"

#include <algorithm>
#include <array>

namespace caraway {
namespace {

// Statuses with which a server can state that it did not run the request.
constexpr std::array<unsigned, 4> not_run_statuses{400, 421, 429, 503};
constexpr unsigned misdirected_status = 421;
// Range of the statuses that HTTP defines.
constexpr unsigned min_status = 100;
constexpr unsigned max_status = 599;
constexpr unsigned http_1_1 = 11;

// Returns why the transfer encoding makes the framing contradictory, or an empty text. Requests
// never offer another encoding than chunked, and none in HTTP/1.0.
std::string_view encoding_fault(const http::response_header<>& head) {
    const auto [first, last] = head.equal_range(http::field::transfer_encoding);
    if (first == last) {
        return {};
    }
    if (std::next(first) != last || !boost::beast::iequals(first->value(), "chunked")) {
        return "a transfer encoding other than chunked";
    }
    if (head.version() < http_1_1) {
        return "a transfer encoding in HTTP/1.0";
    }
    if (head.find(http::field::content_length) != head.end()) {
        return "a length together with a transfer encoding";
    }
    return {};
}

// Returns true if the answer rejects the request because it was meant for another server. Such an
// answer is true of every request for that other server, so it needs no request number.
bool is_misdirected(const edge_headers& edge, const http_response& answer,
                    const http_request& request) {
    const std::string_view identity = header_value(answer, edge.m_server_identity);
    return answer.result_int() == misdirected_status && !identity.empty() &&
           identity != header_value(request, edge.m_expected_server);
}

} // namespace

std::string_view head_fault(const http::response_header<>& head) {
    const unsigned status = head.result_int();
    if (status < min_status || status > max_status) {
        return "the status is not 100 to 599";
    }
    if (head.result() == http::status::switching_protocols) {
        return "the server switches protocols";
    }
    const std::string_view fault = encoding_fault(head);
    if (!fault.empty()) {
        return fault;
    }
    const bool never_has_body =
        status < 200 || head.result() == http::status::no_content; // 304 may declare a length
    if (never_has_body &&
        (declared_length(head) > 0 || head.find(http::field::transfer_encoding) != head.end())) {
        return "a body that the status does not allow";
    }
    return {};
}

std::uint64_t declared_length(const http::response_header<>& head) {
    return numeric_header_value(head, "content-length").value_or(0);
}

answer_match match_answer(const edge_headers& edge, const http_response& answer,
                          const http_request& request, bool first_request) {
    const std::string_view expected = header_value(request, edge.m_request_number);
    const std::string_view number = header_value(answer, edge.m_request_number);
    if (expected.empty() || number == expected) {
        return answer_match::own;
    }
    if (!number.empty()) {
        return answer_match::other;
    }
    const bool attributable =
        !edge.m_servers_echo_number || first_request || is_misdirected(edge, answer, request);
    return attributable ? answer_match::own : answer_match::unclear;
}

std::optional<error> rejection_reason(const edge_headers& edge, const http_response& answer,
                                      answer_match match) {
    if (match == answer_match::unclear) {
        return error{error_kind::connection_cut, "the answer names no request"};
    }
    const unsigned status = answer.result_int();
    const bool may_mean_not_run = std::find(not_run_statuses.begin(), not_run_statuses.end(),
                                            status) != not_run_statuses.end();
    if (status == misdirected_status && !edge.m_expected_server.empty()) {
        return error{error_kind::version_not_served, "another backend server has the address"};
    }
    if (may_mean_not_run && !header_value(answer, edge.m_not_run).empty()) {
        return error{error_kind::backend_shed, "the backend server is overloaded"};
    }
    if (!edge.m_server_marker.empty() && header_value(answer, edge.m_server_marker).empty()) {
        return error{error_kind::connection_cut, "the answer lacks the server's seal"};
    }
    return std::nullopt;
}

} // namespace caraway
