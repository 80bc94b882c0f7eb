#include "decide/traffic/route_latency.hpp"

#include <algorithm>

namespace caraway {
namespace {

// A new answer has a weight of one in this many.
constexpr std::uint32_t smoothing_samples = 16;
// Number of answers from which the values are used.
constexpr std::uint32_t min_answers = 4;
// Maximum number of routes tracked; a service has few that are called often.
constexpr std::size_t max_routes = 256;

} // namespace

// The first answers are averaged evenly, so that the first one has no more weight than the others.
void update_route_latency(route_latencies& latencies, std::string_view route, duration latency) {
    auto found = latencies.find(route);
    if (found == latencies.end()) {
        if (route.empty() || latencies.size() >= max_routes) {
            return;
        }
        found = latencies.emplace(route, route_latency{}).first;
    }
    route_latency& known = found->second;
    ++known.m_answers;
    const auto weight = static_cast<int>(std::min(known.m_answers, smoothing_samples));
    const duration distance =
        latency > known.m_mean ? latency - known.m_mean : known.m_mean - latency;
    known.m_mean += (latency - known.m_mean) / weight;
    if (known.m_answers > 1) {
        known.m_deviation += (distance - known.m_deviation) / weight;
    }
}

const route_latency* find_route_latency(const route_latencies& latencies, std::string_view route) {
    const auto found = latencies.find(route);
    return found == latencies.end() || found->second.m_answers < min_answers ? nullptr
                                                                             : &found->second;
}

} // namespace caraway
