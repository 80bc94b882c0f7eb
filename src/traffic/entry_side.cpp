#include "traffic/entry_side.hpp"

#include <algorithm>
#include <array>

#include "config/mesh.hpp"
#include "decide/traffic/pushback.hpp"
#include "traffic/backend_choice.hpp"
#include "traffic/backend_side.hpp"
#include "traffic/exchange.hpp"
#include "traffic/known_speed.hpp"
#include "traffic/overload_control.hpp"

namespace caraway {
namespace {

namespace asio = boost::asio;

// Time by which the deadline sent to the backend side precedes the entry side's own. The answer of
// the backend side, which states whether the call was sent, then still arrives in time: the margin
// covers two trips of 1.5 ms between data centres and the processing at both ends.
constexpr milliseconds answer_margin{5};

// Remaining time assumed for a caller whose call was refused before its deadline was set.
constexpr milliseconds default_remaining_time{1'000};

std::string_view target_of(const http_request& request) {
    return {request.target().data(), request.target().size()};
}

// Returns the error kind that the next node reports in its headers. An answer without a consistent
// outcome and reason does not come from a node, so it is unknown whether the request ran; internal
// is returned for it.
error_kind reported_error_kind(const http_response& answer) {
    const auto stated = outcome_from_name(header_value(answer, header::outcome));
    const auto kind = error_kind_from_name(header_value(answer, header::reason));
    if (!stated || !kind || error_info_for(*kind).m_outcome != *stated) {
        return error_kind::internal;
    }
    return *kind;
}

// Returns true if the answer belongs to the request with this exchange number. A node that refuses
// a new connection answers without having read a request, so its answer has no number.
bool matches_request(const http_response& answer, std::uint64_t number, bool first_request) {
    if (answer.find(std::string(header::exchange)) != answer.end()) {
        return numeric_header_value(answer, header::exchange) == number;
    }
    return first_request && reported_error_kind(answer) == error_kind::too_many_connections;
}

// Updates the counters of the backend server, and the configuration version known for its node,
// from the headers of the answer. waited is as for update_known_speed.
void update_backend_counters(traffic_context& context, const entry_call& call,
                             const backend_view& backend, const http_response& answer,
                             time_point now, duration waited) {
    if (const auto load = numeric_header_value(answer, header::load)) {
        backend.m_counters->m_load_permille.store(
            static_cast<std::uint32_t>(std::min<std::uint64_t>(*load, 1'000'000)),
            std::memory_order_relaxed);
        backend.m_counters->m_load_reported_us.store(to_us(now.time_since_epoch()),
                                                     std::memory_order_relaxed);
    }
    if (const auto failures = numeric_header_value(answer, header::failures)) {
        backend.m_counters->m_failure_permille.store(
            static_cast<std::uint32_t>(std::min<std::uint64_t>(*failures, 1000)),
            std::memory_order_relaxed);
    }
    if (const auto latency = numeric_header_value(answer, header::latency_us)) {
        backend.m_counters->m_latency_us.store(
            static_cast<std::int64_t>(std::min<std::uint64_t>(*latency, max_latency_us)),
            std::memory_order_relaxed);
    }
    if (call.m_references != nullptr) {
        update_known_speed(*backend.m_counters, answer, call.m_info.m_route, waited,
                           context.m_entry_mutex, *call.m_references);
    }
    context.report_newer_version(header_value(answer, header::instance),
                                 numeric_header_value(answer, header::config_version).value_or(0),
                                 call.m_snapshot->m_config_version);
}

// Forwards the call to the node beside the chosen backend server and returns its answer.
call_reply forward(traffic_context& context, call_control& control, const entry_call& call,
                   const backend_view& backend, http_request& request, asio::yield_context yield) {
    const call_info& info = call.m_info;
    error reason;
    const auto failed = [&context, &reason, &backend](bool sent) {
        call_reply reply = make_error_reply(context, reason, sent);
        reply.m_peer = backend.m_instance;
        reply.m_version = backend.m_version;
        return reply;
    };
    auto peer_connection = context.m_peer_pool.open(control, backend.m_traffic, yield, reason);
    if (!peer_connection) {
        return failed(false);
    }
    const std::uint64_t left = ms_left(control.deadline(), context.m_clock.now());
    const auto margin = static_cast<std::uint64_t>(answer_margin.count());
    const std::uint64_t allowed = left > 2 * margin ? left - margin : left / 2;
    if (allowed == 0) {
        fail(reason, error_kind::deadline_before_send, "too little time is left to send the call");
        context.m_peer_pool.return_connection(std::move(peer_connection));
        return failed(false);
    }
    const std::uint64_t number = control.random()();
    strip_internal_headers(request, {});
    set_header(request, header::service, info.m_service);
    set_header(request, header::backend_version, backend.m_version);
    set_header(request, header::instance, context.m_settings.m_instance);
    set_header(request, header::traceparent, format_traceparent(info.m_trace));
    set_numeric_header(request, header::config_version, call.m_snapshot->m_config_version);
    set_numeric_header(request, header::deadline_ms, allowed);
    set_numeric_header(request, header::hop, info.m_hop);
    if (info.m_repeated) {
        set_header(request, header::repeated, "1");
    }
    if (info.m_urgency_inherited) {
        set_numeric_header(request, header::urgency, static_cast<std::uint64_t>(info.m_urgency));
    }
    set_numeric_header(request, header::exchange, number);
    if (info.m_useful_until != time_point{}) {
        set_numeric_header(request, header::useful_ms,
                           ms_left(info.m_useful_until, context.m_clock.now()));
    }
    if (info.m_first_sent_ms) {
        set_numeric_header(request, header::first_sent, *info.m_first_sent_ms);
    }
    const byte_scope scope =
        backend.m_own_data_centre ? byte_scope::own_data_centre : byte_scope::other_data_centre;
    byte_account& byte_counts = context.m_metrics.moved_bytes();
    byte_counts.add(byte_purpose::call, scope, message_bytes(request));
    const bool first_request = peer_connection->m_first_request;
    const auto matches = [number, first_request](const http_response& candidate) {
        return matches_request(candidate, number, first_request);
    };
    const time_point sent_at = context.m_clock.now();
    auto received = exchange(control, *peer_connection, request, context.peer_limits(),
                             context.m_budget, matches, yield, reason);
    if (!received) {
        return failed(true);
    }
    context.m_peer_pool.return_connection(std::move(peer_connection));
    http_response& answer = received->m_message;
    byte_counts.add(byte_purpose::call, scope, message_bytes(answer));
    call_reply reply;
    reply.m_reason = reported_error_kind(answer);
    if (reply.m_reason == error_kind::internal) {
        fail(reason, error_kind::internal, "the next node states no outcome");
        return failed(true);
    }
    const time_point answered_at = context.m_clock.now();
    update_backend_counters(context, call, backend, answer, answered_at, answered_at - sent_at);
    reply.m_message = std::move(answer);
    reply.m_charge = std::move(received->m_charge);
    strip_hop_by_hop_headers(reply.m_message);
    reply.m_message.erase(std::string(header::exchange));
    const outcome stated = error_info_for(reply.m_reason).m_outcome;
    reply.m_sent = stated == outcome::answered || stated == outcome::unknown;
    reply.m_peer = backend.m_instance;
    reply.m_version = backend.m_version;
    reply.m_waits = reported_waits(reply.m_message);
    return reply;
}

// Counts a call as outstanding at its backend server for the lifetime of the guard.
class outstanding_guard {
public:
    explicit outstanding_guard(std::shared_ptr<backend_counters> counters)
        : m_counters(std::move(counters)) {
        m_counters->m_outstanding.fetch_add(1, std::memory_order_relaxed);
        m_counters->m_unreported.fetch_add(1, std::memory_order_relaxed);
    }
    outstanding_guard(const outstanding_guard&) = delete;
    outstanding_guard& operator=(const outstanding_guard&) = delete;
    outstanding_guard(outstanding_guard&&) = delete;
    outstanding_guard& operator=(outstanding_guard&&) = delete;
    ~outstanding_guard() { m_counters->m_outstanding.fetch_sub(1, std::memory_order_relaxed); }

private:
    std::shared_ptr<backend_counters> m_counters;
};

// Makes one attempt at the chosen backend server and updates its circuit breaker and refusal state.
call_reply attempt_call(traffic_context& context, call_control& control, entry_call& call,
                        const backend_view& backend, http_request& request,
                        asio::yield_context yield) {
    const outstanding_guard guard(backend.m_counters);
    call.m_info.m_version = backend.m_version;
    call_reply reply = backend.m_is_own
                           ? run_backend_call(context, control, call.m_info,
                                              call.m_snapshot->m_config_version, request, yield)
                           : forward(context, control, call, backend, request, yield);
    if (backend.m_is_own) {
        update_backend_counters(context, call, backend, reply.m_message, context.m_clock.now(), {});
    }
    update_breaker(*backend.m_counters, reply.m_reason, backend.m_is_own, context.m_clock.now());
    update_refusals(*backend.m_counters, call.m_info, reply, context.m_clock.now());
    reply.m_message.erase(std::string(header::capacity_after_us));
    reply.m_message.erase(std::string(header::waited_us));
    reply.m_message.erase(std::string(header::onward_refused));
    reply.m_message.erase(std::string(header::speed));
    return reply;
}

// Returns true if a backend server received the request, even if it shed it without running it.
bool reached_server(error_kind reason) {
    const outcome stated = error_info_for(reason).m_outcome;
    return stated == outcome::answered || stated == outcome::unknown ||
           reason == error_kind::backend_shed;
}

// Returns the error kind that decides on a retry; none means that there is no reason for one. An
// idempotent call that the backend server answered with a status of 500 or above is retried like
// one whose answer was lost, unless it failed because an onward call was refused for lack of
// capacity: another attempt would add to that overload.
error_kind retry_reason(const entry_call& call, const call_reply& reply) {
    const bool failed = reply.m_reason == error_kind::none && call.m_info.m_idempotent &&
                        reply.m_message.result_int() >= 500 && !reply.m_waits.m_refused;
    return failed ? error_kind::connection_cut : reply.m_reason;
}

bool retry_allowed(traffic_context& context, call_control& control, const entry_call& call,
                   error_kind reason) {
    attempt failed;
    failed.m_failure = reason;
    failed.m_idempotent = call.m_info.m_idempotent;
    failed.m_reached_server = reached_server(reason);
    failed.m_retries =
        (failed.m_reached_server ? call.m_server_attempts : call.m_refused_attempts) - 1;
    failed.m_max_retries = call.m_route->m_attempts - 1;
    failed.m_deadline = control.deadline();
    const std::lock_guard lock(context.m_entry_mutex);
    return may_retry(failed, context.m_entry_states[call.m_info.m_service].m_budget,
                     context.m_clock.now());
}

// Credits the retry budget of the service for a new call and chooses its version. Returns true for
// the new version.
bool begin_attempts(traffic_context& context, entry_call& call, random_source& random) {
    const service_view& service = *call.m_service;
    const std::lock_guard lock(context.m_entry_mutex);
    const auto [entry, added] = context.m_entry_states.try_emplace(service.m_spec.m_name);
    if (added) {
        entry->second.m_budget = make_retry_budget(context.m_settings.m_retry_budget_percent,
                                                   context.m_settings.m_retry_burst);
    }
    if (call.m_info.m_repeated) {
        budget_charge(entry->second.m_budget);
    } else {
        budget_deposit(entry->second.m_budget);
    }
    if (context.m_settings.m_choose_by_expected_time) {
        call.m_references = &entry->second.m_references;
        call.m_usual_run = find_reference(*call.m_references, call.m_info.m_route);
    }
    return !service.m_new_version.empty() &&
           choose_new_version(entry->second.m_share, service.m_new_weight_permille, random);
}

// Attempts a call whose route and service are known, with retries. A refusal does not replace an
// earlier answer that states that the call may have run.
call_reply run_attempts(traffic_context& context, call_control& control, entry_call& call,
                        http_request& request, asio::yield_context yield) {
    bool new_version = begin_attempts(context, call, control.random());
    call.m_tried.assign(call.m_service->m_backends.size(), false);
    std::optional<call_reply> last;
    while (true) {
        const time_point now = context.m_clock.now();
        const backend_choice chosen = choose_backend(call, new_version, control.random(), now);
        if (!chosen.m_backend) {
            return last ? std::move(*last)
                        : make_error_reply(
                              context,
                              {chosen.m_reason, "no instance of the service can take the call"},
                              false);
        }
        const backend_view& backend = call.m_service->m_backends[*chosen.m_backend];
        begin_trial_call(*backend.m_counters, now);
        call.m_tried[*chosen.m_backend] = true;
        ++call.m_attempts;
        if (call.m_attempts > 1) {
            context.m_metrics.count_retry(call.m_info.m_service);
        }
        context.m_metrics.count_attempt(backend.m_own_data_centre);
        call_reply reply = attempt_call(context, control, call, backend, request, yield);
        const error_kind failure = retry_reason(call, reply);
        ++(reached_server(reply.m_reason) ? call.m_server_attempts : call.m_refused_attempts);
        call.m_info.m_repeated = call.m_info.m_repeated || call.m_server_attempts > 0;
        // A refusal of a later attempt does not change that an earlier attempt may have run.
        const bool may_have_run = last && reached_server(last->m_reason) &&
                                  last->m_reason != error_kind::backend_shed &&
                                  error_info_for(reply.m_reason).m_outcome != outcome::answered;
        if (failure == error_kind::none) {
            return reply;
        }
        if (control.is_ended() || !retry_allowed(context, control, call, failure)) {
            return may_have_run ? std::move(*last) : std::move(reply);
        }
        // If a backend server of the new version received the call and failed, the call is retried
        // with the old version: a retry with the new version would exceed that version's share.
        new_version = new_version && reply.m_reason != error_kind::version_suspended &&
                      !reached_server(reply.m_reason);
        if (!may_have_run) { // otherwise the earlier reply states that the call may have run
            last = std::move(reply);
        }
    }
}

// Returns the service that receives the call, chosen by weight if the route is split.
std::string choose_service(traffic_context& context, const route_spec& route) {
    if (route.m_split.empty()) {
        return route.m_service;
    }
    std::vector<std::uint32_t> weights;
    for (const weighted_service& part : route.m_split) {
        weights.push_back(part.m_weight);
    }
    const std::lock_guard lock(context.m_entry_mutex);
    weighted_round_robin& split = context.m_route_splits[route_name(route)];
    return route.m_split[choose_weighted(split, weights)].m_service;
}

// Records the deadline that a caller stated and returns how long the call has already been in
// progress at the caller. The deadline is used as stated, without the route's timeout as a limit:
// with a timeout shorter than an earlier deadline, all callers would look like retrying ones.
duration record_caller_deadline(traffic_context& context, const route_spec& route,
                                std::optional<milliseconds> stated, time_point now) {
    if (!stated) {
        return {};
    }
    const std::lock_guard lock(context.m_entry_mutex);
    if (context.m_caller_histories.size() >= max_tracked_routes) {
        context.m_caller_histories.clear(); // recorded again within a few calls
    }
    caller_history& history = context.m_caller_histories[route_name(route)];
    record_deadline(history, *stated);
    return elapsed_before_attempt(history, *stated, now);
}

// Sets the Retry-After header of a refusal and records the refused caller.
void set_retry_delay(traffic_context& context, call_control& control, const entry_call& call,
                     call_reply& reply) {
    const bool own_refusal = reply.m_reason != error_kind::none;
    if (!own_refusal || reply.m_message.result() != http::status::service_unavailable) {
        return; // a backend server's own answer is passed on unchanged
    }
    const time_point now = context.m_clock.now();
    const duration left =
        control.deadline() == time_point::max() ? default_remaining_time : control.deadline() - now;
    const duration wait = suggest_retry_delay(reply.m_reason, call.m_info.m_useful_until - now,
                                              left, control.random());
    set_retry_after(reply.m_message, wait);
    if (call.m_route != nullptr) {
        const std::lock_guard lock(context.m_entry_mutex);
        record_refused_caller(context.m_caller_histories[route_name(*call.m_route)], left, now);
    }
}

// Finds the route, service and deadline of a call, then runs its attempts.
call_reply run_entry(traffic_context& context, call_control& control, entry_call& call,
                     http_request& request, asio::yield_context yield) {
    const auto refused = [&context](error_kind kind, std::string_view text) {
        return make_error_reply(context, {kind, std::string(text)}, false);
    };
    if (!call.m_snapshot->m_ready || !call.m_snapshot->m_mesh) {
        return refused(error_kind::node_not_ready, "no configuration applied yet");
    }
    if (context.snapshot_is_stale()) {
        return refused(error_kind::node_not_ready, "the process was paused");
    }
    const route_spec* route =
        match_route(*call.m_snapshot->m_mesh, host_of(request), path_of(target_of(request)));
    call.m_serves_another =
        inherit_terms(context, call, route == nullptr ? urgency::normal : route->m_urgency);
    if (call.m_info.m_hop > max_hops) {
        return refused(error_kind::hop_limit, "the chain of calls is too deep");
    }
    const bool onward = call.m_info.m_hop > 1;
    if (context.refuses_as_leaving(onward) || (!onward && call.m_snapshot->m_draining)) {
        return refused(error_kind::draining, "the instance is leaving");
    }
    if (route == nullptr) {
        return refused(error_kind::no_route, "no route has a prefix of this path");
    }
    call.m_info.m_route = route->m_path;
    call.m_info.m_service = choose_service(context, *route);
    call.m_route = route;
    if (!call.m_serves_another) {
        call.m_info.m_urgency = route->m_urgency;
    }
    call.m_info.m_idempotent = route->m_idempotent;
    call.m_info.m_large_answer = route->m_large_answers;
    const auto service = call.m_snapshot->m_services.find(call.m_info.m_service);
    if (service == call.m_snapshot->m_services.end()) {
        return refused(error_kind::no_backend_server, "the service is not known here");
    }
    call.m_service = &service->second;
    const auto stated = remaining_time(request, context.m_settings.m_edge_headers.m_deadline_ms);
    const milliseconds allowed = std::min(route->m_timeout, stated.value_or(route->m_timeout));
    if (allowed.count() <= 0) {
        return refused(error_kind::deadline_before_send, "the caller's deadline has passed");
    }
    const time_point now = context.m_clock.now();
    if (route->m_target_latency.count() > 0) {
        const duration elapsed = call.m_serves_another
                                     ? duration{}
                                     : record_caller_deadline(context, *route, stated, now);
        call.m_info.m_useful_until = now + route->m_target_latency - elapsed;
    }
    control.begin_call(context.deadline_of(now, allowed));
    if (!call.m_serves_another && !may_enter_route(context, control, call, now)) {
        return refused(error_kind::queue_full, "the services behind the route are overloaded");
    }
    strip_hop_by_hop_headers(request);
    if (!context.m_settings.m_edge_headers.m_caller_service.empty()) {
        set_header(request, context.m_settings.m_edge_headers.m_caller_service,
                   call.m_snapshot->m_own_server.m_service);
    }
    call_reply reply = run_attempts(context, control, call, request, yield);
    record_waits(context, call, reply, now);
    return reply;
}

} // namespace

bool is_idempotent_call(const traffic_context& context, const http_request& request) {
    const auto snapshot = context.m_snapshot.load();
    if (!snapshot->m_mesh) {
        return false;
    }
    const route_spec* route =
        match_route(*snapshot->m_mesh, host_of(request), path_of(target_of(request)));
    return route != nullptr && route->m_idempotent;
}

call_reply handle_entry(traffic_context& context, call_control& control, http_request& request,
                        asio::yield_context yield) {
    const time_point start = context.m_clock.now();
    const wall_time wall_start = context.m_clock.wall_now();
    entry_call call;
    call.m_snapshot = context.m_snapshot.load();
    call.m_info.m_key = header_value(request, header::idempotency_key);
    call.m_info.m_first_sent_ms = numeric_header_value(request, header::first_sent);
    call.m_info.m_request_number =
        header_value(request, context.m_settings.m_edge_headers.m_request_number);
    call.m_info.m_hop = 1 + static_cast<std::uint32_t>(std::min<std::uint64_t>(
                                numeric_header_value(request, header::hop).value_or(0), max_hops));
    call.m_info.m_trace =
        continue_trace(header_value(request, header::traceparent), control.random());
    call_reply reply = run_entry(context, control, call, request, yield);
    set_retry_delay(context, control, call, reply);
    record_call_end(context, "entry", call.m_info, call.m_info.m_trace, reply,
                    std::max(call.m_attempts, 1U), start, wall_start);
    return reply;
}

} // namespace caraway
