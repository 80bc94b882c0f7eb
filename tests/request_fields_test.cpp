// Tests of requests with fields that are not HTTP: a real node on loopback and raw bytes.
#include <cctype>

#include "tests/traffic_fixture.hpp"

using namespace caraway;
using namespace caraway::traffic_tests;

namespace {

// Sends the bytes of a request and returns the answer.
http_answer answer_to(const test_node& node, const std::string& bytes) {
    caller connection(node);
    asio::write(connection.socket(), asio::buffer(bytes));
    return connection.receive();
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(request_fields, mesh_fixture)

// Guards against a request that is passed on although the name of a field has a byte that no name
// may have.
BOOST_AUTO_TEST_CASE(requests_with_invalid_field_names_run_nothing) {
    fake_server server;
    test_node& node = add_node("n1", "pour", server.port());
    start();
    const std::string start_line = "POST /once/echo HTTP/1.1\r\nHost: h\r\n";
    for (const unsigned value :
         {0U, 1U, 7U, 9U, 10U, 11U, 13U, 27U, 32U, 34U, 64U, 127U, 128U, 255U}) {
        const char byte = static_cast<char>(value);
        for (const std::string& line :
             {std::string("x") + byte + "odd: 5\r\n", std::string("x-odd") + byte + ": 5\r\n",
              std::string("Transfer-Encoding") + byte + ": chunked\r\n"}) {
            const http_answer answer =
                answer_to(node, start_line + line + "Content-Length: 5\r\n\r\nhello");
            BOOST_TEST(outcome_and_reason(answer) == "not-run/bad-request", "byte " << value);
        }
    }
    BOOST_TEST(server.runs() == 0);
}

// Guards against a line that begins with a blank and that the server reads as a field of its own,
// such as one that states another end of the body.
BOOST_AUTO_TEST_CASE(continued_lines_reach_the_server_as_one_value) {
    fake_server server;
    test_node& node = add_node("n1", "pour", server.port());
    start();
    for (const char* field : {"Content-Length: 3", "Transfer-Encoding: chunked", "x-odd: 1"}) {
        for (const char* blank : {" ", "\t"}) {
            const std::string text =
                std::string("POST /once/echo HTTP/1.1\r\nHost: h\r\nx-a: b\r\n") + blank + field +
                "\r\nContent-Length: 5\r\n\r\nhello";
            const http_answer answer = answer_to(node, text);
            BOOST_TEST(answer.result_int() == 200U, text);
            BOOST_TEST(answer.body() == "hello", text);
            BOOST_TEST(contains(server.last_headers(), std::string("x-a=b ") + field + ";"), text);
            BOOST_TEST(contains(server.last_headers(), "Content-Length=5;"), text);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
