// Tests of the estimate of a backend server's present speed and of its report.
#include <array>
#include <cmath>
#include <string>
#include <string_view>

#include "base/random.hpp"
#include "decide/traffic/server_speed.hpp"
#include "tests/support.hpp"

using namespace caraway;

namespace {

// Routes of different work, as on the deployment with servers of unequal speed.
constexpr std::array<std::string_view, 3> routes{"/short", "/medium", "/long"};
constexpr std::array<milliseconds, 3> route_work{milliseconds(54), milliseconds(120),
                                                 milliseconds(290)};

// Time of the next step in a schedule of answers, 20 a second: the lowest rate of one server.
constexpr milliseconds answer_interval{50};

// A server that answers calls of random routes at a given slowness.
struct answering_server {
    server_speed m_speed;
    random_source m_random{seed_or_default()};
    time_point m_now{std::chrono::seconds(1)};

    // Records the answers of a period; the weights select the routes.
    void answer_for(milliseconds period, double slowness,
                    const std::array<std::uint64_t, 3>& weights = {1, 1, 1}) {
        const std::uint64_t total = weights[0] + weights[1] + weights[2];
        for (const time_point until = m_now + period; m_now < until; m_now += answer_interval) {
            std::uint64_t drawn = m_random.below(total);
            std::size_t route = 0;
            while (drawn >= weights.at(route)) {
                drawn -= weights.at(route);
                ++route;
            }
            const double spread = 0.8 + 0.4 * m_random.unit();
            record_run_time(
                m_speed, routes.at(route),
                std::chrono::duration_cast<duration>(slowness * spread * route_work.at(route)),
                m_now);
        }
    }
    std::uint32_t slowness() const {
        return report_speed(m_speed, routes[0], m_now).m_slowness_permille;
    }
};

double in_ms(duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

} // namespace

BOOST_AUTO_TEST_SUITE(server_speed_estimate)

// Guards against a slowness that follows the mix of routes: a server that gets only long calls must
// not look slow.
BOOST_AUTO_TEST_CASE(slowness_does_not_depend_on_the_mix_of_routes) {
    answering_server server;
    server.answer_for(milliseconds(10'000), 1);
    for (int i = 0; i < 40; ++i) {
        server.answer_for(milliseconds(100), 1, {0, 0, 1});
        BOOST_TEST(server.slowness() > 800U);
        BOOST_TEST(server.slowness() < 1'250U);
    }
    server.answer_for(milliseconds(1'000), 1, {1, 0, 0});
    BOOST_TEST(server.slowness() > 850U);
    BOOST_TEST(server.slowness() < 1'150U);
}

// Guards against an estimate that notices a slow period of 600 ms only after it is over, that
// remains high afterwards, or that takes slow periods for the usual speed.
BOOST_AUTO_TEST_CASE(slowness_follows_a_slow_period) {
    answering_server server;
    server.answer_for(milliseconds(10'000), 1);
    for (int i = 0; i < 10; ++i) {
        server.answer_for(milliseconds(300), 2.5);
        BOOST_TEST(server.slowness() > 1'350U);
        server.answer_for(milliseconds(300), 2.5);
        BOOST_TEST(server.slowness() > 1'500U);
        server.answer_for(milliseconds(800), 1);
        BOOST_TEST(server.slowness() < 1'200U);
        server.answer_for(milliseconds(4'000), 1);
    }
    const duration usual = report_speed(server.m_speed, routes[0], server.m_now).m_usual_run;
    BOOST_TEST(in_ms(usual) < 1.4 * static_cast<double>(route_work[0].count()));
}

// Guards against callers that avoid a server because one of its calls took much longer than usual.
BOOST_AUTO_TEST_CASE(a_single_slow_answer_changes_little) {
    answering_server server;
    server.answer_for(milliseconds(10'000), 1, {1, 0, 0});
    record_run_time(server.m_speed, routes[0], std::chrono::seconds(5), server.m_now);
    BOOST_TEST(server.slowness() < 1'500U);
}

// Guards against an estimate that stays as it is when no answers come any more.
BOOST_AUTO_TEST_CASE(slowness_returns_to_usual_without_answers) {
    answering_server server;
    server.answer_for(milliseconds(10'000), 1);
    server.answer_for(milliseconds(600), 2.5);
    server.m_now += milliseconds(2'000);
    BOOST_TEST(server.slowness() < 1'020U);
}

// Guards against a server whose lasting change of speed is taken for a slow period for ever.
BOOST_AUTO_TEST_CASE(usual_run_time_follows_a_lasting_change) {
    answering_server server;
    server.answer_for(milliseconds(30'000), 1);
    server.answer_for(milliseconds(120'000), 2);
    const duration usual = report_speed(server.m_speed, routes[1], server.m_now).m_usual_run;
    BOOST_TEST(in_ms(usual) > 1.8 * static_cast<double>(route_work[1].count()));
    BOOST_TEST(server.slowness() < 1'200U);
}

// Guards against a run time that is reported from too few answers, and against a table that grows
// with the paths that callers invent.
BOOST_AUTO_TEST_CASE(unknown_routes_report_no_run_time) {
    server_speed speed;
    const time_point now{std::chrono::seconds(1)};
    BOOST_TEST((report_speed(speed, "/a", now) == speed_report{}));
    for (int i = 0; i < 3; ++i) {
        record_run_time(speed, "/a", milliseconds(50), now);
        BOOST_TEST((report_speed(speed, "/a", now).m_usual_run == duration{}));
    }
    record_run_time(speed, "/a", milliseconds(50), now);
    BOOST_TEST((report_speed(speed, "/a", now).m_usual_run == milliseconds(50)));
    for (int i = 0; i < 1'000; ++i) {
        record_run_time(speed, "/" + std::to_string(i), milliseconds(50), now);
    }
    BOOST_TEST(speed.m_routes.size() == 256U);
}

// Guards against a log line for each small variation of the speed.
BOOST_AUTO_TEST_CASE(slow_and_usual_have_different_limits) {
    speed_report report;
    const auto at = [&report](std::uint32_t slowness, bool was_slow) {
        report.m_slowness_permille = slowness;
        return is_slow(report, was_slow);
    };
    BOOST_TEST((!at(1'400, false) && at(1'400, true)));
    BOOST_TEST((at(2'000, false) && !at(1'000, true)));
}

// Guards against a mean load that depends on the number of changes instead of their duration.
BOOST_AUTO_TEST_CASE(mean_load_is_an_average_over_time) {
    server_speed speed;
    time_point now{std::chrono::seconds(1)};
    for (int i = 0; i < 200; ++i) {
        record_load(speed, 1'000, now);
        now += milliseconds(15);
        record_load(speed, 0, now);
        for (int change = 0; change < 5; ++change) {
            now += milliseconds(1);
            record_load(speed, 0, now);
        }
    }
    const std::uint32_t mean = report_speed(speed, {}, now).m_mean_load_permille;
    BOOST_TEST(mean > 700U);
    BOOST_TEST(mean < 800U);
    BOOST_TEST(report_speed(speed, {}, now + std::chrono::seconds(10)).m_mean_load_permille < 2U);
}

// Guards against a report that changes on its way, and against figures taken from malformed text.
BOOST_AUTO_TEST_CASE(reports_are_parsed_strictly) {
    const speed_report report{820, 13, 2'450, std::chrono::microseconds(91'500),
                              std::chrono::microseconds(130'007)};
    BOOST_TEST(format_speed_report(report) == "820 13 2450 91500 130007");
    BOOST_TEST((parse_speed_report(format_speed_report(report)) == report));
    for (const std::string_view text :
         {"", " ", "1", "820 13 2450 91500", "820 13 2450 91500 1 1", "820 13 2450 91500 ",
          "820 13 2450  91500 1", "-1 13 2450 91500 1", "820 13 0 91500 1", "820 13 99 91500 1",
          "820 13 2450 91500 99999999999", "820 13 2450 9x500 1", "10001 13 2450 91500 1",
          "820 99999999999999999999 1000 1 1"}) {
        BOOST_TEST(!parse_speed_report(text), text);
    }
}

// Guards against speed factors that depend on the routes that each server happened to be asked for.
BOOST_AUTO_TEST_CASE(factors_are_independent_of_the_routes) {
    random_source random(seed_or_default());
    constexpr std::array<double, 5> speeds{0.5, 0.5, 1.0, 1.0, 1.6};
    constexpr std::array<std::array<std::uint64_t, 2>, 5> usable_routes{
        {{0, 1}, {1, 2}, {0, 2}, {0, 1}, {1, 2}}};
    route_references references;
    std::array<double, 5> factors{};
    for (int i = 0; i < 400; ++i) {
        const std::size_t server = random.below(speeds.size());
        const std::size_t route = usable_routes.at(server).at(random.below(2));
        const double run_ms = static_cast<double>(route_work.at(route).count()) /
                              speeds.at(server) * (0.9 + 0.2 * random.unit());
        factors.at(server) = learn_speed_factor(
            references, routes.at(route), std::chrono::microseconds(std::llround(1'000 * run_ms)),
            factors.at(server));
    }
    for (std::size_t server = 0; server < speeds.size(); ++server) {
        for (std::size_t route = 0; route < routes.size(); ++route) {
            const double expected =
                static_cast<double>(route_work.at(route).count()) / speeds.at(server);
            const double estimated =
                factors.at(server) * in_ms(find_reference(references, routes.at(route)));
            BOOST_TEST(std::abs(estimated / expected - 1) < 0.2,
                       "server " << server << " route " << route);
        }
    }
    BOOST_TEST(learn_speed_factor(references, routes[0], duration{}, 0.7) == 0.7);
    BOOST_TEST((find_reference(references, "/unknown") == duration{}));
}

// Guards against a network time that includes the delays of a busy process.
BOOST_AUTO_TEST_CASE(network_time_is_a_low_estimate) {
    random_source random(seed_or_default());
    duration known{};
    for (int i = 0; i < 200; ++i) {
        const milliseconds held(50 + random.below(100));
        const std::chrono::microseconds delay(random.below(4) == 0 ? random.below(20'000) : 200);
        known = update_network_time(known, held + std::chrono::microseconds(1'000) + delay, held);
    }
    BOOST_TEST(in_ms(known) >= 1.0);
    BOOST_TEST(in_ms(known) < 3.0);
    BOOST_TEST((update_network_time(duration{}, milliseconds(5), milliseconds(9)) == duration{1}));
}

BOOST_AUTO_TEST_SUITE_END()
