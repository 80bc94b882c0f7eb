#include "decide/traffic/admission.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <tuple>

namespace caraway {
namespace {

// A new answer has a weight of 1/16 in the smoothed latency. Routes of different cost share a
// server; at this weight a change in their mix does not look like a server turning cold.
constexpr int smoothing_samples = 16;
// Averaging length of the value whose minimum is the best latency. It is longer than
// smoothing_samples because the minimum of a noisy value is too low.
constexpr int slow_smoothing_samples = 64;
// Up to a quarter of the slots, the limit rises while the smoothed latency is at most this multiple
// of the best latency.
constexpr double fast_factor = 2;
// The server counts as warm, and the limit rises above a quarter of the slots, at or below this
// multiple of the best latency. A server with a tenth of its cold-start slowdown left is below it.
constexpr double warm_factor = 1.6;
// The server is still warming up if its latency falls by a tenth within this interval.
constexpr milliseconds trend_interval{1'000};
constexpr double warming_ratio = 0.9;
// A warm server counts as cold again when its smoothed latency exceeds this multiple of the best
// latency.
constexpr int cold_factor = 3;
// Successful answers required before the smoothed latency is used as the reference for a warm
// server.
constexpr std::uint32_t reference_answers = 16;
// A server in cold start can handle about a quarter of its slots. The limit rises above that only
// once the server counts as warm.
constexpr std::uint32_t cold_divisor = 4;
// Number of steps from one call to all slots. The step size grows with the slots, so that large
// servers need no more rounds than small ones.
constexpr std::uint32_t rise_steps = 12;
// A warm server's limit drops to one call at this many failures among the last 16 calls. A single
// failure is ordinary, while a cold server that collapses fails many calls at once.
constexpr int warm_failures = 2;
constexpr std::uint32_t failure_window = 0xffff;
// Time constant with which the best latency follows a lasting increase while the limit is low, so
// that the limit can rise again for a server that has become slower permanently. It is longer than
// a cold start (some seconds), which would otherwise look warm.
constexpr std::chrono::duration<double> best_latency_drift{60.0};
// Time that must remain of a call's useful time after the estimated wait and latency, in percent of
// the smoothed latency, if the latency of its route is unknown. Service times vary: with a queue as
// long as the estimate alone allows, half of the calls would be late in a sustained overload.
constexpr int latency_reserve_percent = 100;
// A queued call is abandoned when its remaining time falls to this share of the smoothed latency.
// It could hardly be answered in time, and its caller still has time to retry.
constexpr int min_useful_time_percent = 60;
// Bounds of the ratio of actual to estimated queueing time, and the shortest estimate that is
// compared with the actual time. The actual time of a shorter wait depends mostly on the moment at
// which a slot happens to become free.
constexpr double min_wait_correction = 0.25;
constexpr double max_wait_correction = 4;
constexpr milliseconds min_compared_wait{5};
// Upper bound of the reported load; beyond it, more queued calls make no difference to the callers'
// choice.
constexpr std::uint64_t max_load_permille = 10'000;

// Returns the number of calls that may run concurrently now, at least 1.
std::uint32_t concurrency_limit(const admission_state& state) {
    const auto limit = static_cast<std::uint32_t>(state.m_cold_limit);
    return std::clamp<std::uint32_t>(limit, 1, std::max<std::uint32_t>(state.m_limits.m_slots, 1));
}

// Returns the highest limit before the server counts as warm.
std::uint32_t cold_start_ceiling(const admission_state& state) {
    return std::max<std::uint32_t>(1, state.m_limits.m_slots / cold_divisor);
}

// Returns true during a reported warm-up with a rate limit.
bool reports_cold(const admission_state& state, time_point now) {
    return now < state.m_limits.m_cold_until && state.m_limits.m_cold_calls_per_second > 0;
}

// Records the wait of a call that starts, unless it is a background call or its useful time is
// unknown.
void record_wait(admission_state& state, const queued_call& call, time_point now) {
    if (call.m_urgency != urgency::background && call.m_useful_until != time_point{}) {
        record_urgent_wait(state.m_background, concurrency_limit(state), now - call.m_queued_at,
                           call.m_useful_until - call.m_queued_at, now);
    }
}

// Returns true if one more call may start now. During a reported warm-up, the calls started in any
// one second stay within the reported rate.
bool can_start_call(admission_state& state, urgency level, time_point now) {
    if (state.m_running >= concurrency_limit(state)) {
        return false;
    }
    if (level == urgency::background &&
        state.m_background.m_running >= admission_background_slots(state, now)) {
        return false;
    }
    if (!reports_cold(state, now)) {
        return true;
    }
    while (!state.m_cold_call_starts.empty() &&
           now - state.m_cold_call_starts.front() >= std::chrono::seconds(1)) {
        state.m_cold_call_starts.pop_front();
    }
    return static_cast<double>(state.m_cold_call_starts.size()) + 1 <=
           state.m_limits.m_cold_calls_per_second;
}

// Counts a call as started.
void start_call(admission_state& state, urgency level, time_point now) {
    ++state.m_running;
    state.m_background.m_running += level == urgency::background ? 1 : 0;
    if (reports_cold(state, now)) {
        state.m_cold_call_starts.push_back(now);
    }
}

// Returns the mean latency of the route, or of all calls if the route is unknown.
duration expected_latency(const admission_state& state, std::string_view route) {
    const route_latency* known = find_route_latency(state.m_route_latencies, route);
    return known == nullptr ? state.m_smoothed_latency : known->m_mean;
}

// Returns the time reserved for variation in the latency of the route, or of all calls if the route
// is unknown.
duration latency_reserve(const admission_state& state, std::string_view route) {
    const route_latency* known = find_route_latency(state.m_route_latencies, route);
    return known == nullptr ? state.m_smoothed_latency * latency_reserve_percent / 100
                            : known->m_deviation;
}

// Estimates how long a call waits for a slot behind the first `ahead` calls of the queue.
duration expected_wait(const admission_state& state, const queued_call& call, std::size_t ahead,
                       time_point now) {
    const std::uint32_t limit = concurrency_limit(state);
    duration queued_work = state.m_smoothed_latency; // time until the first slot becomes free
    for (std::size_t i = 0; i < ahead; ++i) {
        queued_work += expected_latency(state, state.m_queue[i].m_route);
    }
    const double correction = state.m_wait_correction[static_cast<std::size_t>(call.m_urgency)];
    const auto wait = std::chrono::duration_cast<duration>(correction * queued_work / limit);
    if (!reports_cold(state, now)) {
        return wait;
    }
    const std::chrono::duration<double> paced(static_cast<double>(ahead + 1) /
                                              state.m_limits.m_cold_calls_per_second);
    return std::max(wait, std::chrono::duration_cast<duration>(paced));
}

// Updates the correction of estimated waits with a completed wait. Late calls are ignored: they
// yield to all others, so their waits give no information.
void update_wait_correction(admission_state& state, const queued_call& call, time_point now) {
    if (call.m_route.empty() || call.m_late || call.m_expected_wait < min_compared_wait) {
        return;
    }
    const double ratio = std::chrono::duration<double>(now - call.m_queued_at) /
                         std::chrono::duration<double>(call.m_expected_wait);
    double& wait_correction = state.m_wait_correction[static_cast<std::size_t>(call.m_urgency)];
    // The estimate already includes the correction, so the product is the correction that would
    // have been right.
    const double corrected =
        std::clamp(wait_correction * ratio, min_wait_correction, max_wait_correction);
    wait_correction += (corrected - wait_correction) / smoothing_samples;
}

// Returns true if as many calls as there are slots may run concurrently.
bool allows_all_slots(const admission_state& state) {
    return concurrency_limit(state) >= state.m_limits.m_slots;
}

// Queue order: urgency, then calls whose answer is still useful, then onward calls, then deadline,
// then arrival.
bool has_precedence(const queued_call& left, const queued_call& right) {
    return std::tie(left.m_urgency, left.m_late, right.m_onward, left.m_deadline,
                    left.m_arrival_order) < std::tie(right.m_urgency, right.m_late, left.m_onward,
                                                     right.m_deadline, right.m_arrival_order);
}

// Drops the limit to one call. The smoothed latency restarts, so that earlier answers of the warm
// server don't hide that it is cold now.
void reset_limit(admission_state& state, time_point now) {
    if (!state.m_limits.m_detect_cold_start) {
        return;
    }
    state.m_cold_limit = 1;
    state.m_warm = false;
    state.m_answers = 0;
    state.m_fast_answers = 0;
    state.m_limit_dropped_at = now;
}

// Updates an exponential moving average with the latency of an answer; the first `limit` answers
// are averaged evenly.
void smooth(duration& value, duration latency, std::uint32_t answers, std::uint32_t limit) {
    value += (latency - value) / static_cast<int>(std::min(answers, limit));
}

// Updates the smoothed latency, the best latency and the warm-up trend with a successful answer.
void update_latency(admission_state& state, duration latency, time_point now) {
    if (state.m_answers == 0) {
        state.m_smoothed_latency = latency;
        state.m_slow_smoothed_latency = latency;
        state.m_last_answer = now;
        state.m_trend_latency = latency;
        state.m_trend_started = now;
        if (state.m_first_answer == time_point{}) {
            state.m_first_answer = now;
        }
    }
    ++state.m_answers;
    smooth(state.m_smoothed_latency, latency, state.m_answers, smoothing_samples);
    smooth(state.m_slow_smoothed_latency, latency, state.m_answers, slow_smoothing_samples);
    if (now - state.m_trend_started >= trend_interval) {
        if (state.m_smoothed_latency < warming_ratio * state.m_trend_latency) {
            state.m_warming_until = now + 2 * trend_interval;
        }
        state.m_trend_latency = state.m_smoothed_latency;
        state.m_trend_started = now;
    }
    if (state.m_answers < reference_answers) {
        return;
    }
    if (state.m_best_latency == duration{} ||
        state.m_slow_smoothed_latency < state.m_best_latency) {
        state.m_best_latency = state.m_slow_smoothed_latency;
    } else if (concurrency_limit(state) <= cold_start_ceiling(state)) {
        const double share = std::min(
            1.0, std::chrono::duration<double>(now - state.m_last_answer) / best_latency_drift);
        state.m_best_latency += std::chrono::duration_cast<duration>(
            share * (state.m_slow_smoothed_latency - state.m_best_latency));
    }
    state.m_last_answer = now;
}

// Returns true if the smoothed latency is at most `factor` times the best latency, or if there is
// no best latency yet.
bool is_fast(const admission_state& state, double factor) {
    return state.m_best_latency == duration{} ||
           std::chrono::duration<double>(state.m_smoothed_latency) <=
               factor * std::chrono::duration<double>(state.m_best_latency);
}

// Raises the limit by one step after as many consecutive fast answers as the limit allows
// concurrent calls, counting only calls that started after the last drop. Answers count only while
// the limit is fully used: with less concurrency they don't show that the server can handle more.
void raise_limit(admission_state& state, bool in_use, time_point now) {
    if (allows_all_slots(state)) {
        return;
    }
    const bool may_be_cold = now - state.m_first_answer < state.m_limits.m_cold_hold ||
                             now < state.m_warming_until || state.m_best_latency == duration{};
    state.m_warm = state.m_warm || (!may_be_cold && is_fast(state, warm_factor));
    if (!is_fast(state, fast_factor)) {
        state.m_fast_answers = 0;
        return;
    }
    const std::uint32_t limit = concurrency_limit(state);
    if (!in_use || ++state.m_fast_answers < limit) {
        return;
    }
    const double step = std::max(1.0, state.m_limits.m_slots / static_cast<double>(rise_steps));
    double next = state.m_cold_limit + step;
    if (may_be_cold || !is_fast(state, warm_factor)) {
        next = std::min(next, std::max<double>(state.m_cold_limit, cold_start_ceiling(state)));
    }
    state.m_fast_answers = 0;
    state.m_cold_limit = std::clamp<double>(next, 1, std::max(1U, state.m_limits.m_slots));
}

// Returns the minimum remaining time for which a queued call of the route is still worth running.
duration min_useful_time(const admission_state& state, std::string_view route) {
    return expected_latency(state, route) * min_useful_time_percent / 100;
}

// Moves calls that can no longer be answered in time behind those that can.
void demote_late_calls(admission_state& state, time_point now) {
    bool changed = false;
    for (queued_call& call : state.m_queue) {
        if (!call.m_late && call.m_useful_until != time_point{} &&
            call.m_useful_until <= now + min_useful_time(state, call.m_route)) {
            call.m_late = true;
            changed = true;
        }
    }
    if (changed) {
        std::sort(state.m_queue.begin(), state.m_queue.end(), has_precedence);
    }
}

// Removes expired calls from the queue, then starts calls from its front while the limit allows.
released_calls release_waiting(admission_state& state, time_point now) {
    released_calls release;
    std::size_t released_count = 0;
    const auto too_late = [&state, now](const queued_call& call) {
        return call.m_deadline <= now + min_useful_time(state, call.m_route);
    };
    for (const queued_call& call : state.m_queue) {
        if (too_late(call)) {
            release.m_expired.push_back(call.m_id);
        }
    }
    std::erase_if(state.m_queue, too_late);
    demote_late_calls(state, now);
    while (released_count < state.m_queue.size() &&
           can_start_call(state, state.m_queue[released_count].m_urgency, now)) {
        const queued_call& call = state.m_queue[released_count];
        update_wait_correction(state, call, now);
        record_wait(state, call, now);
        release.m_run.push_back(call.m_id);
        start_call(state, call.m_urgency, now);
        ++released_count;
    }
    state.m_queue.erase(state.m_queue.begin(),
                        state.m_queue.begin() + static_cast<std::ptrdiff_t>(released_count));
    return release;
}

} // namespace

admission_state make_admission(const admission_limits& limits) {
    admission_state state;
    state.m_limits = limits;
    return state;
}

void set_admission_limits(admission_state& state, const admission_limits& limits) {
    state.m_limits = limits;
    if (!limits.m_detect_cold_start) {
        state.m_cold_limit = std::max(1U, limits.m_slots);
        return;
    }
    state.m_cold_limit = std::min<double>(state.m_cold_limit, std::max(1U, limits.m_slots));
}

// The queue is sorted by has_precedence. The wait estimate refuses a call only if everything in the
// queue is at least as urgent, so that no urgent call is refused while less urgent ones wait.
admission_result admission_offer(admission_state& state, const call_offer& call, time_point now) {
    admission_result result;
    const auto& [id, level, deadline, useful_until, route, onward] = call;
    if (state.m_draining) {
        result.m_reason = error_kind::draining;
        return result;
    }
    if (deadline <= now) {
        result.m_reason = error_kind::deadline_before_send;
        return result;
    }
    // Background calls may wait while slots are free.
    const bool queue_allows =
        state.m_queue.empty() ||
        (level != urgency::background && state.m_queue.front().m_urgency == urgency::background);
    if (queue_allows && can_start_call(state, level, now)) {
        start_call(state, level, now);
        result.m_verdict = admission_verdict::run;
        return result;
    }
    const bool cold = !allows_all_slots(state) || reports_cold(state, now);
    const error_kind refusal_reason = cold ? error_kind::cold_start_limit : error_kind::queue_full;
    const bool late = useful_until != time_point{} && useful_until <= now;
    queued_call waiting{
        id,           level, late, onward, deadline, state.m_next_order++, std::string(route),
        useful_until, now};
    const auto insert_at =
        std::upper_bound(state.m_queue.begin(), state.m_queue.end(), waiting, has_precedence);
    const auto ahead = static_cast<std::size_t>(insert_at - state.m_queue.begin());
    waiting.m_expected_wait = expected_wait(state, waiting, ahead, now);
    const bool less_urgent_queued =
        !state.m_queue.empty() && state.m_queue.back().m_urgency > waiting.m_urgency;
    if (!less_urgent_queued) {
        const bool bound_by_use = useful_until > now;
        const time_point latest = bound_by_use ? std::min(useful_until, deadline) : deadline;
        const time_point answered = now + waiting.m_expected_wait + expected_latency(state, route) +
                                    latency_reserve(state, route);
        if (answered > latest) {
            result.m_reason = refusal_reason;
            result.m_retry_after = answered - latest;
            return result;
        }
    }
    if (state.m_queue.size() >= state.m_limits.m_queue) {
        if (!less_urgent_queued) {
            result.m_reason = refusal_reason;
            result.m_retry_after =
                state.m_smoothed_latency / static_cast<int>(concurrency_limit(state));
            return result;
        }
        const auto position = insert_at - state.m_queue.begin();
        result.m_displaced = state.m_queue.back().m_id;
        state.m_queue.pop_back();
        state.m_queue.insert(state.m_queue.begin() + position, std::move(waiting));
    } else {
        state.m_queue.insert(insert_at, std::move(waiting));
    }
    result.m_verdict = admission_verdict::wait;
    return result;
}

// Failures and overload drop the limit at once; a higher latency drops it as soon as the smoothed
// value shows it. Answers to calls that started before the last drop don't reflect the server's
// present state.
released_calls admission_finish(admission_state& state, const call_sample& sample, time_point now) {
    const bool in_use = state.m_running >= concurrency_limit(state);
    state.m_running -= state.m_running > 0 ? 1 : 0;
    const bool background = sample.m_urgency == urgency::background;
    state.m_background.m_running -= background && state.m_background.m_running > 0 ? 1 : 0;
    if (sample.m_cancelled) {
        return release_waiting(state, now);
    }
    const bool failed = sample.m_failed || sample.m_shed;
    const bool warm = allows_all_slots(state);
    state.m_failure_share += ((failed ? 1.0 : 0.0) - state.m_failure_share) / smoothing_samples;
    state.m_recent_failures =
        ((state.m_recent_failures << 1U) | (failed ? 1U : 0U)) & failure_window;
    if (failed) {
        const int failures = std::popcount(state.m_recent_failures);
        if (sample.m_shed || !warm || failures >= warm_failures) {
            reset_limit(state, now);
        }
        return release_waiting(state, now);
    }
    if (now - sample.m_latency < state.m_limit_dropped_at) {
        return release_waiting(state, now);
    }
    update_latency(state, sample.m_latency, now);
    update_route_latency(state.m_route_latencies, sample.m_route, sample.m_latency);
    const bool slow = state.m_best_latency != duration{} &&
                      state.m_smoothed_latency > cold_factor * state.m_best_latency;
    if (slow && state.m_cold_limit > 1) {
        reset_limit(state, now);
    } else {
        raise_limit(state, in_use, now);
    }
    return release_waiting(state, now);
}

void admission_cancel(admission_state& state, std::uint64_t call) {
    std::erase_if(state.m_queue, [&](const queued_call& waiting) { return waiting.m_id == call; });
}

released_calls admission_tick(admission_state& state, time_point now) {
    return release_waiting(state, now);
}

released_calls admission_drain(admission_state& state) {
    released_calls release;
    state.m_draining = true;
    for (const queued_call& call : state.m_queue) {
        release.m_expired.push_back(call.m_id);
    }
    state.m_queue.clear();
    return release;
}

// Without a reference for the warm latency, only elapsed time and a falling latency are considered.
// Waiting for the reference instead left a version that was slow from its first call undetected at
// a few calls per second.
bool is_cold(const admission_state& state, time_point now) {
    if (!state.m_limits.m_detect_cold_start) {
        return now < state.m_limits.m_cold_until;
    }
    if (allows_all_slots(state) || state.m_warm) {
        return false;
    }
    return state.m_best_latency != duration{} || state.m_first_answer == time_point{} ||
           now - state.m_first_answer < state.m_limits.m_cold_hold || now < state.m_warming_until;
}

server_quality admission_quality(const admission_state& state, time_point now) {
    return {admission_load_permille(state, now),
            static_cast<std::uint32_t>(1000 * state.m_failure_share), state.m_smoothed_latency};
}

std::uint32_t admission_background_slots(const admission_state& state, time_point now) {
    return background_slots(state.m_background, concurrency_limit(state), now);
}

std::uint32_t admission_load_bound(const admission_state& state) {
    const std::uint32_t limit = concurrency_limit(state);
    return state.m_warm ? std::max(limit, state.m_limits.m_slots) : limit;
}

// A server that has just failed its only permitted call reports full load, so that the fast
// refusals of a dead server don't attract calls. A warm server's limit rises as soon as it is used,
// so its load is relative to its slots; otherwise idle servers would look full and divert calls
// elsewhere.
std::uint32_t admission_load_permille(const admission_state& state, time_point now) {
    const std::uint32_t limit = concurrency_limit(state);
    if (limit == 1 && (state.m_recent_failures & 1U) != 0) {
        return 1000;
    }
    const auto busy = static_cast<std::uint64_t>(state.m_running) + state.m_queue.size();
    std::uint64_t load = 1000 * busy / admission_load_bound(state);
    if (reports_cold(state, now)) {
        const auto recent_starts =
            static_cast<double>(state.m_cold_call_starts.size() + state.m_queue.size());
        const double share = recent_starts / state.m_limits.m_cold_calls_per_second;
        load = std::max(load, static_cast<std::uint64_t>(1000 * share));
    }
    return static_cast<std::uint32_t>(std::min(max_load_permille, load));
}

} // namespace caraway
