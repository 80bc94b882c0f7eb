// What a caller's node knows about the speed of the backend servers, from the reports in answers.
// Includes Boost.Beast, so only the .cpp files of this folder include it.
#pragma once

#include <mutex>
#include <string_view>

#include "decide/traffic/balance.hpp"
#include "decide/traffic/server_speed.hpp"
#include "http/message.hpp"
#include "traffic/snapshot.hpp"

namespace caraway {

// Copies the figures that choose_by_expected_time uses to the candidate, whose number of
// outstanding calls must already be set.
void fill_speed(const backend_counters& counters, candidate& entry);

// Records that an answer with a load report has arrived, and the speed report if it has one. The
// references are those of the service; the mutex protects them. waited is the time until the
// answer; 0 for the own server, which has no network time.
void update_known_speed(backend_counters& counters, const http_response& answer,
                        std::string_view route, duration waited, std::mutex& mutex,
                        route_references& references);

} // namespace caraway
