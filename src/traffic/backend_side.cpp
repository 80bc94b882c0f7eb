#include "traffic/backend_side.hpp"

#include <algorithm>
#include <array>

#include "config/mesh.hpp"
#include "decide/traffic/pushback.hpp"
#include "http/server_answer.hpp"
#include "observe/log.hpp"
#include "traffic/exchange.hpp"

namespace caraway {
namespace {

namespace asio = boost::asio;

// Maximum number of attempts to claim a key. The second one is made when another node held the key
// and has withdrawn its claim.
constexpr int max_claim_rounds = 2;

// Result of one attempt at the own backend server.
struct server_result {
    std::optional<http_response> m_answer;
    byte_charge m_charge; // of the answer
    error m_reason;
    bool m_sent = false;
    bool m_replayed = false;  // the response is from an earlier attempt with the same key
    duration m_retry_after{}; // if refused for overload: estimated time until there is capacity
    capacity_waits m_waits;   // for a slot, and of the onward calls made for this call
};

// Waits until this node's configuration reaches the sender's version, at most for the configured
// time. Returns the current snapshot, whose version may still be lower.
std::shared_ptr<const routing_snapshot> wait_for_config(traffic_context& context,
                                                        call_control& control,
                                                        std::uint64_t version,
                                                        asio::yield_context yield) {
    auto snapshot = context.m_snapshot.load();
    if (snapshot->m_config_version >= version || !snapshot->m_ready) {
        return snapshot;
    }
    const auto self = control.shared_from_this();
    if (!context.m_config_waiting.add(self)) {
        return snapshot;
    }
    const time_point until =
        std::min(control.deadline(), context.m_clock.now() + context.m_settings.m_behind_wait);
    // Load again after the call was added, so that a change in between is not missed.
    snapshot = context.m_snapshot.load();
    while (snapshot->m_config_version < version && !control.is_ended() &&
           context.m_clock.now() < until) {
        control.wait(until, yield);
        snapshot = context.m_snapshot.load();
    }
    context.m_config_waiting.remove(self);
    return snapshot;
}

// Returns the reason to refuse a call before admission, or nothing if it may continue.
std::optional<error> refusal_before_admission(const traffic_context& context, const call_info& info,
                                              const routing_snapshot& snapshot,
                                              std::uint64_t sender_version) {
    if (info.m_hop > max_hops) {
        return error{error_kind::hop_limit, "the chain of calls is too deep"};
    }
    if (!snapshot.m_ready) {
        return error{error_kind::node_not_ready, "no configuration applied yet"};
    }
    if (context.snapshot_is_stale()) {
        return error{error_kind::node_not_ready, "the process was paused"};
    }
    if (context.m_draining.load(std::memory_order_relaxed) || snapshot.m_draining) {
        return error{error_kind::draining, "the instance is leaving"};
    }
    if (snapshot.m_config_version < sender_version) {
        return error{error_kind::config_behind, "the sender has a newer configuration"};
    }
    // Another instance may have replaced the expected one at the same address.
    if (info.m_service != snapshot.m_own_server.m_service) {
        return error{error_kind::version_not_served, "another service runs here"};
    }
    if (info.m_version != snapshot.m_own_server.m_version) {
        return error{error_kind::version_not_served, "another version runs here"};
    }
    if (snapshot.m_own_refusal != error_kind::none) {
        return error{snapshot.m_own_refusal, "the backend server takes no new work"};
    }
    return std::nullopt;
}

// Logs the start of a run, directly before the first byte is sent. The auditor counts runs by this
// line.
void log_call_start(const call_info& info, std::string_view version) {
    log_event(log_level::info, "backend_call_started",
              {{"request", info.m_request_number},
               {"key", info.m_key},
               {"service", info.m_service},
               {"version", version},
               {"route", info.m_route},
               {"idempotent", info.m_idempotent}});
}

// Rewrites the request's headers for the own backend server. The time of the first attempt is kept,
// so that the server can pass it on with the keys of its onward calls. Without it, registrars that
// started within the retention time can't tell whether such a key is new, and the onward call is
// not run.
void rewrite_for_server(const traffic_context& context, const call_info& info,
                        const trace_context& trace, http_request& request) {
    const edge_headers& edge = context.m_settings.m_edge_headers;
    const own_server_view& own_server = context.m_snapshot.load()->m_own_server;
    if (!edge.m_expected_server.empty() && !own_server.m_server.empty()) {
        set_header(request, edge.m_expected_server, own_server.m_server);
    }
    strip_internal_headers(request, std::array{header::first_sent});
    set_header(request, header::traceparent, format_traceparent(trace));
    set_numeric_header(request, header::hop, info.m_hop);
}

// Replaces an answer that can't be passed on by the reason why.
void reject_answer(connection& open_connection, error reason, server_result& result) {
    const bool not_run = error_info_for(reason.m_kind).m_outcome == outcome::not_run;
    open_connection.m_reusable &= not_run;
    result.m_sent = !not_run;
    result.m_answer.reset();
    result.m_charge.resize(0);
    result.m_reason = std::move(reason);
}

// Sends the request over an open connection and classifies the result.
server_result call_server(traffic_context& context, call_control& control, const call_info& info,
                          connection& open_connection, http_request& request,
                          asio::yield_context yield) {
    server_result result;
    const std::uint64_t left_ms = ms_left(control.deadline(), context.m_clock.now());
    if (control.is_ended() || left_ms == 0) {
        fail(result.m_reason,
             control.is_ended() ? control.end_reason(false) : error_kind::deadline_before_send,
             "the call ended before it was sent");
        return result;
    }
    set_numeric_header(request, context.m_settings.m_edge_headers.m_deadline_ms, left_ms);
    log_call_start(info, info.m_version);
    result.m_sent = true;
    const edge_headers& edge = context.m_settings.m_edge_headers;
    const bool first_request = open_connection.m_first_request;
    const auto match = [&edge, &request, first_request](const http_response& answer) {
        return match_answer(edge, answer, request, first_request);
    };
    // After an unclear answer, the own one may still follow. An idempotent request isn't kept
    // waiting for it, since it can be sent again.
    const auto is_final = [&match, &info](const http_response& answer) {
        const answer_match found = match(answer);
        return found == answer_match::own || (found == answer_match::unclear && info.m_idempotent);
    };
    auto received = exchange(control, open_connection, request, context.limits(), context.m_budget,
                             is_final, yield, result.m_reason);
    if (!received) {
        return result;
    }
    result.m_answer = std::move(received->m_message);
    result.m_charge = std::move(received->m_charge);
    if (auto reason = rejection_reason(edge, *result.m_answer, match(*result.m_answer))) {
        reject_answer(open_connection, std::move(*reason), result);
    }
    return result;
}

// Returns true if the reason counts as a failure of the backend server.
bool is_server_failure(error_kind reason) {
    return reason == error_kind::connect_failed || reason == error_kind::connection_cut ||
           reason == error_kind::answer_truncated || reason == error_kind::answer_too_large ||
           reason == error_kind::answer_invalid || reason == error_kind::deadline_after_send;
}

// Adds a call that reached the server to the evidence for its version.
void add_evidence(traffic_context& context, const call_info& info, bool failed, duration latency,
                  bool cold) {
    const std::lock_guard lock(context.m_evidence_mutex);
    auto found = context.m_evidence.find(info.m_route);
    if (found == context.m_evidence.end()) {
        found = context.m_evidence.emplace(info.m_route, arm_counts{}).first;
    }
    count_call(found->second, failed, latency, cold);
}

// Fills in the admission sample of a call for which a connection to the backend server was open. If
// the call reached the server and was answered or failed, adds it to the evidence for version
// moves.
void record_call_result(traffic_context& context, const call_info& info,
                        const routing_snapshot& snapshot, const server_result& result,
                        duration latency, bool cold, call_sample& sample) {
    const error_kind reason = result.m_reason.m_kind;
    const auto service = snapshot.m_services.find(info.m_service);
    const milliseconds latency_limit = service == snapshot.m_services.end()
                                           ? milliseconds(0)
                                           : service->second.m_spec.m_latency_limit;
    const bool server_error = result.m_answer && result.m_answer->result_int() >= 500;
    const bool failed = server_error || is_server_failure(reason);
    sample.m_route = info.m_route;
    sample.m_latency = latency;
    sample.m_failed = failed && (reason != error_kind::deadline_after_send ||
                                 context.m_gate.is_abnormal_wait(latency));
    sample.m_shed = reason == error_kind::backend_shed;
    sample.m_cancelled = !sample.m_failed && !sample.m_shed && !result.m_answer;
    if (result.m_sent && (result.m_answer || failed)) {
        add_evidence(context, info,
                     failed || (latency_limit.count() > 0 && latency > latency_limit), latency,
                     cold);
    }
}

// Returns the reason to refuse a call if the state of the own server changed while the call waited
// for a slot, or nothing. A call must not be sent to a server that is leaving, nor to another
// server than the one it was meant for.
std::optional<error> refusal_before_send(const traffic_context& context,
                                         const routing_snapshot& at_arrival) {
    const auto current = context.m_snapshot.load();
    if (current->m_own_refusal != error_kind::none &&
        current->m_own_refusal != error_kind::draining) {
        return error{current->m_own_refusal, "the backend server takes no new work"};
    }
    if (current->m_own_server.m_refusal != error_kind::none) {
        return error{current->m_own_server.m_refusal, "the backend server leaves or is not there"};
    }
    if (current->m_own_server.m_server != at_arrival.m_own_server.m_server) {
        return error{error_kind::version_not_served, "the backend server was replaced"};
    }
    return std::nullopt;
}

// Lists a call among those that the own backend server is working on for the lifetime of the guard.
class served_call_guard {
public:
    served_call_guard(traffic_context& context, const call_info& info)
        : m_context(context), m_number(info.m_request_number) {
        if (!m_number.empty()) {
            const std::lock_guard lock(m_context.m_served_mutex);
            m_context.m_served_calls.insert_or_assign(
                m_number, served_call{{info.m_urgency, info.m_hop, info.m_repeated}, {}});
        }
    }
    served_call_guard(const served_call_guard&) = delete;
    served_call_guard& operator=(const served_call_guard&) = delete;
    served_call_guard(served_call_guard&&) = delete;
    served_call_guard& operator=(served_call_guard&&) = delete;
    ~served_call_guard() { end(); }

