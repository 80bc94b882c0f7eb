// Tests of answers of the store that are not HTTP, never end, or are followed by other bytes: the
// store's client on loopback and a stand-in that sends raw bytes.
#include <fmt/format.h>

#include "store/store_client.hpp"
#include "store/store_json.hpp"
#include "tests/raw_server.hpp"
#include "tests/support.hpp"

using namespace caraway;

namespace {

constexpr std::string_view ok_head = "HTTP/1.1 200 OK\r\nx-revision: 7\r\n";
constexpr milliseconds timeout{1'000};

// A store that sends this to every request, and repeats the second part until the connection ends.
struct raw_store {
    explicit raw_store(std::string answer, std::string endless = {}, bool closes = false)
        : m_answer(std::move(answer)), m_endless(std::move(endless)), m_closes(closes),
          m_server([this](raw_connection& connection) { serve(connection); }) {}

    void serve(raw_connection& connection) {
        ++m_connections;
        while (!connection.read_head().empty()) {
            ++m_requests;
            connection.send(m_answer);
            while (!m_endless.empty() && connection.send(m_endless)) {
                m_endless_bytes += m_endless.size();
            }
            if (m_closes) {
                return;
            }
        }
    }

    const std::string m_answer, m_endless;
    const bool m_closes;
    std::atomic<int> m_connections{0};
    std::atomic<int> m_requests{0};
    std::atomic<std::size_t> m_endless_bytes{0};
    raw_server m_server; // last, since its threads use the others
};

// Client of one store.
struct store_user {
    explicit store_user(const raw_store& store)
        : m_client(store_client::create(m_io, {{"127.0.0.1", store.m_server.port()}},
                                        native_store_codec(), timeout, nullptr)) {}

    store_reply get() {
        return run([this](const store_callback& done) { m_client->get("key", done); });
    }
    store_reply put() {
        return run([this](const store_callback& done) {
            m_client->put("key", "value", std::nullopt, {}, done);
        });
    }

private:
    template <typename Call>
    store_reply run(Call call) {
        std::optional<store_reply> result;
        call([&result](const store_reply& reply) { result = reply; });
        m_io.restart();
        while (!result && m_io.run_one() > 0) {
        }
        BOOST_REQUIRE(result);
        return *result;
    }

    boost::asio::io_context m_io;
    std::unique_ptr<store_client> m_client;
};

void check_rejected(const std::string& answer, bool closes = false) {
    const raw_store store(answer, {}, closes);
    store_user user(store);
    BOOST_TEST((user.get().m_kind == error_kind::store_unreachable), answer);
    BOOST_TEST((user.put().m_kind == error_kind::store_outcome_unknown), answer);
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_answers)

// Guards against a value that the store didn't state: the answer isn't HTTP, or was cut off.
BOOST_AUTO_TEST_CASE(invalid_answers_are_no_values) {
    for (const char* status : {"000", "099", "600", "999", "101"}) {
        check_rejected(fmt::format("HTTP/1.1 {} Odd\r\nContent-Length: 2\r\n\r\nok", status));
    }
    const std::string head(ok_head);
    for (const char* line : {"x odd: 1", "x\x01odd: 1", "x-odd : 1", " x-odd: 1", "\tx-odd: 1",
                             " Content-Length: 3", "\tTransfer-Encoding: chunked"}) {
        check_rejected(head + line + "\r\nContent-Length: 5\r\n\r\nhello");
        check_rejected(head + line + "\r\n\r\nhello", true);
    }
    check_rejected(head + "Content-Length: 9\r\n\r\nhello", true);
    check_rejected(head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", true);
    check_rejected(head +
                   "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"
                   "\r\n");
    check_rejected("\x01\x02\x03\x04\r\n\r\n");
}

// Guards against bytes without end that fill the memory until the call's time is over.
BOOST_AUTO_TEST_CASE(endless_answers_end_the_call) {
    // The limit of a body, and what the socket buffers hold.
    constexpr std::size_t max_bytes = 20U << 20U;
    const std::string chunked = std::string(ok_head) + "Transfer-Encoding: chunked\r\n\r\n";
    struct endless {
        std::string m_start, m_more;
    };
    const std::string filler(16'000, 'a');
    const std::vector<endless> cases{
        {std::string(ok_head), "x-more: " + filler.substr(0, 900) + "\r\n"},
        {std::string(ok_head) + "x-more: ", filler},
        {std::string(ok_head) + "\r\n", filler},
        {chunked, "3e80\r\n" + filler + "\r\n"},
        {chunked + "1;a=", filler},
        {chunked, std::string(16'000, '0')},
        {chunked + "0\r\n", "x-more: " + filler.substr(0, 900) + "\r\n"},
        {chunked + "0\r\nx-more: ", filler},
        {"", "HTTP/1.1 102 Processing\r\n\r\n"},
        {"", std::string(16'000, '\x01')}};
    for (const endless& one : cases) {
        const raw_store store(one.m_start, one.m_more);
        store_user user(store);
        const auto start = std::chrono::steady_clock::now();
        BOOST_TEST((user.get().m_kind == error_kind::store_unreachable));
        BOOST_TEST((user.put().m_kind == error_kind::store_outcome_unknown));
        const std::string name = one.m_start + " and " + one.m_more.substr(0, 20);
        BOOST_TEST(store.m_endless_bytes <= 2 * max_bytes, name);
        // Both calls end before their time is over.
        BOOST_TEST((std::chrono::steady_clock::now() - start < timeout), name);
    }
}

// Guards against an answer of several parts of which the wrong one is taken, and against bytes
// after an answer that are taken for the next one.
BOOST_AUTO_TEST_CASE(each_call_gets_its_own_answer) {
    const std::string answer = std::string(ok_head) + "Content-Length: 5\r\n\r\nhello";
    for (const char* before :
         {"", "HTTP/1.1 100 Continue\r\n\r\n",
          "HTTP/1.1 103 Hints\r\nx-a: b\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"}) {
        const raw_store store(before + answer);
        store_user user(store);
        for (int i = 0; i < 3; ++i) {
            BOOST_TEST(user.get().m_value == "hello", before);
        }
        BOOST_TEST(store.m_connections == 1, before);
    }
    // Each call needs a connection of its own, since bytes follow the answer.
    const raw_store store(answer + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother");
    store_user user(store);
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(user.get().m_value == "hello");
    }
    BOOST_TEST(store.m_connections == 3);
}

BOOST_AUTO_TEST_SUITE_END()
