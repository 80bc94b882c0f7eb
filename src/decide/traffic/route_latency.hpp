// Smoothed latency of a backend server for each route. The work per call differs by an order of
// magnitude between the routes of one service, so a single average would misjudge most of them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.hpp"

namespace caraway {

// Smoothed latency of one route and the number of answers it is based on.
struct route_latency {
    duration m_mean{};
    duration m_deviation{}; // smoothed absolute deviation from the mean
    std::uint32_t m_answers = 0;
};

using route_latencies = std::map<std::string, route_latency, std::less<>>;

// Updates the smoothed latency of a route with one answer. Routes beyond a maximum number are
// ignored.
void update_route_latency(route_latencies& latencies, std::string_view route, duration latency);

// Returns the latency of the route, or null while there are too few answers. The pointer is valid
// until the map is destroyed.
const route_latency* find_route_latency(const route_latencies& latencies, std::string_view route);

} // namespace caraway