    // Ends the call and returns the waits of its onward calls.
    capacity_waits end() {
        if (m_number.empty()) {
            return {};
        }
        const std::lock_guard lock(m_context.m_served_mutex);
        const auto ended = m_context.m_served_calls.extract(m_number);
        m_number.clear();
        return ended.empty() ? capacity_waits{} : ended.mapped().m_waits;
    }

private:
    traffic_context& m_context;
    std::string m_number;
};

// Runs an admitted call: connects, claims the idempotency key if there is one, and sends the
// request.
server_result run_admitted(traffic_context& context, call_control& control, const call_info& info,
                           const routing_snapshot& snapshot, bool cold, admission_slot& slot,
                           key_claim* key, http_request& request, asio::yield_context yield) {
    server_result result;
    auto open_connection = context.m_server_pool.open(control, context.m_settings.m_backend_server,
                                                      yield, result.m_reason);
    if (!open_connection) {
        slot.m_sample.m_failed = result.m_reason.m_kind == error_kind::connect_failed;
        if (slot.m_sample.m_failed && context.m_hooks.m_server_unreachable) {
            context.m_hooks.m_server_unreachable(snapshot.m_own_server.m_server);
        }
        slot.m_sample.m_cancelled = !slot.m_sample.m_failed;
        return result;
    }
    if (key != nullptr) {
        if (!key->claim(yield, result.m_reason)) {
            context.m_server_pool.return_connection(std::move(open_connection));
            return result;
        }
        // The server may have closed the connection during the claim.
        if (is_readable_or_closed(open_connection->m_socket)) {
            open_connection = context.m_server_pool.open(
                control, context.m_settings.m_backend_server, yield, result.m_reason);
            if (!open_connection) {
                return result;
            }
        }
    }
    if (auto refused = refusal_before_send(context, snapshot)) {
        context.m_server_pool.return_connection(std::move(open_connection));
        result.m_reason = std::move(*refused);
        return result;
    }
    const time_point sent_at = context.m_clock.now();
    served_call_guard served(context, info);
    result = call_server(context, control, info, *open_connection, request, yield);
    result.m_waits = served.end();
    const duration latency = context.m_clock.now() - sent_at;
    context.m_server_pool.return_connection(std::move(open_connection));
    record_call_result(context, info, snapshot, result, latency, cold, slot.m_sample);
    return result;
}

// Converts the result of a call at the own server into this node's reply. The call arrived at
// start.
call_reply make_reply(traffic_context& context, const call_info& info, time_point start,
                      server_result result) {
    call_reply reply;
    if (result.m_answer) {
        reply.m_message = std::move(*result.m_answer);
        reply.m_charge = std::move(result.m_charge);
        strip_hop_by_hop_headers(reply.m_message);
        strip_internal_headers(reply.m_message, {});
        if (result.m_replayed) {
            set_header(reply.m_message, header::replayed, "1");
        }
        set_header(reply.m_message, header::outcome, outcome_name(outcome::answered));
        set_header(reply.m_message, header::reason, error_info_for(error_kind::none).m_name);
        set_header(reply.m_message, header::instance, context.m_settings.m_instance);
        set_numeric_header(reply.m_message, header::config_version,
                           context.m_snapshot.load()->m_config_version);
        reply.m_peer = context.m_settings.m_instance;
        reply.m_sent = !result.m_replayed;
    } else {
        reply = make_error_reply(context, result.m_reason, result.m_sent);
        if (is_overload_refusal(result.m_reason.m_kind)) {
            set_numeric_header(reply.m_message, header::capacity_after_us,
                               static_cast<std::uint64_t>(to_us(result.m_retry_after)));
        }
    }
    reply.m_waits = result.m_waits;
    if (result.m_waits.m_waited > duration{}) {
        set_numeric_header(reply.m_message, header::waited_us,
                           static_cast<std::uint64_t>(to_us(result.m_waits.m_waited)));
    }
    if (result.m_waits.m_refused) {
        set_header(reply.m_message, header::onward_refused, "1");
    }
    reply.m_version = context.m_snapshot.load()->m_own_server.m_version;
    set_header(reply.m_message, header::backend_version, reply.m_version);
    const server_quality quality = context.m_gate.quality();
    set_numeric_header(reply.m_message, header::load, quality.m_load_permille);
    set_numeric_header(reply.m_message, header::failures, quality.m_failure_permille);
    set_numeric_header(reply.m_message, header::latency_us,
                       static_cast<std::uint64_t>(to_us(quality.m_latency)));
    if (context.m_settings.m_choose_by_expected_time) {
        speed_report speed = context.m_gate.speed(info.m_route);
        speed.m_held = context.m_clock.now() - start;
        set_header(reply.m_message, header::speed, format_speed_report(speed));
    }
    return reply;
}

// Returns by how much a call would miss its useful time, or its deadline once that has passed,
// because of the large answers that have to be sent before its own. 0 or less if it would not.
duration transfer_excess(const traffic_context& context, const call_control& control,
                         const call_info& info) {
    if (!info.m_large_answer) {
        return {};
    }
    const time_point now = context.m_clock.now();
    const time_point latest = info.m_useful_until > now
                                  ? std::min(info.m_useful_until, control.deadline())
                                  : control.deadline();
    return now + context.m_link_pacer.expected_transfer_time(now) - latest;
}

// Waits for a slot and runs the call.
server_result admit_and_run(traffic_context& context, call_control& control, const call_info& info,
                            const routing_snapshot& snapshot, key_claim* key, http_request& request,
                            asio::yield_context yield) {
    server_result result;
    bool cold = false;
    const admission_request slot_request{info.m_urgency, info.m_useful_until, info.m_route,
                                         info.m_hop > 1};
    if (const duration excess = transfer_excess(context, control, info); excess > duration{}) {
        result.m_retry_after = excess;
        fail(result.m_reason, error_kind::queue_full, "the link is busy with large answers");
        return result;
    }
    std::optional<link_pacer::running_guard> running;
    if (info.m_large_answer) {
        running.emplace(context.m_link_pacer);
    }
    const time_point arrived = context.m_clock.now();
    if (!context.m_gate.acquire_slot(control, slot_request, cold, result.m_retry_after, yield,
                                     result.m_reason)) {
        return result;
    }
    const duration waited = context.m_clock.now() - arrived;
    admission_slot slot(context.m_gate, info.m_urgency);
    result = run_admitted(context, control, info, snapshot, cold, slot, key, request, yield);
    result.m_waits.m_waited += waited;
    return result;
}

// Runs a call with an idempotency key, or returns the response of the attempt that holds the key.
// If that attempt turns out to be withdrawn, the key is claimed once more.
server_result run_with_key(traffic_context& context, call_control& control, const call_info& info,
                           const routing_snapshot& snapshot, http_request& request,
                           asio::yield_context yield) {
    server_result result;
    if (info.m_key.size() > max_key_bytes) {
        fail(result.m_reason, error_kind::bad_request, "the idempotency key is too long");
        return result;
    }
    for (int round = 0; round < max_claim_rounds; ++round) {
        key_claim key(context, control, info, snapshot);
        result = server_result{};
        if (key.reserve(yield, result.m_reason)) {
            result = admit_and_run(context, control, info, snapshot, &key, request, yield);
            key.complete(result.m_answer, result.m_sent, yield);
        }
        const bool claim_withdrawn = key.has_claimant() && key.fetch_result(yield, result.m_reason);
        if (auto replay = key.take_replay()) {
            result.m_answer = std::move(replay);
            result.m_replayed = true;
            result.m_reason = error{};
        }
        if (!claim_withdrawn || control.is_ended()) {
            break;
        }
    }
    return result;
}

// Runs a call if this node accepts it under its current configuration.
server_result check_and_run(traffic_context& context, call_control& control, const call_info& info,
                            std::uint64_t sender_version, http_request& request,
                            asio::yield_context yield) {
    server_result result;
    const auto snapshot = wait_for_config(context, control, sender_version, yield);
    if (control.is_ended()) {
        fail(result.m_reason, control.end_reason(false), "the call ended before it was sent");
        return result;
    }
    if (const auto refused = refusal_before_admission(context, info, *snapshot, sender_version)) {
        result.m_reason = *refused;
        return result;
    }
    const auto service = snapshot->m_services.find(info.m_service);
    if (service != snapshot->m_services.end()) {
        context.m_gate.set_limits(snapshot->m_config_version, service->second.m_spec,
                                  snapshot->m_own_server);
    }
    if (info.m_key.empty() || info.m_idempotent) {
        return admit_and_run(context, control, info, *snapshot, nullptr, request, yield);
    }
    return run_with_key(context, control, info, *snapshot, request, yield);
}

} // namespace

call_reply run_backend_call(traffic_context& context, call_control& control, const call_info& info,
                            std::uint64_t sender_version, http_request& request,
                            asio::yield_context yield) {
    const time_point start = context.m_clock.now();
    const wall_time wall_start = context.m_clock.wall_now();
    trace_context trace = info.m_trace;
    trace.m_parent = info.m_trace.m_span;
    trace.m_span = control.random()() | 1U;
    rewrite_for_server(context, info, trace, request);
    call_reply reply =
        make_reply(context, info, start,
                   check_and_run(context, control, info, sender_version, request, yield));
    context.m_last_call_end_us.store(to_us(context.m_clock.now().time_since_epoch()),
                                     std::memory_order_relaxed);
    record_call_end(context, "backend", info, trace, reply, 1, start, wall_start);
    return reply;
}

namespace {

// Returns true if the route sends calls to the service, directly or through its split.
bool leads_to(const route_spec& route, std::string_view service) {
    return route.m_split.empty() ? route.m_service == service
                                 : std::any_of(route.m_split.begin(), route.m_split.end(),
                                               [service](const weighted_service& part) {
                                                   return part.m_service == service;
                                               });
}

// Returns the urgency that the sender states for an onward call, or nothing.
std::optional<urgency> inherited_urgency(const http_request& request) {
    const auto level = numeric_header_value(request, header::urgency);
    return level && *level < urgency_levels ? std::optional(static_cast<urgency>(*level))
                                            : std::nullopt;
}

} // namespace

call_reply handle_backend_call(traffic_context& context, call_control& control,
                               http_request& request, asio::yield_context yield) {
    const time_point now = context.m_clock.now();
    const auto snapshot = context.m_snapshot.load();
    call_info info;
    info.m_service = header_value(request, header::service);
    info.m_version = header_value(request, header::backend_version);
    info.m_key = header_value(request, header::idempotency_key);
    info.m_request_number =
        header_value(request, context.m_settings.m_edge_headers.m_request_number);
    info.m_first_sent_ms = numeric_header_value(request, header::first_sent);
    info.m_hop = static_cast<std::uint32_t>(std::min<std::uint64_t>(
        numeric_header_value(request, header::hop).value_or(1), max_hops + 1));
    info.m_repeated = request.find(std::string(header::repeated)) != request.end();
    // Keeps the sender's span as the current one. run_backend_call makes it the parent of this
    // node's span.
    info.m_trace = continue_trace(header_value(request, header::traceparent), control.random());
    info.m_trace.m_span = info.m_trace.m_parent;

    // The sender's route may differ from this node's. Without a route to the named service, the
    // call gets the safest defaults: not idempotent, normal urgency and a timeout of one second.
    milliseconds timeout{1'000};
    if (snapshot->m_mesh) {
        const route_spec* route = match_route(
            *snapshot->m_mesh, host_of(request),
            path_of(std::string_view(request.target().data(), request.target().size())));
        if (route != nullptr && leads_to(*route, info.m_service)) {
            info.m_route = route->m_path;
            info.m_urgency = inherited_urgency(request).value_or(route->m_urgency);
            info.m_idempotent = route->m_idempotent;
            info.m_large_answer = route->m_large_answers;
            timeout = route->m_timeout;
        }
    }
    // A value of 0 means that the response is already late; an absent header means unknown.
    if (const auto useful_left = remaining_time(request, header::useful_ms)) {
        info.m_useful_until = now + *useful_left;
    }
    const milliseconds time_allowed = remaining_time(request).value_or(timeout);
    const std::uint64_t sender_version =
        numeric_header_value(request, header::config_version).value_or(0);
    context.report_newer_version(header_value(request, header::instance), sender_version,
                                 snapshot->m_config_version);
    strip_hop_by_hop_headers(request);
    control.begin_call(context.deadline_of(now, time_allowed));
    return run_backend_call(context, control, info, sender_version, request, yield);
}

} // namespace caraway
