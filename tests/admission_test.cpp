// Tests of admission control, partly against a model of a backend server.
#include <cmath>
#include <map>
#include <set>

#include "base/random.hpp"
#include "decide/traffic/admission.hpp"
#include "tests/support.hpp"
#include <vector>

using namespace caraway;

namespace {

// Returns the state for a server that reports its own warm-up and is warm, so that all slots may be
// used at once.
admission_state make_warm_admission(std::uint32_t slots) {
    admission_limits limits;
    limits.m_slots = slots;
    limits.m_detect_cold_start = false;
    admission_state state = make_admission(limits);
    set_admission_limits(state, limits);
    return state;
}

// Model of a backend server. While cold it answers up to five times slower and fails every call
// above a quarter of its slots; it warms up with time and with the calls it answers.
struct model_server {
    struct running_call {
        time_point m_started;
        time_point m_ends;
    };
    std::uint32_t m_slots = 12;
    time_point m_cold_since;
    milliseconds m_cold_time{0};
    std::uint32_t m_answers = 0; // since it last turned cold
    // Whether admission could have detected that the server is cold. A new server is assumed to be
    // cold.
    bool m_cold_detectable = true;
    std::map<std::uint64_t, running_call> m_running;

    double coldness(time_point now) const {
        const double time = std::chrono::duration<double>(now - m_cold_since) / m_cold_time;
        return std::max(0.0, 1 - time - m_answers / (25.0 * m_slots));
    }
    bool is_cold(time_point now) const { return coldness(now) > 0.125; }
    void become_cold(time_point now, milliseconds time) {
        m_cold_since = now;
        m_cold_time = time;
        m_answers = 0;
    }
};

struct model_result {
    // Calls started above the bound while the server was detectably cold.
    std::uint64_t m_overloads = 0;
    double m_limit_when_warm = 0;
    std::uint64_t m_answered = 0;
};

// Offers more calls than the server can serve for one minute. The server starts cold and turns cold
// again twice without notice, the second time while it receives few calls.
model_result run_model(std::uint64_t seed) {
    random_source random(seed);
    model_server server;
    model_result result;
    server.m_slots = 4 + static_cast<std::uint32_t>(random.below(20));
    const std::uint32_t bound = std::max(1U, server.m_slots / 4);
    admission_limits limits;
    limits.m_slots = server.m_slots;
    admission_state state = make_admission(limits);
    time_point now{};
    server.become_cold(now, milliseconds(2'000 + random.below(13'000)));
    const std::uint64_t cold_again_ms[2] = {20'000 + random.below(5'000),
                                            35'000 + random.below(5'000)};
    std::uint64_t next_call = 1;
    const auto start = [&](std::uint64_t call) {
        const double noise = std::exp(0.3 * (random.unit() + random.unit() - 1));
        const double latency_ms = 20 * (1 + 4 * server.coldness(now)) * noise;
        server.m_running[call] = {now, now + milliseconds(static_cast<int>(latency_ms))};
        if (server.is_cold(now) && server.m_running.size() > bound && server.m_cold_detectable) {
            ++result.m_overloads;
        }
    };
    for (std::uint64_t ms = 0; ms < 60'000; ++ms, now += milliseconds(1)) {
        for (const std::uint64_t at : cold_again_ms) {
            if (ms == at) {
                server.become_cold(now, milliseconds(3'000 + random.below(12'000)));
                server.m_cold_detectable = false;
            }
        }
        const bool cold = server.is_cold(now);
        const bool overloaded = cold && server.m_running.size() > bound;
        std::vector<std::uint64_t> ended;
        for (const auto& [call, running] : server.m_running) {
            if (overloaded || running.m_ends <= now) {
                ended.push_back(call);
            }
        }
        std::vector<std::uint64_t> released;
        for (const std::uint64_t call : ended) {
            call_sample sample;
            sample.m_latency = now - server.m_running[call].m_started;
            sample.m_failed = overloaded;
            server.m_running.erase(call);
            result.m_answered += overloaded ? 0 : 1;
            ++server.m_answers;
            // After twice as many answers as slots, admission must have detected that the server is
            // cold.
            server.m_cold_detectable =
                server.m_cold_detectable || server.m_answers >= 2 * server.m_slots;
            const auto release = admission_finish(state, sample, now);
            released.insert(released.end(), release.m_run.begin(), release.m_run.end());
        }
        const auto ticked = admission_tick(state, now);
        released.insert(released.end(), ticked.m_run.begin(), ticked.m_run.end());
        for (const std::uint64_t call : released) {
            start(call);
        }
        // Few calls arrive around the second time that the server turns cold. It doesn't overload
        // then, so only its latency shows that it is cold.
        const bool low_traffic = ms + 500 > cold_again_ms[1] && ms < cold_again_ms[1] + 2'000;
        for (int i = 0; i < (low_traffic ? (ms % 30 == 0 ? 1 : 0) : 2); ++i) {
            const std::uint64_t call = next_call++;
            const auto offered =
                admission_offer(state, {call, urgency::normal, now + milliseconds(500)}, now);
            if (offered.m_verdict == admission_verdict::run) {
                start(call);
            }
        }
        if (ms == 19'999) {
            result.m_limit_when_warm = state.m_cold_limit / server.m_slots;
        }
    }
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(admission)

