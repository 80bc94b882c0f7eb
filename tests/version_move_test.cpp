// Tests of version moves: the sequential test, the stages and the record.

#include "bench/move_simulation.hpp"
#include "tests/support.hpp"

using namespace caraway;
using namespace caraway::bench;

namespace {

const wall_time s_start{std::chrono::seconds(1'800'000'000)};
constexpr std::chrono::seconds s_given{300};

move_record first_record() {
    return start_move("move", "service", "v1", "v2", s_start + s_given, "holder", s_start);
}

struct arm_behaviour {
    double m_calls = 0; // per interval
    double m_failure_share = 0;
    double m_latency_ms = 20;
    bool m_cold = false;
};

evidence_report make_report(std::string_view version, std::string_view route,
                            const arm_behaviour& behaviour, random_source& random) {
    evidence_report result;
    result.m_instance = version;
    result.m_version = version;
    arm_counts& counts = result.m_routes[std::string(route)];
    for (double i = random.unit(); i < behaviour.m_calls; i += 1) {
        const double latency = behaviour.m_latency_ms * std::exp(random.unit() + random.unit() - 1);
        count_call(counts, random.unit() < behaviour.m_failure_share,
                   std::chrono::microseconds(static_cast<int>(latency * 1000)), behaviour.m_cold);
    }
    return result;
}

// Adds up to the given number of intervals, but stops after one that makes the verdict bad. Returns
// the number added.
int add_intervals(move_evidence& evidence, int intervals, const arm_behaviour& old_arm,
                  const arm_behaviour& new_arm, random_source& random) {
    for (int i = 1; i <= intervals; ++i) {
        const std::array reports{make_report("v1", "/a", old_arm, random),
                                 make_report("v2", "/a", new_arm, random)};
        add_evidence(evidence, reports, "v1", "v2");
        if (evaluate_evidence(evidence).m_verdict == evidence_verdict::bad) {
            return i;
        }
    }
    return intervals;
}

struct kind_totals {
    int m_taken_back = 0;
    int m_in_time = 0;
    int m_final_writes = 0;
    std::uint32_t m_largest_weight = 0;
    double m_latest_done_s = 0;
};

kind_totals simulate(move_scenario kind, int runs, const simulation_options& options) {
    kind_totals totals;
    for (int i = 0; i < runs; ++i) {
        const auto result =
            simulate_move(kind, move_policy::sequential,
                          seed_or_default() + static_cast<std::uint64_t>(i), options);
        totals.m_taken_back += result.m_state == move_state::taken_back ? 1 : 0;
        totals.m_in_time += result.m_in_time ? 1 : 0;
        totals.m_final_writes += static_cast<int>(result.m_final_state_writes);
        totals.m_largest_weight =
            std::max(totals.m_largest_weight, result.m_max_weight_before_visible);
        if (result.m_state == move_state::done) {
            totals.m_latest_done_s = std::max(totals.m_latest_done_s, result.m_ended_s);
        }
    }
    return totals;
}

} // namespace

BOOST_AUTO_TEST_SUITE(version_move)

// Guards against a rate of false rollbacks above 1 in 100 and against good moves that end too late.
BOOST_AUTO_TEST_CASE(good_versions_are_done_in_time) {
    const simulation_options options{120, 50, 150};
    const kind_totals good = simulate(move_scenario::good, 1'000, options);
    BOOST_TEST(good.m_taken_back < 10);
    BOOST_TEST(good.m_in_time > 990);
    BOOST_TEST(good.m_final_writes == 1'000);
    BOOST_TEST(good.m_latest_done_s < 0.9 * 120);
    for (const move_scenario kind :
         {move_scenario::good_under_overload, move_scenario::good_store_down,
          move_scenario::good_cold_starts, move_scenario::good_holder_dies}) {
        const kind_totals totals = simulate(kind, 100, options);
        BOOST_TEST(totals.m_in_time >= 99, scenario_name(kind) << " " << totals.m_in_time);
    }
}

// Guards against a bad version that is declared done, or that receives more than 5% of the calls
// before a defect that exists from the start is detected.
BOOST_AUTO_TEST_CASE(bad_versions_are_taken_back) {
    for (const move_scenario kind :
         {move_scenario::fails_at_once, move_scenario::fails_later, move_scenario::slow,
          move_scenario::bad_under_load, move_scenario::bad_on_one_route,
          move_scenario::fails_store_down, move_scenario::fails_store_and_holder_down}) {
        const kind_totals totals = simulate(kind, 40, {});
        BOOST_TEST(totals.m_taken_back >= 39, scenario_name(kind) << " " << totals.m_taken_back);
        BOOST_TEST(totals.m_final_writes == 40, scenario_name(kind));
        if (kind == move_scenario::fails_at_once || kind == move_scenario::slow) {
            BOOST_TEST(totals.m_largest_weight <= 50U, scenario_name(kind));
        }
    }
}

// Guards against a later defect that is diluted by earlier good intervals: 700 intervals without a
// defect (350 s) must not delay the verdict.
BOOST_AUTO_TEST_CASE(later_badness_is_not_diluted) {
    random_source random(seed_or_default());
    const arm_behaviour old_arm{190, 0.002, 20, false};
    move_evidence evidence;
    BOOST_TEST(add_intervals(evidence, 700, old_arm, {10, 0.002, 20, false}, random) == 700);
    BOOST_TEST(add_intervals(evidence, 100, old_arm, {10, 0.3, 20, false}, random) <= 6);
    BOOST_TEST(evaluate_evidence(evidence).m_route == "/a");
    move_evidence slower;
    BOOST_TEST(add_intervals(slower, 700, old_arm, {10, 0.002, 20, false}, random) == 700);
    BOOST_TEST(add_intervals(slower, 100, old_arm, {10, 0.002, 60, false}, random) <= 6);
}

// Guards against rolling back a good version because one of its servers is slower than the others.
// The local latencies are those of a server at 1.6 times the usual service time, compared with
// servers of the old version at 0.7 times.
BOOST_AUTO_TEST_CASE(a_slow_server_is_not_evidence_of_its_version) {
    random_source random(seed_or_default());
    std::string reason;
    move_evidence own;
    own.m_instances = 6;
    const auto add = [&own, &random](int intervals, double failure_share) {
        for (int i = 0; i < intervals; ++i) {
            const std::array reports{
                make_report("v1", "/a", {20, 0, 155, false}, random),
                make_report("v2", "/a", {40, failure_share, 352, false}, random)};
            add_evidence(own, reports, "v1", "v2");
        }
    };
    add(100, 0);
    BOOST_TEST(!is_locally_bad(own, reason), reason);
    // Failures of the own server must still suspend the version.
    add(4, 0.5);
    BOOST_TEST(is_locally_bad(own, reason));
    move_evidence holder;
    BOOST_TEST(add_intervals(holder, 300, {100, 0, 150, false}, {100, 0, 200, false}, random) ==
               300);
}

// Guards against mistaking an overload of both versions, cold calls or one crashed server for a
// defect of the version.
BOOST_AUTO_TEST_CASE(overload_cold_start_and_crashes_are_not_evidence) {
    random_source random(seed_or_default());
    move_evidence overload;
    add_intervals(overload, 50, {100, 0, 20, false}, {100, 0, 20, false}, random);
    BOOST_TEST(add_intervals(overload, 300, {100, 0.3, 200, false}, {100, 0.3, 200, false},
                             random) == 300);
    move_evidence cold;
    add_intervals(cold, 50, {100, 0, 20, false}, {100, 0, 20, false}, random);
    BOOST_TEST(add_intervals(cold, 100, {100, 0, 20, false}, {100, 0, 80, true}, random) == 100);
    BOOST_TEST(add_intervals(cold, 100, {100, 0, 20, false}, {100, 0, 80, false}, random) <= 4);
    // An overload begins between the reports of the two versions for the same interval.
    move_evidence offset;
    add_intervals(offset, 50, {100, 0, 20, false}, {100, 0, 20, false}, random);
    add_intervals(offset, 1, {100, 0, 20, false}, {100, 0.9, 400, false}, random);
    add_intervals(offset, 50, {100, 0.9, 400, false}, {100, 0.9, 400, false}, random);
    BOOST_TEST((evaluate_evidence(offset).m_verdict != evidence_verdict::bad));
    move_evidence crash;
    add_intervals(crash, 50, {100, 0, 20, false}, {20, 0, 20, false}, random);
    for (int i = 0; i < 2; ++i) {
        // One of five servers cuts the calls in its slots.
        std::vector<evidence_report> reports{make_report("v1", "/a", {100, 0, 20, false}, random)};
        for (int server = 0; server < 5; ++server) {
            reports.push_back(
                make_report("v2", "/a", {12, server == 0 ? 1.0 : 0.0, 20, false}, random));
        }
        add_evidence(crash, reports, "v1", "v2");
        add_intervals(crash, 60, {100, 0, 20, false}, {20, 0, 20, false}, random);
        BOOST_TEST((evaluate_evidence(crash).m_verdict != evidence_verdict::bad), "crash " << i);
    }
}

// Guards against a route without traffic of the old version whose failures are never evaluated.
BOOST_AUTO_TEST_CASE(new_routes_are_judged_by_their_failure_share) {
    random_source random(seed_or_default());
    for (const double failure_share : {0.04, 0.4}) {
        move_evidence evidence;
        int intervals = 0;
        bool bad = false;
        while (!bad && intervals++ < 300) {
            const std::array reports{
                make_report("v1", "/a", {80, 0, 20, false}, random),
                make_report("v2", "/a", {20, 0, 20, false}, random),
                make_report("v2", "/new", {20, failure_share, 20, false}, random)};
            add_evidence(evidence, reports, "v1", "v2");
            bad = evaluate_evidence(evidence).m_verdict == evidence_verdict::bad;
        }
        BOOST_TEST(bad == (failure_share > 0.05));
        BOOST_TEST((!bad || intervals <= 5));
    }
}

// Guards against a node that can't suspend a version by itself, or that suspends it although the
// old version is no better or an overload of both can't be distinguished from a defect.
BOOST_AUTO_TEST_CASE(local_test_suspends_on_own_evidence) {
    random_source random(seed_or_default());
    std::string reason;
    const auto intervals_until_bad = [&](double failure_share, bool with_old, double old_share) {
        move_evidence own;
        for (int i = 1; i <= 300; ++i) {
            std::vector<evidence_report> reports{
                make_report("v2", "/a", {10, failure_share, 20, false}, random)};
            if (with_old) {
                reports.push_back(make_report("v1", "/a", {50, old_share, 20, false}, random));
            }
            add_evidence(own, reports, "v1", "v2");
            if (is_locally_bad(own, reason)) {
                return i;
            }
        }
        return 301;
    };
    BOOST_TEST(intervals_until_bad(0.8, false, 0) <= 6);
    BOOST_TEST(!reason.empty());
    BOOST_TEST(intervals_until_bad(0.2, false, 0) == 301);
    BOOST_TEST(intervals_until_bad(0.5, true, 0) <= 6);
    BOOST_TEST(intervals_until_bad(0.5, true, 0.5) == 301);
}

// Guards against a raise above 5% while a route with traffic has no evidence, and against a version
// with too little evidence that is declared done.
BOOST_AUTO_TEST_CASE(weight_waits_for_every_route_with_traffic) {
    for (const bool served : {false, true}) {
        random_source random(seed_or_default());
        move_record record = first_record();
        move_evidence evidence;
        std::uint32_t largest_weight_permille = 0;
        for (int elapsed_s = 1; elapsed_s <= 301; ++elapsed_s) {
            const double share = record.m_weight_permille / 1000.0;
            std::vector<evidence_report> reports{
                make_report("v1", "/a", {70 * (1 - share), 0, 20, false}, random),
                make_report("v2", "/a", {70 * share, 0, 20, false}, random),
                make_report("v1", "/b", {30 * (1 - share), 0, 20, false}, random)};
            if (served) {
                reports.push_back(make_report("v2", "/b", {30 * share, 0, 20, false}, random));
            }
            add_evidence(evidence, reports, "v1", "v2");
            const move_step step =
                step_move(record, evidence, false, s_start + std::chrono::seconds(elapsed_s));
            if (step.m_kind == move_step::kind::write) {
                BOOST_TEST(step.m_record.m_stage <= record.m_stage + 1);
                if (step.m_record.m_stage != record.m_stage) {
                    begin_stage(evidence);
                }
                record = step.m_record;
                largest_weight_permille =
                    std::max(largest_weight_permille, record.m_weight_permille);
                if (served && record.m_weight_permille == 1000) {
                    BOOST_TEST(elapsed_s <= 200); // two thirds of the time given
                }
            }
        }
        BOOST_TEST((record.m_state == (served ? move_state::done : move_state::taken_back)));
        BOOST_TEST((served ? largest_weight_permille == 1000 : largest_weight_permille <= 50));
    }
}

// Guards against a raise or a wrong verdict when the store becomes available again after the
// deadline.
BOOST_AUTO_TEST_CASE(deadline_during_a_store_outage_is_decided_by_the_record) {
    random_source random(seed_or_default());
    for (std::uint32_t stage = 0; stage < stage_weights_permille.size(); ++stage) {
        move_record record = first_record();
        record.m_stage = stage;
        record.m_weight_permille = stage_weights_permille[stage];
        record.m_raised_ms = unix_ms(s_start + std::chrono::seconds(250));
        move_evidence evidence;
        add_intervals(evidence, 100, {50, 0, 20, false}, {50, 0, 20, false}, random);
        const bool full = record.m_weight_permille == 1000;
        for (const int late : {0, 1, 100}) {
            const move_step step = step_move(take_over_move(record, "next"), evidence, false,
                                             s_start + s_given + std::chrono::seconds(late));
            BOOST_TEST((step.m_kind == move_step::kind::write));
            BOOST_TEST(
                (step.m_record.m_state == (full ? move_state::done : move_state::taken_back)));
            BOOST_TEST(step.m_record.m_weight_permille == (full ? 1000U : 0U));
        }
        // Suspended during the outage of the store: taken back even at full weight.
        const move_step step = step_move(record, evidence, true, s_start + s_given);
        BOOST_TEST((step.m_record.m_state == move_state::taken_back));
    }
    const move_record expired = start_move("m", "s", "v1", "v2", s_start, "h", s_start);
    BOOST_TEST((expired.m_state == move_state::taken_back && expired.m_weight_permille == 0));
}

// Guards against two holders that both act on stale records: the final state must be written once,
// and the weight must not fall before it. A write may take effect although the writer sees a
// failure.
BOOST_AUTO_TEST_CASE(racing_holders_write_the_final_state_once) {
    const std::uint64_t first = seed_or_default();
    for (std::uint64_t seed = first; seed < first + 300; ++seed) {
        random_source random(seed);
        struct holder {
            std::string m_name;
            std::optional<move_record> m_read;
            move_evidence m_evidence;
        };
        std::array<holder, 2> holders{{{"a", {}, {}}, {"b", {}, {}}}};
        std::string stored = encode_move(first_record());
        std::uint64_t revision = 1;
        int final_writes = 0;
        std::uint32_t weight = 0;
        const bool bad = random.below(2) == 0;
        for (int elapsed_s = 1; elapsed_s < 400; ++elapsed_s) {
            const wall_time now = s_start + std::chrono::seconds(elapsed_s);
            for (holder& current : holders) {
                add_intervals(current.m_evidence, 1, {20, 0, 20, false},
                              {20, bad ? 0.2 : 0, 20, false}, random);
                if (random.below(4) == 0) {
                    continue; // paused
                }
                if (!current.m_read || random.below(20) == 0) {
                    // Assumes that it holds the lease: reads the record and writes its own name
                    // first.
                    current.m_read = decode_move(stored, revision);
                    BOOST_REQUIRE(current.m_read.has_value());
                    if (current.m_read->m_state != move_state::running) {
                        continue;
                    }
                    stored = encode_move(take_over_move(*current.m_read, current.m_name));
                    current.m_read = decode_move(stored, ++revision);
                }
                const move_step step =
                    step_move(*current.m_read, current.m_evidence, random.below(2'000) == 0, now);
                if (step.m_kind != move_step::kind::write) {
                    continue;
                }
                if (step.m_record.m_revision != revision) {
                    current.m_read.reset(); // fenced by the compare-and-swap
                    continue;
                }
                stored = encode_move(step.m_record);
                ++revision;
                if (step.m_record.m_state != move_state::running) {
                    ++final_writes;
                } else {
                    BOOST_TEST(step.m_record.m_weight_permille >= weight);
                    weight = step.m_record.m_weight_permille;
                }
                current.m_read = step.m_record;
                current.m_read->m_revision = revision;
                if (random.below(4) == 0) {
                    current.m_read.reset(); // the response was lost, so it reads the record again
                } else {
                    begin_stage(current.m_evidence);
                }
            }
        }
        BOOST_TEST(final_writes == 1, "seed " << seed);
        const auto last = decode_move(stored, revision);
        BOOST_REQUIRE(last.has_value());
        BOOST_TEST((last->m_state != move_state::running));
        BOOST_TEST((!bad || last->m_state == move_state::taken_back), "seed " << seed);
    }
}

// Guards against a record that another node decodes differently, and against accepting a malformed
// one.
BOOST_AUTO_TEST_CASE(record_text_round_trips) {
    move_record record = first_record();
    record.m_reason = "quote \" and newline \n";
    record.m_stage = 3;
    for (const move_state state : {move_state::running, move_state::done, move_state::taken_back}) {
        record.m_state = state;
        record.m_revision = 7;
        record.m_excluded_versions.emplace_back(move_state_name(state));
        const std::string text = encode_move(record);
        BOOST_TEST((text.find('\n') == std::string::npos));
        BOOST_TEST((text.find(move_state_name(state)) != std::string::npos));
        BOOST_TEST((decode_move(text, 7) == record));
    }
    const std::string text = encode_move(record);
    BOOST_TEST(!decode_move("", 1).has_value());
    BOOST_TEST(!decode_move(text.substr(0, text.size() - 1), 1).has_value());
    for (const std::string_view key :
         {"move_id", "service", "from", "to", "state", "stage", "weight_permille", "started_ms",
          "raised_ms", "deadline_ms", "holder", "reason"}) {
        std::string broken = text;
        broken.replace(broken.find("\"" + std::string(key) + "\"") + 1, 1, "X");
        BOOST_TEST(!decode_move(broken, 1).has_value(), key);
    }
    BOOST_TEST(!decode_move(R"({"weight_permille":1001})", 1).has_value());
    for (const std::string_view malformed : {"7", "[7]", "\"1\"", "{}"}) {
        std::string broken = encode_move(first_record());
        broken.insert(1, R"("excluded_versions":)" + std::string(malformed) + ",");
        BOOST_TEST(!decode_move(broken, 1).has_value(), malformed);
    }
}

// Guards against rolling back a good version whose move runs late because a route with a third of a
// small service's calls had 3 calls at 40 permille.
BOOST_AUTO_TEST_CASE(few_calls_at_a_small_weight_do_not_hold_up_a_move) {
    random_source random(seed_or_default());
    move_evidence evidence;
    for (int i = 0; i < 10; ++i) {
        const double new_calls = i < 3 ? 1 : 0;
        const std::array reports{make_report("v1", "/a", {24, 0, 20, false}, random),
                                 make_report("v1", "/b", {11, 0, 20, false}, random),
                                 make_report("v2", "/a", {2, 0, 20, false}, random),
                                 make_report("v2", "/b", {new_calls, 0, 20, false}, random)};
        add_evidence(evidence, reports, "v1", "v2");
    }
    BOOST_TEST(stage_passed(evidence, 1, true));
    BOOST_TEST(!stage_passed(evidence, 1, false));
    BOOST_TEST(!stage_passed(evidence, 2, true));
}

// Guards against rolling back a good version at full weight because of a route whose calls always
// failed, with the old version too: 4 of 4 failed at one restarted node, which had no old calls to
// compare with.
BOOST_AUTO_TEST_CASE(routes_that_always_failed_are_not_evidence) {
    random_source random(seed_or_default());
    move_evidence holder;
    add_intervals(holder, 20, {10, 1, 20, false}, {1, 1, 20, false}, random);
    begin_stage(holder);
    BOOST_TEST(add_intervals(holder, 40, {0, 0, 20, false}, {4, 1, 20, false}, random) == 40);
}

BOOST_AUTO_TEST_SUITE_END()
