// Tests of several requests in flight on one connection of a caller (HTTP pipelining).
#include "tests/traffic_fixture.hpp"

using namespace caraway;
using namespace caraway::traffic_tests;

namespace {

// One entry node and one backend server behind it.
class pipeline_fixture : public mesh_fixture {
public:
    pipeline_fixture() {
        m_reported_slots = 8;
        add_node("n1", "pour", m_backend_server.port());
        start();
    }

    fake_server m_backend_server;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(pipeline, pipeline_fixture)

// Guards against running the requests of a connection one after another, so that the caller waits
// for the sum of their times, and against answers in another order than the requests.
BOOST_AUTO_TEST_CASE(idempotent_requests_run_side_by_side_and_are_answered_in_order) {
    caller connection(entry());
    const auto start_time = std::chrono::steady_clock::now();
    connection.send("/again/slow", "first"); // 400 ms
    connection.send("/again/slow", "second");
    connection.send("/again/echo", "third");
    for (const std::string expected : {"first", "second", "third"}) {
        const http_answer answer = connection.receive();
        BOOST_TEST(outcome_and_reason(answer) == "answered/none");
        BOOST_TEST(answer.body() == expected);
    }
    const auto elapsed = std::chrono::steady_clock::now() - start_time;
    BOOST_TEST((elapsed < milliseconds(700)));
}

// Guards against a request that waits for the first one to end because it arrived while that one
// was running, not together with it.
BOOST_AUTO_TEST_CASE(a_request_sent_later_runs_beside_the_first_one) {
    caller connection(entry());
    connection.send("/again/slow", "first");
    BOOST_TEST(wait_for_value([this] { return m_backend_server.slow_started(); }, 1) == 1U);
    connection.send("/again/slow", "second");
    BOOST_TEST(wait_for_value([this] { return m_backend_server.slow_started(); }, 2) == 2U);
    BOOST_TEST(connection.receive().body() == "first");
    BOOST_TEST(connection.receive().body() == "second");
    BOOST_TEST(connection.call("/once/echo", "third").body() == "third");
}

// Guards against reordering a request that may not be repeated and its neighbours: a caller whose
// connection ends couldn't determine which of them ran.
BOOST_AUTO_TEST_CASE(requests_that_may_not_be_repeated_wait_for_their_turn) {
    caller connection(entry());
    connection.send("/again/slow", "first");
    connection.send("/once/slow", "second");
    connection.send("/again/echo", "third");
    std::this_thread::sleep_for(milliseconds(200));
    BOOST_TEST(m_backend_server.runs() == 1);
    BOOST_TEST(connection.receive().body() == "first");
    std::this_thread::sleep_for(milliseconds(200));
    BOOST_TEST(m_backend_server.runs() == 2);
    BOOST_TEST(connection.receive().body() == "second");
    BOOST_TEST(connection.receive().body() == "third");
    BOOST_TEST(m_backend_server.runs() == 3);
}

// Guards against work that continues for a caller that has closed its connection.
BOOST_AUTO_TEST_CASE(closing_caller_cancels_all_its_requests) {
    {
        caller connection(entry());
        connection.send("/again/slow");
        connection.send("/again/slow");
        connection.send("/again/slow");
        BOOST_TEST(wait_for_value([this] { return m_backend_server.slow_started(); }, 3) == 3U);
    }
    BOOST_TEST(wait_for_value([this] { return m_backend_server.closed_while_slow(); }, 3) == 3U);
    BOOST_TEST(wait_for_value([this] { return entry().m_server->calls_in_progress(); }, 0) == 0U);
}

// Guards against running a request after the previous answer closed the connection: its caller
// assumes that it was not read and sends it again.
BOOST_AUTO_TEST_CASE(requests_behind_a_closing_answer_are_not_passed_on) {
    caller connection(entry());
    connection.send("/once/slow", "first", {{"connection", "close"}});
    connection.send("/once/echo", "second");
    const http_answer answer = connection.receive();
    BOOST_TEST(answer.body() == "first");
    BOOST_TEST(!answer.keep_alive());
    BOOST_CHECK_THROW(connection.receive(), boost::system::system_error);
    BOOST_TEST(m_backend_server.runs() == 1);
}

// Guards against a planned shutdown that cuts off requests accepted behind another one on the same
// connection.
BOOST_AUTO_TEST_CASE(draining_answers_what_was_read_before_it_closes) {
    caller connection(entry());
    connection.send("/again/slow", "first");
    connection.send("/again/slow", "second");
    BOOST_TEST(wait_for_value([this] { return m_backend_server.slow_started(); }, 2) == 2U);
    entry().m_server->drain();
    const http_answer first = connection.receive();
    BOOST_TEST(first.body() == "first");
    BOOST_TEST(first.keep_alive());
    const http_answer second = connection.receive();
    BOOST_TEST(second.body() == "second");
    BOOST_TEST(!second.keep_alive());
}

// Guards against a planned shutdown that ends calls by a time, except for those that were started
// before earlier requests of their connection had ended: they were cut off without an answer.
BOOST_AUTO_TEST_CASE(ending_calls_includes_those_behind_another_one) {
    const time_point start = m_clock.now();
    caller connection(entry());
    connection.send("/again/hang");
    connection.send("/again/hang");
    const auto runs = [this] { return static_cast<std::size_t>(m_backend_server.runs()); };
    BOOST_TEST(wait_for_value(runs, 2) == 2U);
    entry().m_server->end_calls_by(m_clock.now() + milliseconds(100), m_clock.now());
    for (int i = 0; i < 2; ++i) {
        BOOST_TEST(outcome_and_reason(connection.receive()) == "unknown/deadline-after-send");
    }
    // The routes' timeout is 1 s.
    BOOST_TEST((m_clock.now() - start < milliseconds(900)));
    // No timer of an ended call keeps the server's threads.
    const time_point stopped = m_clock.now();
    entry().m_server.reset();
    BOOST_TEST((m_clock.now() - stopped < milliseconds(400)));
}

// Guards against a malformed request that discards the answers to the requests before it.
BOOST_AUTO_TEST_CASE(bad_request_is_refused_in_its_turn) {
    caller connection(entry());
    connection.send("/again/slow", "first");
    const std::string malformed = "this is no request\r\n\r\n";
    asio::write(connection.socket(), asio::buffer(malformed));
    BOOST_TEST(connection.receive().body() == "first");
    const http_answer refusal = connection.receive();
    BOOST_TEST(refusal.result_int() == 400U);
    BOOST_TEST(!refusal.keep_alive());
}

// Guards against lost or mixed-up answers when more requests wait than the node reads ahead.
BOOST_AUTO_TEST_CASE(many_requests_are_all_answered_in_order) {
    constexpr int request_count = 60;
    caller connection(entry());
    for (int i = 0; i < request_count; ++i) {
        connection.send(i % 5 == 4 ? "/once/echo" : "/again/slower", std::to_string(i));
    }
    for (int i = 0; i < request_count; ++i) {
        BOOST_TEST(connection.receive().body() == std::to_string(i));
    }
    BOOST_TEST(m_backend_server.runs() == request_count);
}

BOOST_AUTO_TEST_SUITE_END()
