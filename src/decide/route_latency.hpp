// How long a backend server takes for the calls of each route. Routes of one service differ by an
// order of magnitude in the work that they ask for, so one value for all misjudges most of them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.hpp"

namespace caraway {

struct route_latency {
    duration m_mean{};
    duration m_deviation{}; // mean distance from the mean
    std::uint32_t m_answers = 0;
};

using route_latencies = std::map<std::string, route_latency, std::less<>>;

// Takes one answer into the route's smoothed latency. Routes beyond a bound are left out.
void update_route_latency(route_latencies& latencies, std::string_view route, duration latency);

// The latency of the route, or null while too few of its answers are known.
const route_latency* find_route_latency(const route_latencies& latencies, std::string_view route);

} // namespace caraway