// Guards against a cold server that receives more concurrent calls than it can handle, and against
// a limit that stays low although the server is warm.
BOOST_AUTO_TEST_CASE(cold_server_is_never_knowingly_overloaded) {
    const std::uint64_t first = seed_or_default();
    for (std::uint64_t seed = first; seed < first + 40; ++seed) {
        const model_result result = run_model(seed);
        BOOST_TEST(result.m_overloads == 0U, "seed " << seed << ": " << result.m_overloads);
        BOOST_TEST(result.m_limit_when_warm == 1.0, "seed " << seed);
        BOOST_TEST(result.m_answered > 2'000U, "seed " << seed);
    }
}

// Guards against a limit that rises although only one call ran at a time, which doesn't show how
// many the server can handle, and against a server with few calls that counts as cold forever.
BOOST_AUTO_TEST_CASE(single_calls_show_warmth_but_do_not_raise_the_limit) {
    admission_state state = make_admission({});
    time_point now{milliseconds(1)};
    for (std::uint64_t call = 1; call < 500; ++call) {
        const auto offered =
            admission_offer(state, {call, urgency::normal, now + milliseconds(500)}, now);
        BOOST_TEST((offered.m_verdict == admission_verdict::run));
        now += milliseconds(20);
        call_sample sample;
        sample.m_latency = milliseconds(20);
        admission_finish(state, sample, now);
    }
    BOOST_TEST(state.m_cold_limit <= 2.0);
    BOOST_TEST(!is_cold(state, now));
}

// Guards against refusing an urgent call while less urgent ones wait, running calls in the wrong
// order, exceeding the bounds, and calls that end with no outcome or with two.
BOOST_AUTO_TEST_CASE(urgent_calls_run_first_and_every_call_has_one_outcome) {
    const std::uint64_t first = seed_or_default();
    for (std::uint64_t seed = first; seed < first + 200; ++seed) {
        random_source random(seed);
        admission_limits limits;
        limits.m_slots = 1 + static_cast<std::uint32_t>(random.below(4));
        limits.m_queue = 1 + static_cast<std::uint32_t>(random.below(8));
        admission_state state = make_admission(limits);
        time_point now{};
        std::map<std::uint64_t, urgency> waiting;
        std::set<std::uint64_t> running;
        const auto apply_release = [&](const released_calls& release) {
            for (const std::uint64_t call : release.m_expired) {
                BOOST_TEST(waiting.erase(call) == 1U);
            }
            for (const std::uint64_t call : release.m_run) {
                const urgency level = waiting.at(call);
                waiting.erase(call);
                for (const auto& [other, other_level] : waiting) {
                    const bool later = std::find(release.m_run.begin(), release.m_run.end(),
                                                 other) != release.m_run.end();
                    BOOST_TEST((later || other_level >= level), "seed " << seed);
                }
                running.insert(call);
            }
        };
        for (std::uint64_t call = 1; call < 300; ++call) {
            now += milliseconds(random.below(4));
            if (random.below(3) == 0 && !running.empty()) {
                running.erase(running.begin());
                call_sample sample;
                sample.m_latency = milliseconds(1 + random.below(10));
                sample.m_failed = random.below(10) == 0;
                sample.m_cancelled = random.below(10) == 0;
                apply_release(admission_finish(state, sample, now));
            }
            if (random.below(8) == 0 && !waiting.empty()) {
                admission_cancel(state, waiting.begin()->first);
                waiting.erase(waiting.begin());
            }
            const auto level = static_cast<urgency>(random.below(3));
            const auto result = admission_offer(
                state, {call, level, now + milliseconds(1 + random.below(60))}, now);
            if (result.m_displaced != 0) {
                BOOST_TEST((waiting.at(result.m_displaced) > level), "seed " << seed);
                waiting.erase(result.m_displaced);
            }
            if (result.m_verdict == admission_verdict::refuse) {
                BOOST_TEST((error_info_for(result.m_reason).m_outcome != outcome::unknown));
                for (const auto& [other, other_level] : waiting) {
                    BOOST_TEST((other_level <= level), "seed " << seed << ": less urgent wait");
                }
            } else if (result.m_verdict == admission_verdict::run) {
                running.insert(call);
            } else {
                waiting[call] = level;
            }
            apply_release(admission_tick(state, now));
            BOOST_TEST(running.size() == state.m_running);
            BOOST_TEST(running.size() <= limits.m_slots);
            BOOST_TEST(waiting.size() == state.m_queue.size());
            BOOST_TEST(waiting.size() <= limits.m_queue);
        }
        apply_release(admission_drain(state));
        BOOST_TEST(waiting.empty());
        const auto refused =
            admission_offer(state, {1'000, urgency::urgent, now + milliseconds(100)}, now);
        BOOST_TEST((refused.m_reason == error_kind::draining));
    }
}

// Guards against a cold server that receives more calls in any one second than its reported rate,
// and against the use of all its slots before it is warm.
BOOST_AUTO_TEST_CASE(cold_server_call_rate_stays_within_its_limit) {
    admission_limits limits;
    limits.m_slots = 12;
    limits.m_queue = 48;
    limits.m_detect_cold_start = false;
    limits.m_cold_until = time_point{} + std::chrono::seconds(3);
    limits.m_cold_calls_per_second = 14;
    admission_state state = make_admission({});
    set_admission_limits(state, limits);
    std::vector<time_point> starts;
    std::uint64_t call = 1;
    time_point now{};
    for (; now < limits.m_cold_until; now += milliseconds(5)) {
        const auto offered =
            admission_offer(state, {call++, urgency::normal, now + milliseconds(500)}, now);
        auto begun = admission_tick(state, now).m_run.size();
        begun += offered.m_verdict == admission_verdict::run ? 1 : 0;
        for (std::size_t i = 0; i < begun; ++i) {
            starts.push_back(now);
            call_sample sample;
            sample.m_latency = milliseconds(5);
            begun += admission_finish(state, sample, now).m_run.size();
        }
    }
    for (std::size_t i = 0; i + 14 < starts.size(); ++i) {
        BOOST_TEST((starts[i + 14] - starts[i] >= std::chrono::seconds(1)));
    }
    BOOST_TEST(starts.size() >= 40U);
    BOOST_TEST(is_cold(state, now - milliseconds(5)));
    BOOST_TEST(!is_cold(state, now));
    BOOST_TEST(!admission_tick(state, now).m_run.empty());
    BOOST_TEST(state.m_queue.empty());
    BOOST_TEST(
        (admission_offer(state, {call, urgency::normal, now + milliseconds(500)}, now).m_verdict ==
         admission_verdict::run));
}

// Guards against a sustained overload in which every call waits too long to be answered in time. At
// twice the load that the server can handle, most of the calls that it runs must still end within
// the target.
BOOST_AUTO_TEST_CASE(overload_serves_a_part_in_time_instead_of_all_late) {
    constexpr milliseconds service_time{100};
    constexpr milliseconds target{250};
    admission_limits limits;
    limits.m_slots = 4;
    limits.m_queue = 48;
    limits.m_detect_cold_start = false;
    admission_state state = make_admission({});
    set_admission_limits(state, limits);
    std::map<std::uint64_t, time_point> arrived;
    std::multimap<time_point, std::uint64_t> running;
    int in_time = 0;
    int late = 0;
    std::uint64_t call = 1;
    for (time_point now{}; now < time_point{} + std::chrono::seconds(10); now += milliseconds(1)) {
        std::vector<std::uint64_t> begun;
        while (!running.empty() && running.begin()->first <= now) {
            const bool good = now - arrived[running.begin()->second] <= target;
            ++(good ? in_time : late);
            running.erase(running.begin());
            call_sample sample;
            sample.m_latency = service_time;
            const auto released = admission_finish(state, sample, now).m_run;
            begun.insert(begun.end(), released.begin(), released.end());
        }
        if (now.time_since_epoch() % milliseconds(25) == duration{} ||
            now.time_since_epoch() % milliseconds(25) == milliseconds(12)) {
            arrived[call] = now;
            if (admission_offer(
                    state, {call, urgency::normal, now + milliseconds(2'000), now + target}, now)
                    .m_verdict == admission_verdict::run) {
                begun.push_back(call);
            }
            ++call;
        }
        for (const std::uint64_t id : begun) {
            running.emplace(now + service_time, id);
        }
    }
    BOOST_TEST(late * 20 <= in_time);
    BOOST_TEST(in_time >= 360); // 4 slots run 400 calls in 10 s
}

// Guards against wait estimates from the mean latency of all routes. With many short and some long
// calls, long calls were admitted behind a queue that was too long for them, so in an overload
// every one of them was answered late.
BOOST_AUTO_TEST_CASE(long_calls_among_many_short_ones_are_answered_in_time) {
    constexpr milliseconds short_time{11};
    constexpr milliseconds long_time{105};
    constexpr milliseconds target{400};
    admission_limits limits;
    limits.m_slots = 9;
    limits.m_queue = 48;
    limits.m_detect_cold_start = false;
    admission_state state = make_admission(limits);
    set_admission_limits(state, limits);
    struct known_call {
        bool m_long = false;
        time_point m_arrived;
    };
    std::map<std::uint64_t, known_call> calls;
    std::multimap<time_point, std::uint64_t> running;
    int in_time = 0;
    int late = 0;
    std::uint64_t next = 1;
    for (time_point now{}; now < time_point{} + std::chrono::seconds(20); now += milliseconds(1)) {
        std::vector<std::uint64_t> begun;
        while (!running.empty() && running.begin()->first <= now) {
            const known_call ended = calls[running.begin()->second];
            running.erase(running.begin());
            if (ended.m_long && now > time_point{} + std::chrono::seconds(5)) {
                ++(now - ended.m_arrived <= target ? in_time : late);
            }
            call_sample sample;
            sample.m_route = ended.m_long ? "/long" : "/short";
            sample.m_latency = ended.m_long ? long_time : short_time;
            const auto released = admission_finish(state, sample, now).m_run;
            begun.insert(begun.end(), released.begin(), released.end());
        }
        const auto offer = [&](bool is_long) {
            calls[next] = {is_long, now};
            const urgency level = is_long ? urgency::normal : urgency::urgent;
            if (admission_offer(state,
                                {next, level, now + milliseconds(1'000), now + target,
                                 is_long ? "/long" : "/short"},
                                now)
                    .m_verdict == admission_verdict::run) {
                begun.push_back(next);
            }
            ++next;
        };
        const auto ms = now.time_since_epoch() / milliseconds(1);
        if (ms % 7 == 0) {
            offer(false);
        }
        if (ms % 9 == 0) {
            offer(true);
        }
        for (const std::uint64_t id : begun) {
            running.emplace(now + (calls[id].m_long ? long_time : short_time), id);
        }
    }
    BOOST_TEST(late * 20 <= in_time);
    // Nine slots, minus 1.6 used by short calls, run 1,050 long calls in 15 s.
    BOOST_TEST(in_time >= 950);
}

// Guards against a queue in which calls that have become late delay calls that can still be
// answered in time.
BOOST_AUTO_TEST_CASE(calls_that_became_late_in_the_queue_give_way) {
    admission_state state = make_warm_admission(1);
    time_point now{std::chrono::seconds(10)};
    const time_point far_deadline = now + std::chrono::seconds(5);
    admission_offer(state, {1, urgency::normal, far_deadline}, now);
    admission_offer(state, {2, urgency::normal, far_deadline, now + milliseconds(50)}, now);
    admission_offer(
        state, {3, urgency::normal, far_deadline + milliseconds(1), now + std::chrono::seconds(1)},
        now);
    now += milliseconds(200); // longer than expected
    BOOST_TEST(
        (admission_finish(state, call_sample{}, now).m_run == std::vector<std::uint64_t>{3}));
    BOOST_TEST(
        (admission_finish(state, call_sample{}, now).m_run == std::vector<std::uint64_t>{2}));
}

// Guards against late retries that, with their earlier deadline, take the slots before calls that
// can still be answered in time. In an overload all calls would then be late.
BOOST_AUTO_TEST_CASE(late_calls_wait_behind_those_that_can_be_in_time) {
    admission_state state = make_warm_admission(1);
    const time_point now{std::chrono::seconds(10)};
    const time_point far_deadline = now + std::chrono::seconds(5);
    const auto offer = [&](std::uint64_t call, urgency level, time_point deadline,
                           time_point useful_until) {
        return admission_offer(state, {call, level, deadline, useful_until}, now).m_verdict;
    };
    const auto late = now - milliseconds(1);
    BOOST_TEST((offer(1, urgency::normal, far_deadline, {}) == admission_verdict::run));
    BOOST_TEST(
        (offer(2, urgency::normal, now + milliseconds(500), late) == admission_verdict::wait));
    BOOST_TEST((offer(3, urgency::normal, far_deadline, now + milliseconds(600)) ==
                admission_verdict::wait));
    BOOST_TEST((offer(4, urgency::background, far_deadline, now + milliseconds(600)) ==
                admission_verdict::wait));
    const auto next = [&] { return admission_finish(state, call_sample{}, now).m_run; };
    BOOST_TEST((next() == std::vector<std::uint64_t>{3}));
    BOOST_TEST((next() == std::vector<std::uint64_t>{2}));
    BOOST_TEST((next() == std::vector<std::uint64_t>{4}));
}

// Guards against a reported load that doesn't distinguish a full server from one with a long queue,
// or that makes a cold server, which runs few calls at a time, look idle.
BOOST_AUTO_TEST_CASE(reported_load_includes_queue_and_cold_start) {
    admission_state state = make_warm_admission(4);
    const time_point now{std::chrono::seconds(10)};
    for (std::uint64_t call = 1; call <= 12; ++call) {
        admission_offer(state, {call, urgency::normal, now + std::chrono::seconds(5)}, now);
    }
    BOOST_TEST(admission_load_permille(state, now) == 3'000U);

    admission_limits limits = state.m_limits;
    limits.m_cold_until = now + std::chrono::seconds(3);
    limits.m_cold_calls_per_second = 10;
    admission_state cold = make_admission(limits);
    set_admission_limits(cold, limits);
    for (std::uint64_t call = 1; call <= 9; ++call) {
        admission_offer(cold, {call, urgency::normal, now + std::chrono::seconds(5)}, now);
        if (!cold.m_queue.empty()) {
            break;
        }
        admission_finish(cold, call_sample{}, now);
    }
    BOOST_TEST(cold.m_running == 0U);
    BOOST_TEST(admission_load_permille(cold, now) == 900U);
    BOOST_TEST(admission_load_permille(cold, now + std::chrono::seconds(4)) == 0U);
}

// Guards against a refusal that doesn't state when there may be capacity: the callers' nodes would
// retry at once.
BOOST_AUTO_TEST_CASE(refusal_states_when_to_retry) {
    admission_state state = make_warm_admission(2);
    time_point now{std::chrono::seconds(10)};
    std::uint64_t call = 0;
    const auto offer = [&] {
        return admission_offer(
            state,
            {++call, urgency::normal, now + std::chrono::seconds(5), now + milliseconds(300)}, now);
    };
    for (int i = 0; i < 20; ++i) {
        offer();
        call_sample sample;
        sample.m_latency = milliseconds(100);
        admission_finish(state, sample, now);
    }
    admission_result result = offer();
    while (result.m_verdict != admission_verdict::refuse) {
        result = offer();
    }
    BOOST_TEST((result.m_reason == error_kind::queue_full));
    BOOST_TEST((result.m_retry_after > duration{} && result.m_retry_after <= milliseconds(100)));
}

// Guards against calls that stay queued until their deadline passes, or receive a slot when they
// can no longer be answered. The caller would lose the time for a retry, and the server would work
// in vain.
BOOST_AUTO_TEST_CASE(calls_without_time_are_given_up_early) {
    admission_state state = make_warm_admission(1);
    time_point now{std::chrono::seconds(10)};
    call_sample sample;
    sample.m_latency = milliseconds(100);
    for (std::uint64_t call = 1; call <= 20; ++call) {
        admission_offer(state, {call, urgency::normal, now + std::chrono::seconds(5)}, now);
        admission_finish(state, sample, now);
    }
    admission_offer(state, {100, urgency::normal, now + std::chrono::seconds(5)}, now);
    const time_point deadline = now + milliseconds(400);
    BOOST_TEST((admission_offer(state, {101, urgency::normal, deadline}, now).m_verdict ==
                admission_verdict::wait));
    BOOST_TEST(admission_tick(state, deadline - milliseconds(70)).m_expired.empty());
    BOOST_TEST((admission_tick(state, deadline - milliseconds(50)).m_expired ==
                std::vector<std::uint64_t>{101}));
}

// Guards against an onward call that waits behind other calls of its urgency: the call that it
// serves holds a slot of another server meanwhile.
BOOST_AUTO_TEST_CASE(onward_calls_precede_others_of_their_urgency) {
    admission_state state = make_warm_admission(1);
    const time_point now{std::chrono::seconds(10)};
    const auto offer = [&](std::uint64_t call, urgency level, bool onward) {
        const time_point deadline = now + std::chrono::seconds(5);
        admission_offer(state, {call, level, deadline, time_point{}, "/a", onward}, now);
    };
    offer(1, urgency::normal, false);
    offer(2, urgency::normal, false);
    offer(3, urgency::normal, true);
    offer(4, urgency::urgent, false);
    offer(5, urgency::background, true);
    std::vector<std::uint64_t> order;
    for (int i = 0; i < 4; ++i) {
        const auto release = admission_finish(state, call_sample{}, now);
        order.insert(order.end(), release.m_run.begin(), release.m_run.end());
    }
    BOOST_TEST((order == std::vector<std::uint64_t>{4, 3, 2, 5}));
}

// Guards against long background calls that hold slots while more urgent calls lose much of their
// useful time. Normal calls of 54 ms, useful for 200 ms, need four fifths of the slots; background
// calls of 170 ms would take more than the rest.
BOOST_AUTO_TEST_CASE(background_calls_leave_slots_for_more_urgent_ones) {
    struct running_call {
        std::uint64_t m_id;
        urgency m_urgency;
        time_point m_ends;
    };
    random_source random(11);
    admission_state state = make_warm_admission(13);
    std::vector<running_call> running;
    std::map<std::uint64_t, urgency> offered;
    std::map<std::uint64_t, time_point> offered_at;
    int normal_begun = 0;
    int normal_waited = 0;
    int background_run = 0;
    std::uint64_t next = 1;
    time_point now{std::chrono::seconds(10)};
    const auto begin = [&](std::uint64_t id) {
        const urgency level = offered.at(id);
        if (level == urgency::normal) {
            ++normal_begun;
            normal_waited += now - offered_at.at(id) > milliseconds(50) ? 1 : 0;
        }
        background_run += level == urgency::background ? 1 : 0;
        const int work_ms = level == urgency::background ? 170 : 54;
        running.push_back({id, level, now + milliseconds(work_ms)});
    };
    const time_point end = now + std::chrono::seconds(30);
    for (; now < end; now += milliseconds(1)) {
        for (std::size_t i = 0; i < running.size();) {
            if (running[i].m_ends > now) {
                ++i;
                continue;
            }
            call_sample sample;
            sample.m_urgency = running[i].m_urgency;
            sample.m_latency = milliseconds(sample.m_urgency == urgency::background ? 170 : 54);
            running.erase(running.begin() + static_cast<std::ptrdiff_t>(i));
            for (const std::uint64_t id : admission_finish(state, sample, now).m_run) {
                begin(id);
            }
        }
        for (const urgency level : {urgency::normal, urgency::background}) {
            const double per_ms = level == urgency::normal ? 0.1926 : 0.06;
            if (random.unit() >= per_ms) {
                continue;
            }
            offered[next] = level;
            offered_at[next] = now;
            const auto verdict =
                admission_offer(
                    state, {next, level, now + std::chrono::seconds(2), now + milliseconds(200)},
                    now)
                    .m_verdict;
            if (verdict == admission_verdict::run) {
                begin(next);
            }
            ++next;
        }
    }
    BOOST_TEST(normal_waited < normal_begun / 10);
    // At least one slot stays for background calls: 30 s of 170 ms calls.
    BOOST_TEST(background_run > 176);
}

// Guards against a few urgent calls that take nearly all slots from background calls, which may be
// the main load of a server.
BOOST_AUTO_TEST_CASE(rare_urgent_calls_cost_background_calls_no_slot) {
    admission_state state = make_warm_admission(13);
    time_point now{std::chrono::seconds(10)};
    // One urgent call a second, which waits for half of its useful time each.
    for (std::uint64_t call = 1; call <= 60; ++call) {
        for (std::uint64_t slot = 0; slot < 13; ++slot) {
            const std::uint64_t id = 1'000 * call + slot;
            admission_offer(state, {id, urgency::background, now + std::chrono::seconds(5)}, now);
        }
        admission_offer(
            state,
            {call, urgency::urgent, now + std::chrono::seconds(5), now + std::chrono::seconds(1)},
            now);
        now += milliseconds(500);
        for (int ended = 0; ended < 14; ++ended) {
            call_sample sample;
            sample.m_urgency = ended < 13 ? urgency::background : urgency::urgent;
            admission_finish(state, sample, now);
        }
        now += milliseconds(500);
    }
    BOOST_TEST(admission_background_slots(state, now) == 13U);
}

BOOST_AUTO_TEST_SUITE_END()
