// Handles the reports of the backend server beside this node and updates the traffic threads and
// the members. A reply acknowledges a report only after its content is in force on this node, and a
// departure only after the store holds it, so that a successor of this process respects it too.

#include "node/control.hpp"
#include "observe/log.hpp"
#include "traffic/admin.hpp"

namespace caraway {
namespace {

// Number of report intervals without a report after which the server is considered dead. Reports
// may be seconds late.
constexpr int max_missed_reports = 4;

constexpr std::uint16_t status_acknowledged = 200;
constexpr std::uint16_t status_unreadable = 400;
constexpr std::uint16_t status_try_again = 503;

// Announces a change in the member data by which the other nodes route.
void announce_own_server(control& state) {
    perform(state, membership_update_self(state.m_members, true, state.now()));
}

void log_report(const server_report& report, report_verdict verdict) {
    log_event(log_level::info, "server_report",
              {{"server", report.m_server},
               {"service", report.m_service},
               {"version", report.m_version},
               {"draining", report.m_state == server_state::draining},
               {"warmup_ms", report.m_warmup_left.count()},
               {"sequence", report.m_sequence},
               {"verdict", report_verdict_name(verdict)}});
}

// Returns true if the report must be logged because the server, its state, its start time or its
// number of slots has changed, or because its warm-up begins or ends.
bool is_changed_report(const std::optional<server_report>& previous_report,
                       const server_report& current_report) {
    return !previous_report || previous_report->m_server != current_report.m_server ||
           previous_report->m_state != current_report.m_state ||
           previous_report->m_started_ms != current_report.m_started_ms ||
           previous_report->m_slots != current_report.m_slots ||
           (previous_report->m_warmup_left.count() == 0) !=
               (current_report.m_warmup_left.count() == 0);
}

// Answers a report or a leave notice.
void respond_with_status(const admin_responder& respond, std::uint16_t status) {
    respond({status, "application/json", "{}"});
}

// Puts a departure into force on this node, announces it and stores it, then answers.
void depart_and_respond(control& state, const server_departure& departure,
                        const admin_responder& respond) {
    server_departure& latest = state.m_members.m_self.m_departure;
    latest = later_departure(latest, departure);
    apply_departure(state.m_own_server, departure, state.now());
    refresh_own_server(state);
    announce_own_server(state);
    store_departure(state, departure, [respond](bool stored) {
        respond_with_status(respond, stored ? status_acknowledged : status_try_again);
    });
}

// Returns whether a server can have started at this time; otherwise sets reason.
bool check_start(const control& state, std::int64_t started_ms, error& reason) {
    if (is_plausible_start(started_ms, unix_ms(state.m_clock.wall_now()))) {
        return true;
    }
    fail(reason, error_kind::bad_request, "the start time lies in the future");
    return false;
}

// Decodes a report. Returns nothing and sets reason if it is unreadable, or if it can't come from a
// server of this mesh: it started in the future, or its service is neither in the configuration nor
// the one for which this node was set up.
std::optional<server_report> read_report(const control& state, std::string_view server,
                                         std::string_view body, error& reason) {
    auto report = state.m_adapter.m_report_interface.m_decode_report(server, body, reason);
    if (!report || !check_start(state, report->m_started_ms, reason)) {
        return std::nullopt;
    }
    const bool known_service =
        report->m_service == state.m_settings.m_service ||
        (state.m_mesh && state.m_mesh->m_services.contains(report->m_service));
    if (!known_service) {
        return fail(reason, error_kind::bad_request, "the configuration has no such service");
    }
    return report;
}

// Decodes a leave notice. Returns nothing and sets reason if it is unreadable or names a start in
// the future.
std::optional<server_leave_notice> read_leave(const control& state, std::string_view server,
                                              std::string_view body, error& reason) {
    auto leave = state.m_adapter.m_report_interface.m_decode_leave(server, body, reason);
    if (leave && leave->m_started_ms && !check_start(state, *leave->m_started_ms, reason)) {
        return std::nullopt;
    }
    return leave;
}

// Handles a report of the server with the given name; answers an unreadable one with 400.
void handle_report(control& state, std::string_view server, std::string_view body,
                   const admin_responder& respond) {
    error reason;
    const auto report = read_report(state, server, body, reason);
    if (!report) {
        log_event(log_level::warning, "server_report_unreadable",
                  {{"server", server}, {"reason", reason.m_text}});
        respond_with_status(respond, status_unreadable);
        return;
    }
    const std::optional<server_report> previous_report = state.m_own_server.m_report;
    const report_verdict verdict =
        receive_report(state.m_own_server, *report, state.m_settings.m_backend_server, state.now());
    if (verdict != report_verdict::taken || is_changed_report(previous_report, *report)) {
        log_report(*report, verdict);
    }
    if (verdict != report_verdict::foreign && report->m_state == server_state::draining) {
        depart_and_respond(state, {report->m_server, report->m_started_ms}, respond);
        return;
    }
    refresh_own_server(state);
    respond_with_status(respond, status_acknowledged);
}

// Handles a leave notice of the server with the given name; answers an unreadable one with 400.
void handle_leave(control& state, std::string_view server, std::string_view body,
                  const admin_responder& respond) {
    error reason;
    const auto leave = read_leave(state, server, body, reason);
    if (!leave) {
        log_event(log_level::warning, "server_leave_unreadable",
                  {{"server", server}, {"reason", reason.m_text}});
        respond_with_status(respond, status_unreadable);
        return;
    }
    const server_departure departure =
        departure_of(state.m_own_server, *leave, unix_ms(state.m_clock.wall_now()));
    const report_verdict verdict = receive_leave(state.m_own_server, *leave, state.now());
    log_event(log_level::info, "server_leave",
              {{"server", server}, {"verdict", report_verdict_name(verdict)}});
    depart_and_respond(state, departure, respond);
}

} // namespace

own_server_view make_own_server_view(const control& state) {
    own_server_view view;
    if (state.m_settings.m_reports.m_port == 0) {
        view.m_service = state.m_settings.m_service;
        view.m_version = state.m_settings.m_version;
        return view;
    }
    view.m_service = state.m_settings.m_service;
    const own_server& server = state.m_own_server;
    view.m_refusal = server_refusal(server, state.now(),
                                    max_missed_reports * state.m_settings.m_report_interval);
    if (view.m_refusal == error_kind::none && !state.m_departures.m_known) {
        view.m_refusal = error_kind::node_not_ready;
    }
    if (server.m_report) {
        view.m_server = server.m_report->m_server;
        view.m_service = server.m_report->m_service;
        view.m_version = server.m_report->m_version;
        view.m_slots = server.m_report->m_slots;
        view.m_cold_until = server.m_cold_until;
    }
    return view;
}

void refresh_own_server(control& state) {
    apply_departure(state.m_own_server, state.m_members.m_self.m_departure, state.now());
    const own_server_view view = make_own_server_view(state);
    if (view == state.m_own_view) {
        return;
    }
    state.m_own_view = view;
    member& self = state.m_members.m_self;
    const bool takes_work = state.m_distribution.m_ready && view.m_refusal == error_kind::none;
    const bool changed = self.m_ready != takes_work || self.m_service != view.m_service ||
                         self.m_version != view.m_version;
    self.m_ready = takes_work;
    self.m_service = view.m_service;
    self.m_version = view.m_version;
    state.m_snapshot_dirty = true;
    refresh_snapshot(state);
    if (changed) {
        log_event(log_level::info, "own_server",
                  {{"server", view.m_server},
                   {"service", view.m_service},
                   {"version", view.m_version},
                   {"takes_work", takes_work},
                   {"refusal", error_info_for(view.m_refusal).m_name}});
        announce_own_server(state);
    }
}

void mark_server_unreachable(control& state, const std::string& server) {
    own_server& own = state.m_own_server;
    if (own.m_report && own.m_report->m_server == server && !own.m_unreachable) {
        own.m_unreachable = true;
        refresh_own_server(state);
    }
}

void answer_server_request(control& state, const admin_request& request,
                           const admin_responder& respond) {
    const server_report_interface& reports = state.m_adapter.m_report_interface;
    if (!request.m_is_get && request.m_path.starts_with(reports.m_report_path)) {
        handle_report(state, request.m_path.substr(reports.m_report_path.size()), request.m_body,
                      respond);
        return;
    }
    if (!request.m_is_get && request.m_path.starts_with(reports.m_leave_path)) {
        handle_leave(state, request.m_path.substr(reports.m_leave_path.size()), request.m_body,
                     respond);
        return;
    }
    respond({404, "application/json", "{}"});
}

} // namespace caraway
