// Tests of the state that a node keeps of the backend server beside it.
#include "decide/traffic/own_server.hpp"
#include "tests/support.hpp"

using namespace caraway;

namespace {

const ip_endpoint own_address{"10.1.0.2", 80};
constexpr milliseconds silence{6'000};
constexpr time_point start{std::chrono::seconds(100)};

server_report make_report(std::string server, std::uint64_t sequence, std::int64_t started_ms) {
    server_report report;
    report.m_server = std::move(server);
    report.m_address = own_address;
    report.m_slots = 4;
    report.m_sequence = sequence;
    report.m_started_ms = started_ms;
    return report;
}

report_verdict receive(own_server& server, const server_report& report, time_point now = start) {
    return receive_report(server, report, own_address, now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(own_server_state)

// Guards against a late report that revives an earlier incarnation, even if both incarnations have
// the same identity and the sequence numbers of the later one have restarted.
BOOST_AUTO_TEST_CASE(late_reports_change_nothing) {
    own_server server;
    BOOST_TEST((receive(server, make_report("a", 5, 100)) == report_verdict::taken));
    BOOST_TEST((receive(server, make_report("a", 5, 100)) == report_verdict::stale));
    BOOST_TEST((receive(server, make_report("b", 1, 200)) == report_verdict::taken));
    BOOST_TEST((receive(server, make_report("a", 6, 100)) == report_verdict::stale));
    BOOST_TEST(server.m_report->m_server == "b");
    BOOST_TEST((receive(server, make_report("b", 1, 300)) == report_verdict::taken));
    BOOST_TEST((receive(server, make_report("b", 9, 200)) == report_verdict::stale));
    server_report elsewhere = make_report("c", 1, 900);
    elsewhere.m_address.m_port = 81;
    BOOST_TEST((receive(server, elsewhere) == report_verdict::foreign));
    BOOST_TEST(server.m_report->m_started_ms == 300);
}

// Guards against calls to a server that is draining or stopping, and against a leave notice of an
// earlier incarnation that stops the current one.
BOOST_AUTO_TEST_CASE(a_leaving_server_gets_nothing) {
    own_server server;
    BOOST_TEST((server_refusal(server, start, silence) == error_kind::connect_failed));
    receive(server, make_report("a", 1, 100));
    BOOST_TEST((server_refusal(server, start, silence) == error_kind::none));
    server_report draining = make_report("a", 2, 100);
    draining.m_state = server_state::draining;
    receive(server, draining);
    BOOST_TEST((server_refusal(server, start, silence) == error_kind::draining));
    receive(server, make_report("a", 1, 200));
    BOOST_TEST((server_refusal(server, start, silence) == error_kind::none));
    BOOST_TEST((receive_leave(server, {"a", 100}, start) == report_verdict::stale));
    BOOST_TEST((receive_leave(server, {"z", {}}, start) == report_verdict::stale));
    BOOST_TEST((server_refusal(server, start, silence) == error_kind::none));
    BOOST_TEST((receive_leave(server, {"a", 200}, start) == report_verdict::taken));
    BOOST_TEST((server_refusal(server, start, silence) == error_kind::draining));
}

// Guards against calls to a server that has stopped sending reports or refuses connections. Its
// next report makes it available again.
BOOST_AUTO_TEST_CASE(a_silent_or_unreachable_server_gets_nothing) {
    own_server server;
    receive(server, make_report("a", 1, 100));
    BOOST_TEST((server_refusal(server, start + silence, silence) == error_kind::none));
    BOOST_TEST((server_refusal(server, start + silence + milliseconds(1), silence) ==
                error_kind::connect_failed));
    server.m_unreachable = true;
    BOOST_TEST((server_refusal(server, start, silence) == error_kind::connect_failed));
    receive(server, make_report("a", 2, 100), start + silence);
    BOOST_TEST((server_refusal(server, start + silence, silence) == error_kind::none));
}

// Guards against a late report that revives a server after its leave notice. The node restarted in
// between and did not know the server when it acknowledged the notice.
BOOST_AUTO_TEST_CASE(leave_before_any_report_rejects_late_reports) {
    own_server server;
    BOOST_TEST((receive_leave(server, {"a", 100}, start) == report_verdict::stale));
    BOOST_TEST((receive(server, make_report("a", 18, 100)) == report_verdict::stale));
    BOOST_TEST((server_refusal(server, start, silence) == error_kind::connect_failed));
    BOOST_TEST((receive(server, make_report("a", 1, 200)) == report_verdict::taken));
    BOOST_TEST((receive(server, make_report("a", 19, 100)) == report_verdict::stale));
    BOOST_TEST((server_refusal(server, start, silence) == error_kind::none));
}

// Guards against a late report that arrives after a leave notice without a start time, at a node
// that has restarted in between: the server received calls 2.1 s after its notice was acknowledged.
// A server that restarts under the same identity must be usable at once.
BOOST_AUTO_TEST_CASE(leave_without_start_time_rejects_late_reports) {
    own_server server;
    BOOST_TEST((receive_leave(server, {"a", {}}, start) == report_verdict::stale));
    const time_point late = start + milliseconds(2'100);
    BOOST_TEST((receive(server, make_report("a", 22, 100), late) == report_verdict::stale));
    BOOST_TEST((server_refusal(server, late, silence) == error_kind::connect_failed));
    BOOST_TEST((receive(server, make_report("a", 1, 200), late) == report_verdict::taken));
    BOOST_TEST((server_refusal(server, late, silence) == error_kind::none));
    // The first report of a restarted server may be lost, and after a long time the notice no
    // longer applies to new reports.
    own_server other;
    receive_leave(other, {"a", {}}, start);
    BOOST_TEST((receive(other, make_report("a", 2, 200), late) == report_verdict::taken));
    own_server later;
    receive_leave(later, {"a", {}}, start);
    const time_point much_later = start + milliseconds(10'000);
    BOOST_TEST((receive(later, make_report("a", 9, 200), much_later) == report_verdict::taken));
}

// Guards against a leave notice that is forgotten because the server has started again under its
// identity and none of its new reports has arrived yet: the late ones revived the server.
BOOST_AUTO_TEST_CASE(leave_of_a_later_incarnation_is_kept) {
    own_server server;
    receive(server, make_report("a", 9, 100));
    BOOST_TEST((receive_leave(server, {"a", 200}, start) == report_verdict::taken));
    BOOST_TEST((server_refusal(server, start, silence) == error_kind::draining));
    BOOST_TEST((receive(server, make_report("a", 1, 200)) == report_verdict::stale));
    BOOST_TEST((receive(server, make_report("a", 2, 200)) == report_verdict::stale));
    BOOST_TEST((server_refusal(server, start, silence) == error_kind::draining));
    BOOST_TEST((receive(server, make_report("a", 1, 300)) == report_verdict::taken));
    BOOST_TEST((server_refusal(server, start, silence) == error_kind::none));
}

// Guards against a late report that revives a server after a departure that a predecessor of this
// process has acknowledged, whether the report arrives before or after the news of the departure.
BOOST_AUTO_TEST_CASE(departure_acknowledged_by_a_predecessor_holds) {
    const server_departure departure{"a", 100};
    own_server informed;
    apply_departure(informed, departure, start);
    BOOST_TEST((receive(informed, make_report("a", 18, 100)) == report_verdict::stale));
    BOOST_TEST((receive(informed, make_report("a", 1, 101)) == report_verdict::taken));
    BOOST_TEST((server_refusal(informed, start, silence) == error_kind::none));
    own_server uninformed;
    receive(uninformed, make_report("a", 18, 100));
    BOOST_TEST((server_refusal(uninformed, start, silence) == error_kind::none));
    apply_departure(uninformed, departure, start);
    BOOST_TEST((server_refusal(uninformed, start, silence) == error_kind::draining));
    apply_departure(uninformed, {}, start);
    BOOST_TEST((receive(uninformed, make_report("b", 1, 200)) == report_verdict::taken));
    BOOST_TEST((server_refusal(uninformed, start, silence) == error_kind::none));
}

// Guards against a late report of an incarnation that departed before another one did.
BOOST_AUTO_TEST_CASE(all_departures_acknowledged_by_a_predecessor_hold) {
    own_server server;
    apply_departure(server, {"a", 100}, start);
    apply_departure(server, {"b", 200}, start);
    apply_departure(server, {"c", 300}, start);
    for (const auto& [name, started_ms] :
         std::vector<std::pair<std::string, std::int64_t>>{{"a", 100}, {"b", 200}, {"c", 300}}) {
        BOOST_TEST((receive(server, make_report(name, 9, started_ms)) == report_verdict::stale));
    }
    BOOST_TEST((receive(server, make_report("d", 1, 400)) == report_verdict::taken));
    BOOST_TEST((receive(server, make_report("b", 10, 200)) == report_verdict::stale));
    BOOST_TEST((server_refusal(server, start, silence) == error_kind::none));
}

// Guards against a report that was sent to a predecessor and makes a server available that departed
// there: it counts until the server is silent for too long.
BOOST_AUTO_TEST_CASE(a_forgotten_report_must_be_repeated) {
    own_server server;
    apply_departure(server, {"z", 50}, start);
    receive(server, make_report("a", 7, 100));
    forget_report(server);
    BOOST_TEST((server_refusal(server, start, silence) == error_kind::connect_failed));
    BOOST_TEST((receive(server, make_report("a", 8, 100)) == report_verdict::taken));
    BOOST_TEST((server_refusal(server, start, silence) == error_kind::none));
    BOOST_TEST((receive(server, make_report("z", 9, 50)) == report_verdict::stale));
}

// Guards against a report or leave notice of another writer whose start lies so far in the future
// that all reports of the real server count as stale.
BOOST_AUTO_TEST_CASE(start_in_the_future_is_implausible) {
    constexpr std::int64_t now_ms = 1'800'000'000'000;
    BOOST_TEST(is_plausible_start(0, now_ms));
    BOOST_TEST(is_plausible_start(now_ms, now_ms));
    BOOST_TEST(is_plausible_start(now_ms + 60'000, now_ms)); // the clocks differ
    BOOST_TEST(!is_plausible_start(now_ms + 86'400'000, now_ms));
}

// Guards against a departure that names no incarnation, so that late reports of it don't match.
BOOST_AUTO_TEST_CASE(departure_names_the_incarnation) {
    own_server server;
    BOOST_TEST((departure_of(server, {"a", 100}, 900) == server_departure{"a", 100}));
    BOOST_TEST((departure_of(server, {"a", {}}, 900) == server_departure{"a", 900}));
    receive(server, make_report("a", 1, 300));
    BOOST_TEST((departure_of(server, {"a", {}}, 900) == server_departure{"a", 300}));
    BOOST_TEST((departure_of(server, {"b", {}}, 900) == server_departure{"b", 900}));
}

BOOST_AUTO_TEST_SUITE_END()
