// Tests of the choice of a backend server by the expected time until its answer, with many callers'
// nodes, old reports and servers of unequal speed. Each drive prints its figures, and those of the
// choice by load alone for comparison.
#include <algorithm>
#include <cmath>
#include <numeric>
#include <string_view>
#include <vector>

#include <fmt/format.h>

#include "decide/traffic/balance.hpp"
#include "tests/choice_driver.hpp"
#include "tests/support.hpp"

using namespace caraway;

namespace {

constexpr int choices = 2'000;

// Returns each server's share of the calls relative to its share of the speed; 1 means that all
// servers are equally busy.
std::vector<double> relative_shares(const drive& conditions, const drive_result& result) {
    const std::vector<double>& speeds = conditions.m_speeds;
    double calls = 0;
    double speed = 0;
    for (std::size_t i = 0; i < result.m_server_calls.size(); ++i) {
        calls += result.m_server_calls[i];
        speed += speeds[i % speeds.size()];
    }
    std::vector<double> shares;
    for (std::size_t i = 0; i < result.m_server_calls.size(); ++i) {
        shares.push_back(result.m_server_calls[i] / calls / (speeds[i % speeds.size()] / speed));
    }
    return shares;
}

// Returns the highest relative share of the servers of a speed.
double highest_share(const drive& conditions, const drive_result& result, double speed) {
    const std::vector<double> shares = relative_shares(conditions, result);
    double highest = 0;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        if (conditions.m_speeds[i % conditions.m_speeds.size()] == speed) {
            highest = std::max(highest, shares[i]);
        }
    }
    return highest;
}

void print(std::string_view name, const drive& conditions, const drive_result& result) {
    fmt::print("{}, {}: highest share at speed 0.5 {:.2f}, 1.0 {:.2f}, 1.6 {:.2f}; waited while a "
               "slot was free {:.3f}, late {:.4f}, refused {:.4f}, left {:.3f}; mean {:.0f} ms, "
               "p99 {:.0f} ms, {} calls\n",
               name, conditions.m_by_expected_time ? "by expected time" : "by load",
               highest_share(conditions, result, 0.5), highest_share(conditions, result, 1.0),
               highest_share(conditions, result, 1.6), result.share(result.m_waited),
               result.share(result.m_late), result.share(result.m_refused),
               result.share(result.m_left), result.m_mean_ms, result.m_p99_ms, result.m_calls);
}

// Results of the choice by expected time and of the choice by load under the same conditions.
struct comparison {
    drive_result m_result;
    drive_result m_before;
};

comparison compare(std::string_view name, drive& conditions) {
    comparison both;
    conditions.m_seed = seed_or_default();
    conditions.m_by_expected_time = false;
    both.m_before = run_drive(conditions);
    print(name, conditions, both.m_before);
    conditions.m_by_expected_time = true;
    both.m_result = run_drive(conditions);
    print(name, conditions, both.m_result);
    return both;
}

// Every other server is 2.5 times slower for 600 ms in every 4 s.
double slow_periods(std::size_t server, double seconds) {
    const double phase = std::fmod(seconds + 0.37 * static_cast<double>(server), 4.0);
    return server % 2 == 0 && phase < 0.6 ? 2.5 : 1.0;
}

