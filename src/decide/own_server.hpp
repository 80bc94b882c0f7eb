// What a node knows of the backend server beside it from the server's own reports. The node is the
// only way to the server, so this state alone decides whether calls may reach it. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "config/settings.hpp"

namespace caraway {

enum class server_state : std::uint8_t { ready, draining };

// One heartbeat of a backend server.
struct server_report {
    std::string m_server; // identity of this incarnation; most restarts change it
    std::string m_service;
    std::string m_version;
    std::string m_data_centre;
    ip_endpoint m_address;
    std::uint32_t m_slots = 0; // calls that it runs at a time
    server_state m_state = server_state::ready;
    std::uint64_t m_sequence = 0;  // rises with each report of an incarnation
    std::int64_t m_started_ms = 0; // Unix milliseconds at its start, by its own clock
    milliseconds m_warmup_left{0}; // how long it stays cold; 0: warm
};

// A server's word that it stops; nothing but its identity is certain to be there.
struct server_leave {
    std::string m_server;
    std::optional<std::int64_t> m_started_ms;
};

struct own_server {
    std::optional<server_report> m_report; // latest one of the current incarnation
    // The last leave of a server that was not known then, as to a node that has just restarted.
    std::optional<server_leave> m_unmatched_leave;
    time_point m_unmatched_leave_at;
    time_point m_reported_at;
    time_point m_cold_until;
    bool m_left = false;        // it said that it stops
    bool m_unreachable = false; // connections to it failed since its last report
};

enum class report_verdict : std::uint8_t {
    taken,   // news of the current incarnation, or the first of a new one
    stale,   // late: a newer report or incarnation is known
    foreign, // of a server at another address
};

// Returns the word for a verdict in logs.
std::string_view report_verdict_name(report_verdict value);

// A heartbeat arrived. An incarnation that started before the known one names no server any more,
// and neither does one at another address than the own server's.
report_verdict receive_report(own_server& server, const server_report& report,
                              const ip_endpoint& own_address, time_point now);

// The server said that it stops. A leave of an earlier incarnation is stale.
report_verdict receive_leave(own_server& server, const server_leave& leave, time_point now);

// Why the server may get no call: none if it may; draining, or connect_failed while it is not
// there.
error_kind server_refusal(const own_server& server, time_point now, milliseconds silence_limit);

} // namespace caraway
