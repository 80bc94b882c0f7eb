#include "decide/membership/server_departure.hpp"

#include <tuple>

namespace caraway {

const server_departure& later_departure(const server_departure& first,
                                        const server_departure& second) {
    const bool first_is_later = std::tie(first.m_started_ms, first.m_server) >
                                std::tie(second.m_started_ms, second.m_server);
    return first_is_later ? first : second;
}

bool has_departed(const server_departure& departure, std::string_view server,
                  std::int64_t started_ms) {
    return !departure.m_server.empty() && departure.m_server == server &&
           started_ms <= departure.m_started_ms;
}

} // namespace caraway
