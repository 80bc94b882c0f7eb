// Admission control on the backend side. The node beside a backend server sees all of the server's
// calls, so it alone enforces the slots, the bounded queue and the cold-start limit.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "config/mesh.hpp"
#include "decide/traffic/background_share.hpp"
#include "decide/traffic/route_latency.hpp"

namespace caraway {

// Limits of one backend server.
struct admission_limits {
    std::uint32_t m_slots = 12;
    std::uint32_t m_queue = 48;
    // Minimum duration of the cold-start phase, counted from the first successful answer, of a
    // server whose warm latency is not known yet. Until then the concurrency limit stays at or
    // below a quarter of the slots. The phase lasts longer while the latency still falls.
    milliseconds m_cold_hold{5'000};
    // Whether cold start is detected from latency and failures. False for a server that reports its
    // own warm-up: the concurrency limit then always equals the slots.
    bool m_detect_cold_start = true;
    // End of the reported warm-up, and the maximum number of calls started per second until then. A
    // rate of 0 means no limit.
    time_point m_cold_until;
    double m_cold_calls_per_second = 0;
};

// A call that waits in the queue for a slot.
struct queued_call {
    std::uint64_t m_id = 0;
    urgency m_urgency = urgency::normal;
    bool m_late = false;   // can no longer be answered before m_useful_until
    bool m_onward = false; // see call_offer
    time_point m_deadline;
    std::uint64_t m_arrival_order = 0; // sequence number of the arrival
    std::string m_route;               // empty if unknown
    // When the answer loses most of its value to the caller. The default value means unknown.
    time_point m_useful_until;
    time_point m_queued_at;
    duration m_expected_wait{}; // estimated on arrival
};

// State of admission control for one backend server. Not synchronised.
struct admission_state {
    admission_limits m_limits;
    std::uint32_t m_running = 0;
    double m_cold_limit = 1; // concurrent calls allowed; the number of slots when warm
    // Reference latency of the warm server: the lowest m_slow_smoothed_latency, which slowly
    // follows a lasting increase while the limit is low. Zero until there are enough answers.
    duration m_best_latency{};
    duration m_smoothed_latency{};
    route_latencies m_route_latencies;
    // Factor that corrects the estimated queueing time, for each urgency: the smoothed ratio of
    // actual to estimated time. It exceeds 1 for less urgent calls when more urgent ones keep
    // arriving, which the queue at arrival does not show.
    std::array<double, urgency_levels> m_wait_correction{1, 1, 1};
    std::uint32_t m_answers = 0;         // successful, since smoothing last restarted
    std::uint32_t m_fast_answers = 0;    // consecutive, since the limit last changed
    double m_failure_share = 0;          // smoothed share of failed calls
    std::uint32_t m_recent_failures = 0; // one bit per recent call, the newest in the lowest bit
    // Latency smoothed over more answers; its minimum is m_best_latency.
    duration m_slow_smoothed_latency{};
    // Smoothed latency at m_trend_started, the start of the current warm-up trend interval.
    duration m_trend_latency{};
    time_point m_trend_started;
    time_point m_warming_until; // the latency fell recently; not warm before this time
    bool m_warm = false; // the latency has reached the warm level since the last drop of the limit
    time_point m_first_answer;
    time_point m_last_answer;
    time_point m_limit_dropped_at; // answers to calls that started earlier are ignored
    std::vector<queued_call> m_queue;
    std::uint64_t m_next_order = 0;
    background_share m_background;
    // Start times of the calls of the last second during a reported warm-up.
    std::deque<time_point> m_cold_call_starts;
    bool m_draining = false;
};

// Whether an offered call may run now, is queued or is refused.
enum class admission_verdict : std::uint8_t { run, wait, refuse };

struct admission_result {
    admission_verdict m_verdict = admission_verdict::refuse;
    error_kind m_reason = error_kind::none; // set if refused
    // ID of a queued call that was evicted from the full queue in favour of this more urgent one; 0
    // if none. The evicted call must be refused with queue_full.
    std::uint64_t m_displaced = 0;
    duration m_retry_after{}; // if refused: estimated time until such a call could be admitted
};

// Returns the initial state, in which a cold start is assumed: one concurrent call is allowed.
admission_state make_admission(const admission_limits& limits);

// Applies the limits of a new configuration. Running calls are not interrupted.
void set_admission_limits(admission_state& state, const admission_limits& limits);

// A call that requests a slot.
struct call_offer {
    std::uint64_t m_id = 0;
    urgency m_urgency = urgency::normal;
    time_point m_deadline;
    time_point m_useful_until{}; // when its answer loses most of its value; default if unknown
    std::string_view m_route{};  // selects the latency estimate; empty: average over all routes
    // Made by a backend server while it works on another call. Precedes other calls of its urgency.
    bool m_onward = false;
};

// Requests a slot for a call: the call may run, is queued or is refused. It is refused while
// draining, if the smoothed latency and the queue ahead of it show that its deadline cannot be met,
// or if the queue is full of calls that are at least as urgent.
//
// A call that would wait past the time until which its answer is useful is refused as well;
// otherwise every call would be answered late in a sustained overload. A call for which this time
// has already passed queues behind all others of its urgency.
admission_result admission_offer(admission_state& state, const call_offer& call, time_point now);

// Outcome of a call that ran.
struct call_sample {
    std::string m_route; // empty if unknown
    duration m_latency{};
    bool m_failed = false;    // connection refused or cut, timeout or 5xx
    bool m_shed = false;      // the backend server rejected the call as overloaded
    bool m_cancelled = false; // gives no information about the server
    urgency m_urgency = urgency::normal;
};

// IDs of the calls that left the queue.
struct released_calls {
    std::vector<std::uint64_t> m_run;     // have a slot and must be started
    std::vector<std::uint64_t> m_expired; // have too little time left and must be refused
};

// Records the end of a running call: frees its slot, adjusts the cold-start limit and starts queued
// calls.
released_calls admission_finish(admission_state& state, const call_sample& sample, time_point now);

// Removes a queued call that its caller has cancelled.
void admission_cancel(admission_state& state, std::uint64_t call);

// Expires queued calls and starts those that may run. Must be called at least every 20 ms while
// calls are queued.
released_calls admission_tick(admission_state& state, time_point now);

// Expires all queued calls; every later offer is refused with draining.
released_calls admission_drain(admission_state& state);

// Returns true while the backend server may be in cold start, so that its latency is no evidence
// about its version: since the limit started or dropped its latency has not reached the warm level,
// its first answer is recent, or its latency still falls.
bool is_cold(const admission_state& state, time_point now);

// Figures about the backend server that the node returns to callers with every answer.
struct server_quality {
    std::uint32_t m_load_permille = 0;    // see admission_load_permille
    std::uint32_t m_failure_permille = 0; // smoothed share of failed calls
    duration m_latency{};                 // smoothed, without queueing time; 0 if unknown
};
server_quality admission_quality(const admission_state& state, time_point now);

// Returns the number of concurrent calls to which the reported load relates: the concurrency limit,
// or at least the slots if the server is warm.
std::uint32_t admission_load_bound(const admission_state& state);

// Returns the number of slots that background calls may use now.
std::uint32_t admission_background_slots(const admission_state& state, time_point now);

// Returns the load that answers report to callers: running and queued calls divided by the
// concurrency limit, or by the slots if the server is warm. 1000 means all slots are busy, more
// means that calls are queued; the maximum is 10,000. For a server that reports a warm-up it is the
// calls of the last second divided by its permitted rate, if that is higher.
std::uint32_t admission_load_permille(const admission_state& state, time_point now);

} // namespace caraway
