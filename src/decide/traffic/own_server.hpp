// State of the backend server beside a node, from the server's own reports. Calls reach the server
// only through this node, so this state alone decides whether it receives any. Pure functions
// without I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "base/endpoint.hpp"
#include "base/error.hpp"
#include "decide/membership/server_departure.hpp"

namespace caraway {

enum class server_state : std::uint8_t { ready, draining };

// Heartbeat of a backend server.
struct server_report {
    std::string m_server; // identity of the incarnation; most restarts change it
    std::string m_service;
    std::string m_version;
    std::string m_data_centre;
    ip_endpoint m_address;
    std::uint32_t m_slots = 0; // maximum number of concurrent calls
    server_state m_state = server_state::ready;
    std::uint64_t m_sequence = 0;  // increases with each report of an incarnation
    std::int64_t m_started_ms = 0; // start time in Unix milliseconds by the server's clock
    milliseconds m_warmup_left{0}; // remaining warm-up time; 0 when warm
};

// Message of a backend server that it is stopping. Only the identity is always present.
struct server_leave_notice {
    std::string m_server;
    std::optional<std::int64_t> m_started_ms;
};

// Returns whether a server can have started at this time, in Unix milliseconds like now_ms. A start
// far in the future would make the reports of every later incarnation stale.
bool is_plausible_start(std::int64_t started_ms, std::int64_t now_ms);

// State of the backend server beside this node.
struct own_server {
    std::optional<server_report> m_report; // last accepted report of the current incarnation
    // Last leave notice of a server that this node didn't know at that time, for example because
    // the node had just restarted.
    std::optional<server_leave_notice> m_unmatched_leave;
    time_point m_unmatched_leave_at;
    // Incarnations that have departed, as acknowledged by this process or a predecessor of it.
    std::vector<server_departure> m_departures;
    time_point m_reported_at;
    time_point m_cold_until;
    bool m_left = false;        // the current incarnation sent a leave notice
    bool m_unreachable = false; // a connection failed since the last report
};

// Result of processing a report or a leave notice.
enum class report_verdict : std::uint8_t {
    taken,   // newer report of the current incarnation, or the first of a new one
    stale,   // a newer report or incarnation is already known
    foreign, // comes from a server at another address
};

// Returns the name of a verdict as it appears in logs.
std::string_view report_verdict_name(report_verdict value);

// Processes a heartbeat. Reports of an incarnation that started before the known one are stale, and
// reports of a server at another address than own_address are foreign; neither changes the state.
report_verdict receive_report(own_server& server, const server_report& report,
                              const ip_endpoint& own_address, time_point now);

// Processes a leave notice. A notice of an earlier incarnation is stale. A notice of an unknown
// server is stale, too, but is stored to reject late reports of that server. A notice of a later
// incarnation than the known one ends both.
report_verdict receive_leave(own_server& server, const server_leave_notice& leave, time_point now);

// Returns the departure that acknowledging the notice promises to respect. Without a start time in
// the notice, it is that of the known report, or else now_ms, the current Unix time in
// milliseconds.
server_departure departure_of(const own_server& server, const server_leave_notice& leave,
                              std::int64_t now_ms);

// Applies a departure that this process or a predecessor of it has acknowledged: the server gets no
// calls, and its late reports are stale.
void apply_departure(own_server& server, const server_departure& departure, time_point now);

// Forgets the last report, which may have been sent to a predecessor of this process before the
// server departed. The server must report again.
void forget_report(own_server& server);

// Returns why the server may receive no calls: none if it may, draining if it is draining or
// stopping, or connect_failed if it is unknown, unreachable or has sent no report for longer than
// silence_limit.
error_kind server_refusal(const own_server& server, time_point now, milliseconds silence_limit);

} // namespace caraway
