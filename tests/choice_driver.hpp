// Drives the choice of backend servers, admission and the reports of speed with many callers' nodes
// and without a network. Each node knows only what the answers to its own calls have stated.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <string_view>
#include <vector>

#include "base/random.hpp"
#include "decide/traffic/admission.hpp"
#include "decide/traffic/balance.hpp"
#include "decide/traffic/pushback.hpp"
#include "decide/traffic/server_speed.hpp"

namespace caraway {

// The work of a route at the nominal speed, its share of the calls and its target latency.
struct driven_route {
    std::string_view m_name;
    milliseconds m_work;
    std::uint64_t m_weight;
    milliseconds m_target;
};
constexpr std::array<driven_route, 3> driven_routes{
    {{"/short", milliseconds(54), 5, milliseconds(300)},
     {"/medium", milliseconds(120), 3, milliseconds(600)},
     {"/long", milliseconds(290), 2, milliseconds(1'400)}}};
constexpr double mean_work_s = (5 * 0.054 + 3 * 0.120 + 2 * 0.290) / 10;

// Conditions of one run.
struct drive {
    bool m_by_expected_time = true; // otherwise choose_candidate decides
    std::size_t m_data_centres = 3;
    std::size_t m_nodes_each = 40;
    std::vector<double> m_speeds{
        0.5, 1.0, 1.6, 0.5, 1.0, 1.6, 0.5, 1.0,
        1.6, 0.5, 1.0, 1.6, 0.5, 1.0, 1.6}; // of the servers of a data centre
    // Calls of a data centre's callers per second, relative to the capacity of its servers.
    std::function<double(std::size_t data_centre, double seconds)> m_load;
    // Factor by which a server is slower than its speed at a time.
    std::function<double(std::size_t server, double seconds)> m_slowness = [](auto, auto) {
        return 1.0;
    };
    double m_warmup = 5;    // seconds that are not counted
    double m_duration = 10; // counted seconds
    std::uint64_t m_seed = 1;
};

// What happened to the counted calls.
struct drive_result {
    std::uint64_t m_calls = 0;
    std::uint64_t m_waited = 0; // queued while another server of the data centre had a free slot
    std::uint64_t m_queued = 0;
    std::uint64_t m_late = 0;    // answered after the target latency
    std::uint64_t m_refused = 0; // without an answer after all retries
    std::uint64_t m_refusals = 0;
    std::uint64_t m_left = 0; // answered in another data centre
    double m_mean_ms = 0;
    double m_p99_ms = 0;
    std::vector<double> m_server_calls;     // answered calls by server
    std::vector<double> m_left_calls;       // the same of other data centres' callers
    std::vector<double> m_left_by_interval; // share of calls that left, for each 250 ms

    double share(std::uint64_t count) const {
        return static_cast<double>(count) / static_cast<double>(m_calls);
    }
};

// Runs the conditions and returns what happened.
drive_result run_drive(const drive& conditions);

} // namespace caraway
