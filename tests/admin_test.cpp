// Tests of the admin server: its pages, and requests that are slow, oversized or truncated or whose
// answer is not read.
#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "node/control.hpp"
#include "observe/log.hpp"
#include "tests/loopback.hpp"
#include "tests/support.hpp"
#include "traffic/admin.hpp"

using namespace caraway;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using std::chrono::seconds;

namespace {

// More than the socket buffers of a connection hold.
constexpr std::size_t big_body_bytes = 32'000'000;

std::string big_body() {
    std::string body;
    body.resize(big_body_bytes, 'x');
    return body;
}

// Admin server on a thread of its own.
class admin_fixture {
public:
    admin_fixture() : m_work(m_io.get_executor()) {
        error reason;
        m_server = admin_server::start_async(
            m_io, {"127.0.0.1", m_port},
            [this](const admin_request& request, const admin_responder& respond) {
                ++m_handled_requests;
                answer(request.m_path, respond);
            },
            reason);
        BOOST_REQUIRE_MESSAGE(m_server, reason.m_text);
        m_thread = std::thread([this] { m_io.run(); });
    }
    admin_fixture(const admin_fixture&) = delete;
    admin_fixture& operator=(const admin_fixture&) = delete;
    admin_fixture(admin_fixture&&) = delete;
    admin_fixture& operator=(admin_fixture&&) = delete;
    ~admin_fixture() {
        m_io.stop();
        m_thread.join();
    }

