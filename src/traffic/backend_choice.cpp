#include "traffic/backend_choice.hpp"

#include <algorithm>

#include "decide/traffic/balance.hpp"
#include "decide/traffic/pushback.hpp"
#include "traffic/known_speed.hpp"

namespace caraway {
namespace {

time_point time_point_from_us(std::int64_t us) {
    return time_point(std::chrono::duration_cast<duration>(std::chrono::microseconds(us)));
}

circuit_breaker load_breaker(const backend_counters& counters) {
    circuit_breaker breaker;
    breaker.m_failures = counters.m_failures.load(std::memory_order_relaxed);
    breaker.m_open_until =
        time_point_from_us(counters.m_circuit_open_until_us.load(std::memory_order_relaxed));
    return breaker;
}

void store_breaker(backend_counters& counters, const circuit_breaker& breaker) {
    counters.m_failures.store(breaker.m_failures, std::memory_order_relaxed);
    counters.m_circuit_open_until_us.store(to_us(breaker.m_open_until.time_since_epoch()),
                                           std::memory_order_relaxed);
}

refusal_state read_refusal_state(const backend_counters& counters) {
    refusal_state refusals;
    for (std::size_t i = 0; i < urgency_levels; ++i) {
        refusals.m_until[i] =
            time_point_from_us(counters.m_refuses_until_us[i].load(std::memory_order_relaxed));
    }
    return refusals;
}

void store_refusals(backend_counters& counters, const refusal_state& refusals) {
    for (std::size_t i = 0; i < urgency_levels; ++i) {
        counters.m_refuses_until_us[i].store(to_us(refusals.m_until[i].time_since_epoch()),
                                             std::memory_order_relaxed);
    }
}

// Returns the backend servers of the service with their state as known to this node; those that do
// not serve the version are marked as not usable. An empty version matches all old
// versions (is_old_version).
std::vector<candidate> make_candidates(const entry_call& call, std::string_view version,
                                       time_point now) {
    std::vector<candidate> candidates;
    candidates.reserve(call.m_service->m_backends.size());
    for (std::size_t i = 0; i < call.m_service->m_backends.size(); ++i) {
        const backend_view& backend = call.m_service->m_backends[i];
        const backend_counters& counters = *backend.m_counters;
        candidate entry;
        entry.m_own_data_centre = backend.m_own_data_centre;
        const bool has_version = version.empty()
                                     ? is_old_version(call.m_service->m_spec, backend.m_version,
                                                      call.m_service->m_excluded_versions)
                                     : backend.m_version == version;
        entry.m_usable = has_version &&
                         !(backend.m_is_own && call.m_snapshot->m_own_refusal != error_kind::none);
        entry.m_outstanding = counters.m_outstanding.load(std::memory_order_relaxed);
        entry.m_load_permille = counters.m_load_permille.load(std::memory_order_relaxed);
        entry.m_failure_permille = counters.m_failure_permille.load(std::memory_order_relaxed);
        entry.m_latency =
            std::chrono::microseconds(counters.m_latency_us.load(std::memory_order_relaxed));
        entry.m_load_age =
            now - time_point_from_us(counters.m_load_reported_us.load(std::memory_order_relaxed));
        fill_speed(counters, entry);
        entry.m_breaker_open = breaker_is_open(load_breaker(counters), now);
        entry.m_refusing = is_refusing(read_refusal_state(counters), call.m_info.m_urgency, now);
        entry.m_tried = call.m_tried[i];
        candidates.push_back(entry);
    }
    return candidates;
}

// Chooses a backend server of the version that has not been tried for this call. An onward call
// that may wait for its deadline is sent to a server although that refuses calls.
backend_choice choose_backend_of_version(entry_call& call, std::string_view version,
                                         random_source& random, time_point now) {
    std::vector<candidate> candidates = make_candidates(call, version, now);
    const bool all_refuse = is_overloaded(candidates);
    if (call.m_serves_another && may_wait_for_deadline(call.m_refused_attempts, all_refuse)) {
        call.m_info.m_useful_until = time_point{};
        for (candidate& server : candidates) {
            server.m_refusing = false;
        }
    } else if (all_refuse) {
        return {std::nullopt, error_kind::queue_full};
    }
    return {call.m_references != nullptr
                ? choose_by_expected_time(candidates, call.m_usual_run, random)
                : choose_candidate(candidates, random)};
}

} // namespace

backend_choice choose_backend(entry_call& call, bool new_version, random_source& random,
                              time_point now) {
    if (new_version) {
        const backend_choice found =
            choose_backend_of_version(call, call.m_service->m_new_version, random, now);
        if (found.m_backend) {
            return found;
        }
        const backend_choice old =
            choose_backend_of_version(call, call.m_service->m_old_version, random, now);
        return old.m_backend ? old : found;
    }
    return choose_backend_of_version(call, call.m_service->m_old_version, random, now);
}

void begin_trial_call(backend_counters& counters, time_point now) {
    circuit_breaker breaker = load_breaker(counters);
    if (breaker.m_failures > 0 && breaker_try_call(breaker, now)) {
        store_breaker(counters, breaker);
    }
}

void update_breaker(backend_counters& counters, error_kind reason, bool own_server,
                    time_point now) {
    if (reason == error_kind::cancelled_before_send || reason == error_kind::cancelled_after_send) {
        return; // does not indicate the state of the backend server
    }
    circuit_breaker breaker = load_breaker(counters);
    if (reason == error_kind::connect_failed && !own_server) {
        breaker_record_unreachable(breaker, now);
    } else if (reason == error_kind::connect_failed || reason == error_kind::connection_cut ||
               reason == error_kind::answer_invalid || reason == error_kind::deadline_after_send) {
        breaker_record_failure(breaker, now);
    } else if (breaker.m_failures == 0) {
        return;
    } else {
        breaker_record_success(breaker);
    }
    store_breaker(counters, breaker);
}

void update_refusals(backend_counters& counters, const call_info& info, const call_reply& reply,
                     time_point now) {
    refusal_state refusals = read_refusal_state(counters);
    if (is_overload_refusal(reply.m_reason)) {
        const auto stated =
            numeric_header_value(reply.m_message, header::capacity_after_us).value_or(0);
        const auto wait = std::chrono::microseconds(std::min(stated, max_latency_us));
        record_refusal(refusals, info.m_urgency, wait, now);
    } else if (reply.m_reason == error_kind::none) {
        record_acceptance(refusals, info.m_urgency);
    } else {
        return;
    }
    store_refusals(counters, refusals);
}

} // namespace caraway
