#include "traffic/server_answer.hpp"

#include <algorithm>
#include <array>

namespace caraway {
namespace {

// Statuses with which a server can state that it did not run the request.
constexpr std::array<unsigned, 4> not_run_statuses{400, 421, 429, 503};
constexpr unsigned misdirected_status = 421;

// Returns true if the answer rejects the request because it was meant for another server. Such an
// answer is true of every request for that other server, so it needs no request number.
bool is_misdirected(const edge_headers& edge, const http_response& answer,
                    const http_request& request) {
    const std::string_view identity = header_value(answer, edge.m_server_identity);
    return answer.result_int() == misdirected_status && !identity.empty() &&
           identity != header_value(request, edge.m_expected_server);
}

} // namespace

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
