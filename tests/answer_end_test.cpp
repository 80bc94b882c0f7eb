// Tests of answers that end while their request is still being sent, or in another way than a whole
// answer does: real nodes on loopback in front of a backend server, or of another node, that sends
// raw bytes.
#include <fmt/format.h>

#include "tests/raw_server.hpp"
#include "tests/traffic_fixture.hpp"

using namespace caraway;
using namespace caraway::traffic_tests;

namespace {

// An answer that begins as soon as the head of the request has arrived. Part of an upload that is
// larger than the socket buffers is unsent then.
struct early_answer {
    std::string m_framing; // none, length or chunked
    std::size_t m_body = 0;
    std::size_t m_sent = 0; // bytes of the body that are sent; all of them: with its end
    // reset, close (with the request unread), drain (closes after it has read what has arrived, so
    // that the connection ends in order before the rest meets a reset) or finish (all is read)
    std::string m_end;
    std::size_t m_read_first = 0; // bytes of the upload that are read before the answer

    // Whether the end of the answer is certain. The bytes of a whole one may still be lost when the
    // connection is reset.
    bool is_whole() const { return m_framing == "none" ? m_end == "finish" : m_sent == m_body; }
    bool must_arrive() const { return is_whole() && m_end == "finish"; }
    // Path that selects this answer.
    std::string path() const {
        return fmt::format("/once/{}/{}/{}/{}/{}", m_framing, m_body, m_sent, m_end, m_read_first);
    }
};

constexpr std::size_t upload_bytes = 12U << 20U;
constexpr std::size_t large_body = 600'000;
constexpr milliseconds pause_before_end{30};

// All answers that are tried, for small and large bodies that end at their head, their middle,
// their last byte and their end.
std::vector<early_answer> early_answers() {
    std::vector<early_answer> answers;
    for (const char* framing : {"none", "length", "chunked"}) {
        for (const char* end : {"reset", "close", "finish"}) {
            for (const std::size_t body : {std::size_t{40}, large_body}) {
                for (const std::size_t sent : {std::size_t{0}, body / 2, body - 1, body}) {
                    answers.push_back({framing, body, sent, end, 0});
                }
            }
        }
    }
    return answers;
}

early_answer answer_named_in(const std::string& head) {
    std::vector<std::string> parts;
    std::istringstream path(head.substr(0, head.find(" HTTP/")));
    for (std::string part; std::getline(path, part, '/');) {
        parts.push_back(part);
    }
    if (parts.size() < 7) {
        return {"length", 2, 2, "keep"};
    }
    return {parts[2], std::stoul(parts[3]), std::stoul(parts[4]), parts[5], std::stoul(parts[6])};
}

// Ends the connection as the answer says, or keeps it. unread is the part of the upload that was
// not read before the answer.
void end_connection(raw_connection& connection, const early_answer& answer, std::size_t unread) {
    if (answer.m_end == "keep" || answer.m_end == "finish") {
        connection.discard(unread);
        return;
    }
    if (answer.m_end == "drain") {
        // An orderly end completes the answer if all of the upload was read.
        if (connection.discard_arrived() >= unread) {
            connection.reset_on_close();
        }
        return;
    }
    // The answer arrives before the end does, while the request is being sent.
    std::this_thread::sleep_for(pause_before_end);
    if (answer.m_end == "reset") {
        connection.reset_on_close();
    }
}

// Sends the answer that the path names.
void serve_early(raw_connection& connection) {
    for (std::string head = connection.read_head(); !head.empty(); head = connection.read_head()) {
        const early_answer answer = answer_named_in(head);
        std::string text = ok_lines(head);
        std::string body(answer.m_sent, 'x');
        if (answer.m_framing == "length") {
            text += fmt::format("Content-Length: {}\r\n", answer.m_body);
        } else if (answer.m_framing == "chunked") {
            text += "Transfer-Encoding: chunked\r\n";
            body = answer.m_sent == 0 ? "" : fmt::format("{:x}\r\n{}\r\n", answer.m_sent, body);
            body += answer.m_sent == answer.m_body ? "0\r\n\r\n" : "";
        }
        const std::string length = field_of(head, "Content-Length");
        const std::size_t upload = length.empty() ? 0 : std::stoul(length);
        const std::size_t read_first = std::min(upload, answer.m_read_first);
        connection.discard(read_first);
        connection.send(text.append("\r\n").append(body));
        end_connection(connection, answer, upload - read_first);
        if (answer.m_end != "keep") {
            return;
        }
    }
}

class upload_fixture : public mesh_fixture {
public:
    upload_fixture() : m_stand_in(serve_early) {
        add_node("n1", "pour", m_stand_in.port());
        for (const auto& node : m_nodes) {
            node->m_settings.m_max_body_bytes = 2 * upload_bytes;
            node->m_settings.m_max_held_bytes = 1U << 30U;
        }
        start();
    }

