// Speed of backend servers: the estimate in the node beside a server, the report that travels with
// its answers, and what a caller's node derives from the reports. Pure functions without I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.hpp"

namespace caraway {

// Usual run time of one route and the number of answers it is based on.
struct usual_run_time {
    duration m_mean{};
    std::uint32_t m_answers = 0;
    time_point m_updated;
};

// Estimate of the present speed of one backend server, kept by the node beside it.
struct server_speed {
    std::map<std::string, usual_run_time, std::less<>> m_routes;
    // Sum of the ratios of run time to usual run time of the recent answers, and their number. Both
    // decay with time.
    double m_recent_ratios = 0;
    double m_recent_answers = 0;
    time_point m_answered;     // time of the last answer
    double m_mean_load = 0;    // busy slots and queued calls per slot, averaged over time
    double m_current_load = 0; // since m_load_changed
    time_point m_load_changed;
};

// Records a successful answer: run_time is the time from sending the request to the answer. Calls
// without a route and routes beyond a maximum number are ignored.
void record_run_time(server_speed& speed, std::string_view route, duration run_time,
                     time_point now);

// Records the load of the server (1000 means that all slots are busy), which holds until the next
// call of this function.
void record_load(server_speed& speed, std::uint32_t load_permille, time_point now);

// Figures about a backend server that travel with every answer of the node beside it.
struct speed_report {
    std::uint32_t m_mean_load_permille = 0; // mean of the last second
    std::uint32_t m_slots = 0;              // calls that may run at the same time
    // Present run times relative to the usual ones of the same routes: 2500 means that calls take
    // 2.5 times as long as usual.
    std::uint32_t m_slowness_permille = 1000;
    duration m_usual_run{}; // of the route of the answered call on this server; 0 if unknown
    duration m_held{};      // time for which the node held the answered call
    friend bool operator==(const speed_report&, const speed_report&) = default;
};

// Returns the present figures for an answer to a call of the route. The caller sets m_slots and
// m_held.
speed_report report_speed(const server_speed& speed, std::string_view route, time_point now);

// Returns whether a server counts as slow in the log; was_slow is the last result. The limits for
// the two changes differ, so that small variations are not logged.
bool is_slow(const speed_report& report, bool was_slow);

// Formats a report as five decimal numbers separated by spaces; times are in microseconds.
std::string format_speed_report(const speed_report& report);

// Parses the text of format_speed_report. Returns nothing unless it consists of five numbers within
// their bounds.
std::optional<speed_report> parse_speed_report(std::string_view text);

// Reference run times of the routes of one service, kept by a caller's node, in seconds. The usual
// run time of a route on a server is estimated as the reference times the server's factor.
using route_references = std::map<std::string, double, std::less<>>;

// Corrects the reference of a route and the factor of a server with a reported usual run time, and
// returns the server's new factor. A factor of 0 means that it is unknown.
double learn_speed_factor(route_references& references, std::string_view route, duration usual_run,
                          double factor);

// Returns the reference run time of a route, or 0 if it is unknown.
duration find_reference(const route_references& references, std::string_view route);

// Returns the new estimate of the network time to a server and back, a low estimate over recent
// answers. waited is the time until the answer, held the time for which the other node had the
// call.
duration update_network_time(duration known, duration waited, duration held);

} // namespace caraway
