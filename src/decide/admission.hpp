// Admission at the backend side: the node beside a backend server sees all of its calls and alone
// enforces slots, the bounded queue and the cold-start limit.
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
#include "decide/route_latency.hpp"

namespace caraway {

struct admission_limits {
    std::uint32_t m_slots = 12;
    std::uint32_t m_queue = 48;
    // How long a server without a known warm latency is held at a quarter of its slots at least,
    // counted from its first answer; longer while its latency still falls.
    milliseconds m_cold_hold{5'000};
    // False for a server that says itself when it is cold: the limit is then always the slots.
    bool m_detect_cold_start = true;
    // Such a server bears so many calls a second until then; 0: any number.
    time_point m_cold_until;
    double m_cold_calls_per_second = 0;
};

// A call that waits for a slot.
struct queued_call {
    std::uint64_t m_id = 0;
    urgency m_urgency = urgency::normal;
    bool m_late = false; // its answer has lost most of its worth already
    time_point m_deadline;
    std::uint64_t m_arrival_order = 0; // arrival
    std::string m_route;               // empty: not told
    time_point m_useful_until; // when the answer loses most of its worth; not known if long past
    time_point m_queued_at;
    duration m_expected_wait{}; // for a slot, as estimated on arrival
};

struct admission_state {
    admission_limits m_limits;
    std::uint32_t m_running = 0;
    double m_cold_limit = 1;   // concurrent calls allowed; equals the slots when warm
    duration m_best_latency{}; // best smoothed latency seen; zero until the first answer
    duration m_smoothed_latency{};
    route_latencies m_route_latencies;
    // By urgency: how long calls waited for a slot over how long they were expected to. More urgent
    // calls that keep coming make the others wait longer than the queue shows.
    std::array<double, urgency_levels> m_wait_ratio{1, 1, 1};
    std::uint32_t m_answers = 0; // successful ones since the smoothing began or the limit dropped
    std::uint32_t m_fast_answers = 0;    // in a row since the limit last changed
    double m_failure_share = 0;          // of the last calls, smoothed
    std::uint32_t m_recent_failures = 0; // one bit for each of the last calls, newest lowest
    duration m_slow_smoothed_latency{};  // smoothed over more answers; its least value is the best
                                         // latency
    duration m_trend_latency{};          // smoothed latency at m_trend_started
    time_point m_trend_started;
    time_point m_warming_until; // the latency fell lately: not warm before this
    bool m_warm = false;        // since the limit last dropped, answers were as fast as when warm
    time_point m_first_answer;
    time_point m_last_answer;
    time_point m_limit_dropped_at; // answers to calls that began before this don't count
    std::vector<queued_call> m_queue;
    std::uint64_t m_next_order = 0;
    std::deque<time_point> m_cold_call_starts; // calls begun in the last second while cold
    bool m_draining = false;
};

enum class admission_verdict : std::uint8_t { run, wait, refuse };

struct admission_result {
    admission_verdict m_verdict = admission_verdict::refuse;
    error_kind m_reason = error_kind::none; // refuse: why
    // A call that lost its place in the full queue to a more urgent one; 0 if none. It is answered
    // as refused with queue_full.
    std::uint64_t m_displaced = 0;
    duration m_retry_after{}; // refuse: until there may be room for such a call
};

admission_state make_admission(const admission_limits& limits);

// Changes the limits when a new configuration comes into force; running calls are not cut.
void set_admission_limits(admission_state& state, const admission_limits& limits);

// A call asks for a slot. Refuses when draining, when its deadline cannot be met given the
// smoothed latency and the queue before it, or when the queue is full of calls at least as urgent.
// useful_until, if known, is when an answer loses most of its worth: a call that would wait past it
// is refused, too, since in an overload that lasts, all calls would else be served late. A call for
// which that time has passed waits behind all others of its urgency. route tells calls of different
// work apart; without it all are taken for alike.
admission_result admission_offer(admission_state& state, std::uint64_t call, urgency level,
                                 time_point deadline, time_point now, time_point useful_until = {},
                                 std::string_view route = {});

// How a call that ran ended.
struct call_sample {
    std::string m_route; // empty: not told
    duration m_latency{};
    bool m_failed = false;    // refused connection, cut, timeout, 5xx
    bool m_shed = false;      // the backend server said that it is overloaded
    bool m_cancelled = false; // says nothing about the server
};

// What becomes of waiting calls.
struct admission_release {
    std::vector<std::uint64_t> m_run;     // may run now
    std::vector<std::uint64_t> m_expired; // too little time is left until the deadline
};

// A running call ended: frees its slot, moves the cold-start limit, starts waiting calls.
admission_release admission_finish(admission_state& state, const call_sample& sample,
                                   time_point now);

// A waiting call was cancelled by its caller.
void admission_cancel(admission_state& state, std::uint64_t call);

// Expires waiting calls. Call it at least every 20 ms while calls wait.
admission_release admission_tick(admission_state& state, time_point now);

// From now on every offer is refused with draining; waiting calls are expired at once.
admission_release admission_drain(admission_state& state);

// True while the backend server may be in cold start, so that its latency says nothing of its
// version: it has not been as fast as when warm since the limit began or dropped, or its first
// answer is recent, or its latency still falls.
bool is_cold(const admission_state& state, time_point now);

// What the node tells callers of its backend server with every answer.
struct server_quality {
    std::uint32_t m_load_permille = 0;    // see admission_load_permille
    std::uint32_t m_failure_permille = 0; // share of the last calls that failed
    duration m_latency{};                 // smoothed, without the wait for a slot; 0: not known
};
server_quality admission_quality(const admission_state& state, time_point now);

// Load that answers carry back, 1000 when all slots are busy and more with the queue, at most
// 10,000: running and waiting calls over what may run now, or over the slots of a warm server; for
// one that says that it is cold, the calls of the last second over those that it bears, if more.
std::uint32_t admission_load_permille(const admission_state& state, time_point now);

} // namespace caraway
