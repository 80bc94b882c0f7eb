// Handles the reports of the backend server beside this node and updates the traffic threads and
// the members. A reply acknowledges a report only after its content is in force on this node.

#include "node/control.hpp"
#include "observe/log.hpp"
#include "traffic/admin.hpp"

namespace caraway {
namespace {

// Number of report intervals without a report after which the server is considered dead. Reports
// may be seconds late.
constexpr int max_missed_reports = 4;

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

// Handles a report of the server with the given name; answers an unreadable one with 400.
admin_answer handle_report(control& state, std::string_view server, std::string_view body) {
    error reason;
    const auto report = state.m_adapter.m_report_interface.m_decode_report(server, body, reason);
    if (!report) {
        log_event(log_level::warning, "server_report_unreadable",
                  {{"server", server}, {"reason", reason.m_text}});
        return {400, "application/json", "{}"};
    }
    const std::optional<server_report> previous_report = state.m_own_server.m_report;
    const report_verdict verdict =
        receive_report(state.m_own_server, *report, state.m_settings.m_backend_server, state.now());
    if (verdict != report_verdict::taken || is_changed_report(previous_report, *report)) {
        log_report(*report, verdict);
    }
    refresh_own_server(state);
    return {200, "application/json", "{}"};
}

// Handles a leave notice of the server with the given name; answers an unreadable one with 400.
admin_answer handle_leave(control& state, std::string_view server, std::string_view body) {
    error reason;
    const auto leave = state.m_adapter.m_report_interface.m_decode_leave(server, body, reason);
    if (!leave) {
        log_event(log_level::warning, "server_leave_unreadable",
                  {{"server", server}, {"reason", reason.m_text}});
        return {400, "application/json", "{}"};
    }
    const report_verdict verdict = receive_leave(state.m_own_server, *leave, state.now());
    log_event(log_level::info, "server_leave",
              {{"server", server}, {"verdict", report_verdict_name(verdict)}});
    refresh_own_server(state);
    return {200, "application/json", "{}"};
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

admin_answer answer_server_request(control& state, const admin_request& request) {
    const server_report_interface& reports = state.m_adapter.m_report_interface;
    if (!request.m_is_get && request.m_path.starts_with(reports.m_report_path)) {
        return handle_report(state, request.m_path.substr(reports.m_report_path.size()),
                             request.m_body);
    }
    if (!request.m_is_get && request.m_path.starts_with(reports.m_leave_path)) {
        return handle_leave(state, request.m_path.substr(reports.m_leave_path.size()),
                            request.m_body);
    }
    return {404, "application/json", "{}"};
}

} // namespace caraway
