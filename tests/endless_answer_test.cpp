// Tests of answers that go on without end in many calls at once: real nodes on loopback in front of
// a backend server, or of another node, that sends raw bytes.
#include "tests/raw_server.hpp"
#include "tests/traffic_fixture.hpp"

using namespace caraway;
using namespace caraway::traffic_tests;

namespace {

constexpr std::uint64_t held_limit = 4'000'000;
constexpr std::size_t answer_bytes = 900'000; // below the limit of a single answer
constexpr std::size_t calls_at_once = 24;
// Shares of the total that the answers of one server get, see limits_for_total.
constexpr std::size_t answers_that_fit = held_limit * 7 / 8 / answer_bytes;

// Sends the head and the first bytes of an answer with the framing that the path names, then
// nothing until the node closes the connection. Any other path gets an ordinary answer.
void serve_endless(raw_connection& connection) {
    for (std::string head = connection.read_head(); !head.empty(); head = connection.read_head()) {
        std::string text = ok_lines(head);
        const std::string body(answer_bytes, 'x');
        if (contains(head, "/none ")) {
            connection.send(text.append("\r\n").append(body));
        } else if (contains(head, "/length ")) {
            connection.send(text.append("Content-Length: 1000000\r\n\r\n").append(body));
        } else if (contains(head, "/chunked ")) {
            connection.send(text.append("Transfer-Encoding: chunked\r\n\r\n"));
            for (std::size_t sent = 0; sent < answer_bytes; sent += 1'000) {
                connection.send("3e8\r\n" + std::string(1'000, 'x') + "\r\n");
            }
        } else {
            connection.send(text.append("Content-Length: 2\r\n\r\nok"));
        }
    }
}

class endless_fixture : public mesh_fixture {
public:
    endless_fixture() : m_stand_in(serve_endless) {
        m_reported_slots = 2 * calls_at_once;
        add_node("n1", "pour", m_stand_in.port());
        for (const auto& node : m_nodes) {
            node->m_settings.m_max_answer_bytes = 1U << 20U;
            node->m_settings.m_max_held_bytes = held_limit;
        }
        start();
    }

    // Makes many calls at once whose answers don't end, and ordinary calls beside them.
    void check_calls(test_node& node) {
        for (const char* framing : {"none", "length", "chunked"}) {
            std::atomic<std::size_t> rejected{0};
            std::atomic<std::size_t> answered{0};
            std::vector<std::thread> callers;
            for (std::size_t i = 0; i < calls_at_once; ++i) {
                callers.emplace_back([&node, framing, &rejected, &answered] {
                    const auto got = caller(node).call(std::string("/once/") + framing);
                    rejected += outcome_and_reason(got) == "unknown/answer-too-large" ? 1U : 0U;
                    answered += got.result_int() / 100 == 2 ? 1U : 0U;
                });
            }
            for (int i = 0; i < 20; ++i) {
                BOOST_TEST(caller(node).call("/once/x").body() == "ok", framing);
                std::this_thread::sleep_for(milliseconds(20));
            }
            for (std::thread& one : callers) {
                one.join();
            }
            BOOST_TEST(answered == 0U, framing);
            BOOST_TEST(rejected >= calls_at_once - answers_that_fit, framing);
        }
    }

protected:
    raw_server m_stand_in;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(endless_answers, endless_fixture)

// Guards against a process that runs out of memory because its server sends large answers without
// end to many calls at once, and against ordinary calls that fail beside them.
BOOST_AUTO_TEST_CASE(endless_answers_of_a_server_are_rejected_when_too_many_bytes_are_held) {
    check_calls(*m_nodes.back());
}

// Guards against the same with answers of another node.
BOOST_AUTO_TEST_CASE(endless_answers_of_a_node_are_rejected_when_too_many_bytes_are_held) {
    replace_backend_node(m_stand_in.port());
    check_calls(entry());
}

BOOST_AUTO_TEST_SUITE_END()
