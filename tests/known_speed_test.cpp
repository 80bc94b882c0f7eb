// Tests of the speed reports between nodes: real nodes on loopback.
#include "decide/traffic/server_speed.hpp"
#include "tests/traffic_fixture.hpp"

using namespace caraway;
using namespace caraway::traffic_tests;

namespace {

// Returns the counters that the entry node has for the only backend server of the service.
const backend_counters& counters_of(test_node& node) {
    return *node.m_snapshot.load()->m_services.at("pour").m_backends.at(0).m_counters;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(known_speed, mesh_fixture)

// Guards against reports that don't reach the caller's node, that are passed on to callers, or that
// state another route's run time.
BOOST_AUTO_TEST_CASE(speed_reports_reach_the_callers_node_only) {
    fake_server server;
    test_node& backend_node = add_node("n1", "pour", server.port());
    backend_node.m_settings.m_choose_by_expected_time = true;
    entry().m_settings.m_choose_by_expected_time = true;
    start();
    for (int i = 0; i < 8; ++i) {
        const http_answer answer = caller(entry()).call("/again/slower", "x");
        BOOST_TEST(outcome_and_reason(answer) == "answered/none");
        BOOST_TEST(answer["x-caraway-speed"].empty());
    }
    const backend_counters& known = counters_of(entry());
    BOOST_TEST(known.m_slots > 0U);
    BOOST_TEST(known.m_speed_factor > 0.0);
    BOOST_TEST(known.m_network_us > 0);
    BOOST_TEST(known.m_network_us < 12'000); // the server takes 12 ms, which is not network time
    BOOST_TEST(known.m_unreported == 0U);
    const http_answer answer =
        caller(backend_node).call("/again/slower", "x", node_call_headers({}));
    const std::string text(answer["x-caraway-speed"]);
    const auto report = parse_speed_report(text);
    BOOST_REQUIRE_MESSAGE(report, text);
    BOOST_TEST((report->m_usual_run >= milliseconds(12)));
    BOOST_TEST((report->m_held >= milliseconds(12)));
    const std::string metrics = entry().m_metrics->render();
    BOOST_TEST(contains(metrics, "caraway_attempts_total"));
}

// Guards against a deployment that is served differently although it hasn't enabled the setting.
BOOST_AUTO_TEST_CASE(nothing_is_reported_unless_enabled) {
    fake_server server;
    test_node& backend_node = add_node("n1", "pour", server.port());
    start();
    for (int i = 0; i < 8; ++i) {
        BOOST_TEST(caller(entry()).call("/again/echo", "x").body() == "x");
    }
    BOOST_TEST(counters_of(entry()).m_slots == 0U);
    BOOST_TEST(counters_of(entry()).m_speed_factor == 0.0);
    BOOST_TEST(caller(backend_node)
                   .call("/again/echo", "x", node_call_headers({}))["x-caraway-speed"]
                   .empty());
}

BOOST_AUTO_TEST_SUITE_END()