    tcp::socket send(const std::string& request) {
        tcp::socket socket(m_client);
        socket.connect({asio::ip::address_v4::loopback(), m_port});
        boost::system::error_code ignored; // the server may close while a large request is written
        asio::write(socket, asio::buffer(request), ignored);
        return socket;
    }
    std::string exchange(const std::string& request) {
        tcp::socket socket = send(request);
        return read_all(socket);
    }
    // Reads until the server closes the connection.
    static std::string read_all(tcp::socket& socket) {
        std::string bytes;
        boost::system::error_code failed;
        asio::read(socket, asio::dynamic_buffer(bytes), failed);
        return bytes;
    }
    void check_page_is_served() { BOOST_TEST(contains(exchange(s_request), "\r\n\r\n/page")); }

private:
    // Answers /later after a while and /never not at all.
    void answer(std::string_view path, const admin_responder& respond) {
        if (path == "/never") {
            return;
        }
        if (path == "/later") {
            m_delay.expires_after(milliseconds(200));
            m_delay.async_wait([respond](const boost::system::error_code&) {
                respond({200, "text/plain", "later"});
            });
            return;
        }
        respond(path == "/big" ? admin_answer{200, "text/plain", big_body()}
                               : admin_answer{503, "text/odd", std::string(path)});
    }

protected:
    static constexpr const char* s_request = "GET /page?x=1 HTTP/1.1\r\nHost: a\r\n\r\n";
    std::uint16_t m_port = free_port();
    std::atomic<int> m_handled_requests{0};
    asio::io_context m_client;
    asio::io_context m_io{1};
    asio::steady_timer m_delay{m_io};
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::unique_ptr<admin_server> m_server;
    std::thread m_thread;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(admin, admin_fixture)

// Guards against an answer that a scraper misreads because of a wrong status, type, path or
// framing.
BOOST_AUTO_TEST_CASE(answer_has_status_type_and_length_and_ends_the_connection) {
    const std::string answer = exchange(s_request);
    BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
    for (const char* part : {"Content-Type: text/odd\r\n", "Content-Length: 5\r\n",
                             "Connection: close\r\n", "\r\n\r\n/page"}) {
        BOOST_TEST(contains(answer, part), part << " in " << answer);
    }
    BOOST_TEST(exchange("POST /page HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 405 "));
    BOOST_TEST(m_handled_requests == 1);
}

// Guards against an answer that is sent before the handler has one, and against a request that
// waits for ever because the handler never answers.
BOOST_AUTO_TEST_CASE(answers_may_come_later_or_never) {
    BOOST_TEST(contains(exchange("GET /later HTTP/1.1\r\n\r\n"), "\r\n\r\nlater"));
    const auto start = std::chrono::steady_clock::now();
    BOOST_TEST(exchange("GET /never HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 503 "));
    BOOST_TEST((std::chrono::steady_clock::now() - start < seconds(2)));
    check_page_is_served();
}

// Guards against a page returned for an incomplete request, and against a server that stops
// answering after such a request.
BOOST_AUTO_TEST_CASE(oversized_malformed_and_truncated_requests_get_no_page) {
    const std::string large(20'000, 'x');
    for (const std::string& request :
         {"GET /page HTTP/1.1\r\nfiller: " + large + "\r\n\r\n", "GET /" + large + " HTTP/1.1\r\n",
          std::string("not HTTP\r\n\r\n")}) {
        BOOST_TEST(!contains(exchange(request), "/page"));
    }
    for (const char* part : {"", "GET /page HT", "GET /page HTTP/1.1\r\nHost: a\r\n"}) {
        tcp::socket truncated = send(part);
        truncated.shutdown(tcp::socket::shutdown_send);
        BOOST_TEST(read_all(truncated).empty());
    }
    BOOST_TEST(m_handled_requests == 0);
    check_page_is_served();
}

// Guards against stalled connections that lock operators out. At most 16 connections are open; a
// further one replaces the oldest one without a complete request, and each ends after 5 s.
BOOST_AUTO_TEST_CASE(stalled_connections_are_bounded_and_end) {
    const auto start = std::chrono::steady_clock::now();
    const auto elapsed = [start] { return std::chrono::steady_clock::now() - start; };
    std::vector<tcp::socket> stalled;
    stalled.push_back(send("GET /big HTTP/1.1\r\n\r\n"));
    for (int i = 0; i < 15; ++i) {
        stalled.push_back(send("GET /page HTTP/1.1\r\n"));
    }
    check_page_is_served();
    BOOST_TEST(read_all(stalled[1]).empty());
    BOOST_TEST((elapsed() < seconds(4)));
    for (std::size_t i = 2; i < stalled.size(); ++i) {
        BOOST_TEST(read_all(stalled[i]).empty());
    }
    BOOST_TEST((elapsed() >= seconds(4)));
    BOOST_TEST((elapsed() < seconds(7)));
    check_page_is_served();
    BOOST_TEST(read_all(stalled[0]).size() < big_body_bytes);
}

// Guards against closing connections whose requests are being handled: such a connection is not
// replaced, and a further one is closed at once.
BOOST_AUTO_TEST_CASE(connections_with_a_request_are_not_replaced) {
    std::vector<tcp::socket> waiting;
    waiting.reserve(16);
    for (int i = 0; i < 16; ++i) {
        waiting.push_back(send("GET /never HTTP/1.1\r\n\r\n"));
    }
    while (m_handled_requests < 16) {
        std::this_thread::sleep_for(milliseconds(5));
    }
    BOOST_TEST(exchange(s_request).empty());
    BOOST_TEST(m_handled_requests == 16);
    for (tcp::socket& socket : waiting) {
        BOOST_TEST(contains(read_all(socket), "no answer in time"));
    }
    check_page_is_served();
}

// Guards against a page made from the state of a node that has already been destroyed.
BOOST_AUTO_TEST_CASE(request_that_ends_after_the_server_gets_no_page) {
    tcp::socket incomplete_request = send("GET /page HTTP/1.1\r\n");
    check_page_is_served(); // the first connection was accepted before this one
    std::promise<void> destroyed;
    asio::post(m_io, [this, &destroyed] {
        m_server.reset();
        destroyed.set_value();
    });
    destroyed.get_future().wait();
    asio::write(incomplete_request, asio::buffer(std::string("\r\n")));
    BOOST_TEST(read_all(incomplete_request).empty());
    BOOST_TEST(m_handled_requests == 1);
}

// Guards against two nodes on one address, where one would answer for both.
BOOST_AUTO_TEST_CASE(address_in_use_is_invalid_settings) {
    error reason;
    const ip_endpoint taken{"127.0.0.1", m_port};
    BOOST_TEST(!admin_server::start(m_io, taken, {}, reason));
    BOOST_TEST((reason.m_kind == error_kind::invalid_settings));
    BOOST_TEST(contains(reason.m_text, format_endpoint(taken)));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a node that reports ready before its configuration is in force or while it leaves,
// that reports unhealthy while it drains, and against missing fields in the status page.
BOOST_AUTO_TEST_CASE(admin_pages_follow_the_state_of_the_node) {
    set_log_identity("test", "north", log_level::error);
    asio::io_context io;
    const system_clock_source clock;
    node_settings settings;
    settings.m_instance = "n1";
    settings.m_data_centre = "north";
    settings.m_traffic = {"127.0.0.1", free_port()};
    control state(io, settings, default_adapter(), clock, 1);
    error reason;
    state.m_traffic = traffic_server::start(state.m_settings, clock, state.m_snapshot,
                                            *state.m_metrics, {}, reason);
    BOOST_REQUIRE_MESSAGE(state.m_traffic, reason.m_text);
    const auto status_of = [&state](std::string_view path) {
        return answer_admin_request(state, path).m_status;
    };
    BOOST_TEST(status_of("/readyz") == 503);
    state.m_distribution.m_ready = true;
    BOOST_TEST(status_of("/readyz") == 200);
    state.m_draining = true;
    BOOST_TEST(status_of("/readyz") == 503);
    BOOST_TEST(status_of("/healthz") == 200);
    BOOST_TEST(status_of("/") == 404);

    state.m_metrics->set_config_version(7);
    const admin_answer metrics = answer_admin_request(state, "/metrics");
    BOOST_TEST(metrics.m_content_type == "text/plain; version=0.0.4");
    BOOST_TEST(contains(metrics.m_body, "caraway_config_version{"));

    state.m_distribution.m_applied = 7;
    member other;
    other.m_instance = "n2";
    other.m_state = member_state::suspect;
    state.m_members.m_members["n2"].m_member = other;
    move_record record;
    record.m_move_id = "m1";
    record.m_weight_permille = 40;
    state.m_facts.m_records["pour"] = record;
    state.m_facts.m_suspensions["m1"].m_move_id = "m1";
    const auto status = boost::json::parse(answer_admin_request(state, "/status").m_body);
    BOOST_TEST(status.at("instance").as_string() == "n1");
    BOOST_TEST(status.at("config_version").to_number<int>() == 7);
    BOOST_TEST(status.at("draining").as_bool());
    BOOST_TEST(status.at("members").at("n2").at("state").as_string() == "suspect");
    BOOST_TEST(status.at("moves").at("pour").at("weight_permille").to_number<int>() == 40);
    BOOST_TEST(status.at("moves").at("pour").at("suspended").as_bool());
    BOOST_TEST(!status.at("leases").at("caraway/lease/accepter").as_bool());
}
