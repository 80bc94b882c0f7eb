#include "decide/traffic/onward_calls.hpp"

#include <algorithm>

namespace caraway {

std::string_view parent_number(std::string_view request_number, char separator) {
    const std::size_t at =
        separator == '\0' ? std::string_view::npos : request_number.rfind(separator);
    return at == std::string_view::npos ? std::string_view{} : request_number.substr(0, at);
}

std::optional<call_terms> inherited_terms(const served_calls& served, std::string_view parent,
                                          urgency own) {
    if (parent.empty()) {
        return std::nullopt;
    }
    const auto found = served.find(parent);
    if (found == served.end()) {
        return std::nullopt;
    }
    call_terms terms = found->second.m_terms;
    terms.m_urgency = std::min(terms.m_urgency, own);
    ++terms.m_hop;
    return terms;
}

bool may_wait_for_deadline(std::uint32_t refusals, bool all_refuse) {
    return all_refuse || refusals >= refusals_before_waiting;
}

// The wait is taken to lie at the beginning of the onward call. Only the part after the waits that
// were counted before is added, since the server may make several onward calls at once.
void record_onward_waits(served_calls& served, std::string_view parent, const capacity_waits& waits,
                         time_point began, time_point now) {
    const auto found = served.find(parent);
    if (found == served.end()) {
        return;
    }
    capacity_waits& total = found->second.m_waits;
    total.m_refused = total.m_refused || waits.m_refused;
    const time_point wait_ended = std::min(began + waits.m_waited, now);
    const time_point uncounted_from = std::max(began, total.m_counted_to);
    if (wait_ended > uncounted_from) {
        total.m_waited += wait_ended - uncounted_from;
        total.m_counted_to = wait_ended;
    }
}

} // namespace caraway