    // Sends an upload and checks that its answer reaches the caller whole or not at all, and that
    // an ordinary call is answered after it.
    void check_upload(test_node& node, const early_answer& expected, std::size_t bytes) {
        const http_answer answer = caller(node).call(expected.path(), std::string(bytes, 'u'),
                                                     {{"x-request-number", "7"}});
        const bool arrived =
            answer.result_int() == 200U && answer.body() == std::string(expected.m_sent, 'x');
        const bool refused =
            answer.result_int() == 502U && std::string(answer["x-caraway-outcome"]) == "unknown";
        const std::string seen = fmt::format("{} with {} bytes sent: {}, {} bytes", expected.path(),
                                             bytes, answer.result_int(), answer.body().size());
        BOOST_TEST(((arrived && expected.is_whole()) || (refused && !expected.must_arrive())),
                   seen);
        if (expected.is_whole()) {
            // The connection was kept open; the stand-in closes it.
            std::this_thread::sleep_for(2 * pause_before_end);
        }
        const http_answer ordinary = caller(node).call("/once/x");
        BOOST_TEST(ordinary.result_int() == 200U, "after " << seen);
    }

protected:
    raw_server m_stand_in;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(answer_end, upload_fixture)

// Guards against an answer without a length that is taken as complete although its server reset the
// connection while the request was still being sent.
BOOST_AUTO_TEST_CASE(early_answers_of_a_server_reach_the_caller_whole_or_not_at_all) {
    for (const early_answer& answer : early_answers()) {
        check_upload(*m_nodes.back(), answer, upload_bytes);
        check_upload(*m_nodes.back(), answer, 100);
    }
}

// Guards against the same with an answer of another node.
BOOST_AUTO_TEST_CASE(early_answers_of_a_node_reach_the_caller_whole_or_not_at_all) {
    replace_backend_node(m_stand_in.port());
    for (const early_answer& answer : early_answers()) {
        check_upload(entry(), answer, upload_bytes);
    }
}

// Guards against the same through two nodes, with many uploads at once.
BOOST_AUTO_TEST_CASE(concurrent_uploads_get_whole_answers_or_none) {
    constexpr int rounds = 3;
    for (int round = 0; round < rounds; ++round) {
        std::vector<std::thread> callers;
        std::atomic<int> wrong{0};
        for (const std::size_t sent : {std::size_t{0}, std::size_t{20}, large_body / 2}) {
            for (const char* end : {"reset", "close"}) {
                callers.emplace_back([this, sent, end, &wrong] {
                    const early_answer answer{"none", large_body, sent, end, 0};
                    const auto got =
                        caller(entry()).call(answer.path(), std::string(upload_bytes, 'u'));
                    wrong += got.result_int() / 100 == 2 ? 1 : 0;
                });
            }
        }
        for (std::thread& one : callers) {
            one.join();
        }
        BOOST_TEST(wrong == 0);
        BOOST_TEST(caller(entry()).call("/once/x").result_int() == 200U);
    }
}

// Guards against the same at other sizes: uploads that fit into the buffers of the sockets wholly,
// in part or not at all, and servers that read some of them first. A server that closes after it
// has read all that has arrived ends the connection in order; the rest of the upload then meets a
// reset.
BOOST_AUTO_TEST_CASE(early_answers_without_a_length_at_all_sizes) {
    constexpr std::array<std::size_t, 6> uploads{40'000,    300'000,   1U << 20U,
                                                 3U << 20U, 6U << 20U, upload_bytes};
    std::vector<std::thread> callers;
    callers.reserve(uploads.size());
    std::atomic<int> wrong{0};
    std::atomic<int> tried{0};
    for (const std::size_t upload : uploads) {
        callers.emplace_back([this, upload, &wrong, &tried] {
            for (const char* end : {"reset", "close", "drain"}) {
                for (const std::size_t read_first : {std::size_t{0}, std::size_t{1}, upload / 2}) {
                    for (const std::size_t sent :
                         {std::size_t{0}, std::size_t{40}, large_body / 2}) {
                        const early_answer answer{"none", large_body, sent, end, read_first};
                        const auto got =
                            caller(entry()).call(answer.path(), std::string(upload, 'u'));
                        const bool complete = got.result_int() / 100 == 2;
                        wrong += complete ? 1 : 0;
                        ++tried;
                        BOOST_TEST_MESSAGE(answer.path()
                                           << " of " << upload << ": " << got.result_int());
                    }
                }
            }
        });
    }
    for (std::thread& one : callers) {
        one.join();
    }
    BOOST_TEST(wrong == 0, wrong << " of " << tried << " arrived as complete");
}

BOOST_AUTO_TEST_SUITE_END()
