// Tests of what follows from an invalid answer: real nodes on loopback in front of small
// misbehaving backend servers.
#include "tests/traffic_fixture.hpp"

using namespace caraway;
using namespace caraway::traffic_tests;

BOOST_FIXTURE_TEST_SUITE(invalid_answer, mesh_fixture)

// Guards against an answer with an invalid status that reaches a caller, and against a server with
// such answers whose circuit breaker, admission and version have no failure on record.
BOOST_AUTO_TEST_CASE(invalid_status_counts_as_failure) {
    fake_server server;
    test_node& backend_node = add_node("n1", "pour", server.port());
    start();
    const auto& backend = entry().m_snapshot.load()->m_services.at("pour").m_backends.front();
    std::uint32_t failures = 0;
    for (const char* status : {"000", "099", "600", "999"}) {
        const http_answer answer = caller(entry()).call(std::string("/once/status-") + status);
        BOOST_TEST(outcome_and_reason(answer) == "unknown/answer-invalid");
        BOOST_TEST(answer.result_int() == 502U);
        BOOST_TEST(backend.m_counters->m_failures == ++failures);
        BOOST_TEST(answer["x-caraway-failures"] != "0");
    }
    const evidence_report report = backend_node.m_server->take_evidence();
    BOOST_TEST(report.m_routes.at("/once").m_calls == 4U);
    BOOST_TEST(report.m_routes.at("/once").m_failures == 4U);
    BOOST_TEST(caller(entry()).call("/once/status-599").result_int() == 599U);
    BOOST_TEST(backend.m_counters->m_failures == 0U);
}

// Guards against an invalid answer of another node that reaches a caller, and against its node
// being called as before.
BOOST_AUTO_TEST_CASE(invalid_answer_of_a_node_counts_as_failure) {
    fake_server node_stand_in;
    add_node("n1", "pour", 1);
    start();
    replace_backend_node(node_stand_in.port());
    const auto& backend = entry().m_snapshot.load()->m_services.at("pour").m_backends.front();
    const http_answer answer = caller(entry()).call("/once/status-000");
    BOOST_TEST(outcome_and_reason(answer) == "unknown/answer-invalid");
    BOOST_TEST(answer.result_int() == 502U);
    BOOST_TEST(backend.m_counters->m_failures == 1U);
    BOOST_TEST(node_stand_in.runs() == 1);
}

// Guards against body bytes that follow an answer without a body and are taken for the answer to
// the next call on the connection.
BOOST_AUTO_TEST_CASE(late_body_spoils_no_other_call) {
    fake_server server;
    add_node("n1", "pour", server.port());
    start();
    caller connection(entry());
    for (int i = 0; i < 5; ++i) {
        BOOST_TEST(connection.call("/once/same-and-late-body").result_int() == 304U);
        BOOST_TEST(connection.call("/once/slower", "mine").body() == "mine");
    }
}

// Guards against a head within the limit that the next node rejects, because the node beside the
// server has added its own headers, and against a breaker that opens for it.
BOOST_AUTO_TEST_CASE(largest_head_passes_both_nodes) {
    fake_server server;
    test_node& backend_node = add_node("n1", "pour", server.port());
    constexpr std::uint32_t limit = 4U << 10U; // below the limit of the test's own parser
    for (test_node* node : {&backend_node, &entry()}) {
        node->m_settings.m_max_header_bytes = limit;
    }
    start();
    for (test_node* node : {&backend_node, &entry()}) {
        BOOST_TEST(caller(*node).call("/once/head-of-" + std::to_string(limit)).body() == "ok");
        const http_answer above = caller(*node).call("/once/head-of-" + std::to_string(limit + 1));
        BOOST_TEST(outcome_and_reason(above) == "unknown/answer-invalid");
    }
}

BOOST_AUTO_TEST_SUITE_END()