// A server of which a report has just arrived.
candidate reported(bool own, std::uint32_t load, double factor = 1) {
    candidate value;
    value.m_own_data_centre = own;
    value.m_load_permille = load;
    value.m_mean_load_permille = load;
    value.m_slots = 13;
    value.m_speed_factor = factor;
    value.m_network_time = own ? std::chrono::microseconds(200) : std::chrono::microseconds(2'000);
    return value;
}

// A server that has never sent an answer to this node.
candidate unknown(bool own) {
    candidate value;
    value.m_own_data_centre = own;
    value.m_load_age = std::chrono::hours(1);
    return value;
}

// Returns how often each candidate is chosen for a call whose usual run time is 100 ms.
std::vector<int> count_choices(const std::vector<candidate>& candidates) {
    random_source random(seed_or_default());
    std::vector<int> counts(candidates.size());
    for (int i = 0; i < choices; ++i) {
        ++counts[choose_by_expected_time(candidates, milliseconds(100), random).value()];
    }
    return counts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(server_choice)

// Guards against fast servers that are filled while slow ones are idle, against slow servers that
// get as many calls as fast ones, and against calls that change the data centre for no gain.
BOOST_AUTO_TEST_CASE(shares_follow_the_speeds) {
    drive conditions;
    conditions.m_load = [](auto, auto) { return 0.8; };
    const comparison both = compare("load 0.8", conditions);
    for (const double share : relative_shares(conditions, both.m_result)) {
        BOOST_TEST(share > 0.75);
        BOOST_TEST(share < 1.2);
    }
    BOOST_TEST(both.m_result.share(both.m_result.m_waited) <
               0.75 * both.m_before.share(both.m_before.m_waited));
    BOOST_TEST(both.m_result.share(both.m_result.m_left) < 0.05);
    BOOST_TEST(both.m_result.m_refused == 0U);
}

// Guards against slow servers that are used although faster ones are idle, and against waiting that
// the preference for fast servers causes.
BOOST_AUTO_TEST_CASE(fast_servers_are_preferred_at_a_low_load) {
    drive conditions;
    conditions.m_load = [](auto, auto) { return 0.4; };
    const comparison both = compare("load 0.4", conditions);
    BOOST_TEST(highest_share(conditions, both.m_result, 0.5) < 0.5);
    BOOST_TEST(both.m_result.m_mean_ms < both.m_before.m_mean_ms);
    BOOST_TEST(both.m_result.share(both.m_result.m_waited) < 0.03);
    BOOST_TEST(both.m_result.m_left == 0U);
}

// Guards against queues at servers that have become slower for some hundred milliseconds.
BOOST_AUTO_TEST_CASE(slow_periods_cause_less_waiting) {
    for (const double load : {0.6, 0.8}) {
        drive conditions;
        conditions.m_load = [load](auto, auto) { return load; };
        conditions.m_slowness = slow_periods;
        const comparison both = compare(fmt::format("slow periods, load {:.1f}", load), conditions);
        BOOST_TEST(both.m_result.share(both.m_result.m_waited) <
                   0.85 * both.m_before.share(both.m_before.m_waited));
        BOOST_TEST(both.m_result.share(both.m_result.m_left) <
                   0.25 * both.m_before.share(both.m_before.m_left));
        BOOST_TEST(both.m_result.share(both.m_result.m_late) < 0.015);
    }
}

// Guards against calls that wait in a full data centre while others have free slots, against a
// share of leaving calls that swings, and against one server that all leaving calls choose. The
// callers of the first data centre send twice as many calls as those of the others.
BOOST_AUTO_TEST_CASE(calls_leave_a_full_data_centre_evenly) {
    drive conditions;
    conditions.m_load = [](std::size_t data_centre, auto) {
        return data_centre == 0 ? 0.975 : 0.4875;
    };
    const comparison both = compare("unequal data centres", conditions);
    const drive_result& result = both.m_result;
    BOOST_TEST(result.share(result.m_waited) < 1.1 * both.m_before.share(both.m_before.m_waited));
    BOOST_TEST(result.share(result.m_left) < both.m_before.share(both.m_before.m_left));
    BOOST_TEST(result.share(result.m_left) > 0.05);
    BOOST_TEST(result.share(result.m_late) < 0.005);
    for (std::size_t i = 0; i < result.m_left_by_interval.size() - 4; ++i) {
        BOOST_TEST(result.m_left_by_interval[i] > 0.3 * result.share(result.m_left));
        BOOST_TEST(result.m_left_by_interval[i] < 2 * result.share(result.m_left));
    }
    // Faster servers have more free slots, so each is compared with those of the same speed.
    const std::vector<double>& speeds = conditions.m_speeds;
    for (const double speed : {0.5, 1.0, 1.6}) {
        std::vector<double> left;
        for (std::size_t i = speeds.size(); i < result.m_left_calls.size(); ++i) {
            if (speeds[i % speeds.size()] == speed) {
                left.push_back(result.m_left_calls[i]);
            }
        }
        const double mean =
            std::accumulate(left.begin(), left.end(), 0.0) / static_cast<double>(left.size());
        BOOST_TEST(*std::max_element(left.begin(), left.end()) < 1.5 * mean + 10,
                   "speed " << speed << " mean " << mean);
    }
}

// Guards against calls that stay while the peak of their data centre fills its queues, and against
// those that still leave when it has passed. The peak lasts from second 3 to second 6.
BOOST_AUTO_TEST_CASE(calls_return_after_a_peak) {
    drive conditions;
    conditions.m_load = [&conditions](std::size_t data_centre, double seconds) {
        const double counted = seconds - conditions.m_warmup;
        return data_centre == 0 && counted >= 3 && counted < 6 ? 1.2 : 0.6;
    };
    const comparison both = compare("one peak", conditions);
    const std::vector<double>& left = both.m_result.m_left_by_interval;
    for (std::size_t i = 0; i + 4 < left.size(); ++i) {
        const double seconds = 0.25 * static_cast<double>(i);
        const bool in_peak = seconds >= 4 && seconds < 6;
        if (in_peak) {
            BOOST_TEST(left[i] > 0.05, "second " << seconds << ": " << left[i]);
        } else if (seconds < 3 || seconds >= 7.5) {
            BOOST_TEST(left[i] < 0.02, "second " << seconds << ": " << left[i]);
        }
    }
    BOOST_TEST(both.m_result.share(both.m_result.m_refused) < 0.002);
}

// Guards against refusals when the peak moves from one data centre to the next every 2 s.
BOOST_AUTO_TEST_CASE(a_passing_peak_is_shared) {
    drive conditions;
    conditions.m_duration = 12;
    conditions.m_load = [](std::size_t data_centre, double seconds) {
        return static_cast<std::size_t>(seconds / 2) % 3 == data_centre ? 1.2 : 0.6;
    };
    const comparison both = compare("passing peak", conditions);
    const drive_result& result = both.m_result;
    BOOST_TEST(result.share(result.m_waited) < both.m_before.share(both.m_before.m_waited));
    BOOST_TEST(result.share(result.m_left) < 0.75 * both.m_before.share(both.m_before.m_left));
    BOOST_TEST(result.share(result.m_left) > 0.05);
    BOOST_TEST(result.share(result.m_refused) < 0.001);
    BOOST_TEST(result.share(result.m_late) < 0.005);
}

// Guards against a choice that works only with many callers: two nodes in each data centre.
BOOST_AUTO_TEST_CASE(few_callers_fill_no_queue) {
    drive conditions;
    conditions.m_nodes_each = 2;
    conditions.m_load = [](auto, auto) { return 0.8; };
    const comparison both = compare("few callers", conditions);
    BOOST_TEST(both.m_result.share(both.m_result.m_waited) < 0.05);
    BOOST_TEST(both.m_result.share(both.m_result.m_left) < 0.05);
}

// Guards against slow servers that are taken for idle because each of many callers hears from them
// only every few seconds: 390 nodes that send nine calls a second each.
BOOST_AUTO_TEST_CASE(many_callers_with_old_reports) {
    drive conditions;
    conditions.m_nodes_each = 130;
    conditions.m_load = [](auto, auto) { return 0.8; };
    const comparison both = compare("many callers", conditions);
    BOOST_TEST(both.m_result.share(both.m_result.m_waited) <
               both.m_before.share(both.m_before.m_waited));
    BOOST_TEST(highest_share(conditions, both.m_result, 0.5) < 1.25);
    BOOST_TEST(both.m_result.share(both.m_result.m_late) < 0.005);
    BOOST_TEST(both.m_result.m_refused == 0U);
}

// Guards against choosing a server that has an open breaker, refuses calls or was already tried
// while another is left, and against choosing none while one is left.
BOOST_AUTO_TEST_CASE(excluded_servers_are_not_chosen) {
    random_source random(seed_or_default());
    std::vector<candidate> servers{reported(true, 0), reported(false, 900), reported(true, 0)};
    servers[0].m_breaker_open = true;
    servers[2].m_refusing = true;
    BOOST_TEST(count_choices(servers)[1] == choices);
    servers[1].m_tried = true;
    BOOST_TEST(count_choices(servers)[0] == choices);
    servers[0].m_usable = false;
    BOOST_TEST(!choose_by_expected_time(servers, milliseconds(100), random).has_value());
    BOOST_TEST(!choose_by_expected_time({}, milliseconds(100), random).has_value());
}

// Guards against calls that leave the own data centre before its slots are full or because servers
// elsewhere are faster, and against calls that wait although it gains clearly to leave.
BOOST_AUTO_TEST_CASE(only_waiting_makes_calls_leave) {
    std::vector<candidate> servers{reported(true, 800), reported(true, 800),
                                   reported(false, 0, 0.3), reported(false, 0, 0.3)};
    BOOST_TEST(count_choices(servers)[0] + count_choices(servers)[1] == choices);
    for (std::size_t i = 0; i < 2; ++i) {
        servers[i] = reported(true, 2'500);
        servers[i + 2] = reported(false, 200);
    }
    BOOST_TEST(count_choices(servers)[2] + count_choices(servers)[3] == choices);
    for (std::size_t i = 0; i < 2; ++i) {
        servers[i + 2] = reported(false, 2'500);
    }
    BOOST_TEST(count_choices(servers)[0] + count_choices(servers)[1] == choices);
    for (std::size_t i = 0; i < 2; ++i) {
        servers[i] = reported(true, 950);
        servers[i + 2] = reported(false, 200);
        servers[i + 2].m_network_time = milliseconds(400); // longer than the waiting
    }
    BOOST_TEST(count_choices(servers)[0] + count_choices(servers)[1] == choices);
}

// Guards against servers that never get a call because nothing is known about them, and against all
// calls going to such a server.
BOOST_AUTO_TEST_CASE(unknown_servers_are_tried) {
    std::vector<candidate> servers(8, reported(true, 500));
    servers[3] = unknown(true);
    const int tried = count_choices(servers)[3];
    BOOST_TEST(tried > choices / 50);
    BOOST_TEST(tried < choices * 7 / 10);
    servers.assign(8, unknown(true));
    for (const int count : count_choices(servers)) {
        BOOST_TEST(count > choices / 16);
    }
    servers.assign(4, reported(true, 3'000));
    servers.resize(8, unknown(false));
    const std::vector<int> counts = count_choices(servers);
    for (std::size_t i = 4; i < counts.size(); ++i) {
        BOOST_TEST(counts[i] > choices / 16);
    }
}

// Guards against a failing server that attracts calls because it fails fast, and against one that
// gets none after it has recovered.
BOOST_AUTO_TEST_CASE(failing_servers_get_less) {
    std::vector<candidate> servers(8, reported(true, 300));
    servers[0].m_failure_permille = 400;
    servers[0].m_speed_factor = 0.5;
    BOOST_TEST(count_choices(servers)[0] < choices / 20);
    servers[0].m_load_age = std::chrono::seconds(30);
    BOOST_TEST(count_choices(servers)[0] > choices / 16);
}

// Guards against calls sent in quick succession that all choose the same server, because no answer
// has reported the first ones yet.
BOOST_AUTO_TEST_CASE(unreported_calls_count) {
    random_source random(seed_or_default());
    std::vector<candidate> servers(6, reported(true, 700));
    for (int i = 0; i < 24; ++i) {
        ++servers[choose_by_expected_time(servers, milliseconds(100), random).value()].m_unreported;
    }
    for (const candidate& server : servers) {
        BOOST_TEST(server.m_unreported >= 2U);
        BOOST_TEST(server.m_unreported <= 6U);
    }
}

// Guards against a slow period that still counts when its report is old.
BOOST_AUTO_TEST_CASE(old_slowness_does_not_count) {
    std::vector<candidate> servers(2, reported(true, 300));
    servers[0].m_slowness_permille = 2'500;
    BOOST_TEST(count_choices(servers)[0] == 0);
    servers[0].m_load_age = std::chrono::seconds(2);
    servers[1].m_load_age = std::chrono::seconds(2);
    BOOST_TEST(count_choices(servers)[0] > choices / 3);
}

BOOST_AUTO_TEST_SUITE_END()
