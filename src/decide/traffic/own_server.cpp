#include "decide/traffic/own_server.hpp"

#include <utility>

namespace caraway {
namespace {

// Returns true if the identity and the start time are those of the current incarnation.
bool is_current(const own_server& server, std::string_view identity, std::int64_t started_ms) {
    return server.m_report && server.m_report->m_server == identity &&
           server.m_report->m_started_ms == started_ms;
}

// Maximum time by which the clock of a server is ahead of this node's.
constexpr std::chrono::hours max_clock_lead{1};

// Within max_report_delay after a leave notice without a start time, a report with a sequence
// number above this can't come from a new incarnation: its sequence restarts, and a server needs
// some seconds to stop and start.
constexpr std::uint64_t max_new_incarnation_sequence = 2;

// Returns true if the report comes from an incarnation whose leave notice arrived before this node
// knew it. A notice without a start time is attributed to the incarnation whose late report follows
// it; a report that arrives after max_report_delay is taken for one of a new incarnation.
bool has_left(own_server& server, const server_report& report, time_point now) {
    auto& leave = server.m_unmatched_leave;
    if (!leave || leave->m_server != report.m_server) {
        return false;
    }
    const bool late = now - server.m_unmatched_leave_at <= max_report_delay &&
                      report.m_sequence > max_new_incarnation_sequence;
    if (!leave->m_started_ms && late) {
        leave->m_started_ms = report.m_started_ms;
    }
    return leave->m_started_ms && report.m_started_ms <= *leave->m_started_ms;
}

} // namespace

std::string_view report_verdict_name(report_verdict value) {
    switch (value) {
    case report_verdict::taken:
        return "taken";
    case report_verdict::stale:
        return "stale";
    case report_verdict::foreign:
        break;
    }
    return "foreign";
}

bool is_plausible_start(std::int64_t started_ms, std::int64_t now_ms) {
    return started_ms <= now_ms + milliseconds(max_clock_lead).count();
}

report_verdict receive_report(own_server& server, const server_report& report,
                              const ip_endpoint& own_address, time_point now) {
    if (report.m_address != own_address) {
        return report_verdict::foreign;
    }
    if (has_left(server, report, now)) {
        return report_verdict::stale;
    }
    if (is_current(server, report.m_server, report.m_started_ms)) {
        if (report.m_sequence <= server.m_report->m_sequence) {
            return report_verdict::stale;
        }
    } else {
        const bool is_earlier =
            server.m_report && report.m_started_ms <= server.m_report->m_started_ms;
        if (is_earlier || has_departed(server.m_departures, report.m_server, report.m_started_ms)) {
            return report_verdict::stale;
        }
        forget_report(server);
    }
    server.m_report = report;
    server.m_reported_at = now;
    server.m_cold_until = now + report.m_warmup_left;
    server.m_unreachable = false;
    return report_verdict::taken;
}

report_verdict receive_leave(own_server& server, const server_leave_notice& leave, time_point now) {
    if (!server.m_report || server.m_report->m_server != leave.m_server) {
        server.m_unmatched_leave = leave;
        server.m_unmatched_leave_at = now;
        return report_verdict::stale;
    }
    if (leave.m_started_ms && *leave.m_started_ms < server.m_report->m_started_ms) {
        return report_verdict::stale;
    }
    // A notice of a later incarnation, whose first reports are late, also means that the known one
    // has ended.
    if (leave.m_started_ms && *leave.m_started_ms > server.m_report->m_started_ms) {
        server.m_unmatched_leave = leave;
        server.m_unmatched_leave_at = now;
    }
    server.m_left = true;
    return report_verdict::taken;
}

server_departure departure_of(const own_server& server, const server_leave_notice& leave,
                              std::int64_t now_ms) {
    if (leave.m_started_ms) {
        return {leave.m_server, *leave.m_started_ms};
    }
    const bool known = server.m_report && server.m_report->m_server == leave.m_server;
    return {leave.m_server, known ? server.m_report->m_started_ms : now_ms};
}

void apply_departure(own_server& server, const server_departure& departure, time_point now) {
    if (departure.m_server.empty()) {
        return;
    }
    add_departure(server.m_departures, departure);
    if (server.m_report &&
        has_departed(departure, server.m_report->m_server, server.m_report->m_started_ms)) {
        server.m_left = true;
        return;
    }
    auto& leave = server.m_unmatched_leave;
    if (!leave || (leave->m_server == departure.m_server && !leave->m_started_ms)) {
        leave = server_leave_notice{departure.m_server, departure.m_started_ms};
        server.m_unmatched_leave_at = now;
    }
}

void forget_report(own_server& server) {
    own_server next;
    next.m_unmatched_leave = std::move(server.m_unmatched_leave);
    next.m_unmatched_leave_at = server.m_unmatched_leave_at;
    next.m_departures = std::move(server.m_departures);
    server = std::move(next);
}

error_kind server_refusal(const own_server& server, time_point now, milliseconds silence_limit) {
    if (!server.m_report) {
        return error_kind::connect_failed;
    }
    if (server.m_left || server.m_report->m_state == server_state::draining) {
        return error_kind::draining;
    }
    const bool silent = now - server.m_reported_at > silence_limit;
    return silent || server.m_unreachable ? error_kind::connect_failed : error_kind::none;
}

} // namespace caraway
