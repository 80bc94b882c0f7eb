#include "traffic/admin.hpp"

#include <algorithm>
#include <optional>
#include <vector>

#include <boost/asio/detached.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "http/message.hpp"
#include "traffic/sockets.hpp"

namespace caraway {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using beast::error_code;

// Enough for a scraper and a few operators; more would only load the control thread.
constexpr std::size_t max_connections = 16;
// Time within which a request must arrive and its answer must be received.
constexpr milliseconds connection_timeout{5'000};
// Time within which the handler must answer a request.
constexpr milliseconds answer_timeout{1'000};
constexpr std::uint32_t max_request_header_bytes = 8U << 10U;
constexpr std::uint64_t max_request_body_bytes = 64U << 10U;

// A connection of a scraper, an operator or the backend server.
struct admin_connection {
    explicit admin_connection(tcp::socket socket) : m_stream(std::move(socket)) {}
    beast::tcp_stream m_stream;
    bool m_request_read = false;
};

// The answer to a request, for which its connection waits.
struct pending_answer {
    explicit pending_answer(asio::io_context& io) : m_timer(io) {}
    std::optional<admin_answer> m_answer;
    asio::steady_timer m_timer; // cancelled when the answer is there
};

} // namespace

class admin_server::impl : public std::enable_shared_from_this<impl> {
public:
    impl(asio::io_context& io, async_admin_handler handler, methods allowed)
        : m_io(io), m_acceptor(io), m_handler(std::move(handler)), m_allowed(allowed) {}

    bool listen(const ip_endpoint& address, error& reason) {
        if (!listen_at(m_acceptor, address, reason)) {
            return false;
        }
        asio::spawn(
            m_io,
            [self = shared_from_this()](asio::yield_context yield) { self->accept_all(yield); },
            asio::detached);
        return true;
    }

    void stop() {
        m_stopped = true;
        error_code ignored;
        m_acceptor.close(ignored);
    }

private:
    void accept_all(asio::yield_context yield) {
        asio::steady_timer pause(m_io);
        while (!m_stopped) {
            error_code failed;
            tcp::socket socket(m_io);
            m_acceptor.async_accept(socket, yield[failed]);
            if (m_stopped) {
                return;
            }
            if (failed) {
                pause.expires_after(accept_retry_delay);
                pause.async_wait(yield[failed]);
                continue;
            }
            if (m_connections.size() >= max_connections && !close_silent_connection()) {
                continue; // closes the connection; a scraper retries
            }
            auto connection = std::make_shared<admin_connection>(std::move(socket));
            m_connections.push_back(connection);
            asio::spawn(
                m_io,
                [self = shared_from_this(), connection](asio::yield_context inner) {
                    self->serve(*connection, inner);
                    std::erase(self->m_connections, connection);
                },
                asio::detached);
        }
    }

    // Closes the oldest connection on which no complete request has arrived, so that connections
    // without one don't keep readiness probes and reports out. Returns false if there is none.
    bool close_silent_connection() {
        const auto silent =
            std::find_if(m_connections.begin(), m_connections.end(),
                         [](const auto& connection) { return !connection->m_request_read; });
        if (silent == m_connections.end()) {
            return false;
        }
        (*silent)->m_stream.close();
        m_connections.erase(silent);
        return true;
    }

    // Reads one request and writes its answer.
    void serve(admin_connection& connection, asio::yield_context yield) {
        beast::tcp_stream& stream = connection.m_stream;
        stream.expires_after(connection_timeout);
        beast::flat_buffer buffer(std::size_t{2} * max_request_header_bytes);
        http::request_parser<http::string_body> parser;
        parser.header_limit(max_request_header_bytes);
        parser.body_limit(max_request_body_bytes);
        error_code failed;
        http::async_read(stream, buffer, parser, yield[failed]);
        if (failed || m_stopped) {
            return;
        }
        connection.m_request_read = true;
        const auto target = parser.get().target();
        const bool is_get = parser.get().method() == http::verb::get;
        const bool method_allowed = is_get || (m_allowed == methods::get_and_post &&
                                               parser.get().method() == http::verb::post);
        const admin_answer answer =
            method_allowed
                ? ask_handler(
                      {is_get, path_of({target.data(), target.size()}), parser.get().body()}, yield)
                : admin_answer{405, "text/plain", "this method is not known here\n"};
        if (m_stopped) {
            return;
        }
        http_response message;
        message.version(11);
        message.result(answer.m_status);
        message.set(http::field::content_type, answer.m_content_type);
        message.body() = answer.m_body;
        message.keep_alive(false);
        message.prepare_payload();
        http::async_write(stream, message, yield[failed]);
        stream.socket().shutdown(tcp::socket::shutdown_both, failed);
    }

    // Passes the request to the handler and waits for its answer.
    admin_answer ask_handler(const admin_request& request, asio::yield_context yield) {
        auto pending = std::make_shared<pending_answer>(m_io);
        pending->m_timer.expires_after(answer_timeout);
        m_handler(request, [pending](admin_answer answer) {
            pending->m_answer = std::move(answer);
            pending->m_timer.cancel();
        });
        if (!pending->m_answer) {
            error_code ignored;
            pending->m_timer.async_wait(yield[ignored]);
        }
        return pending->m_answer.value_or(admin_answer{503, "text/plain", "no answer in time\n"});
    }

    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    async_admin_handler m_handler;
    methods m_allowed;
    std::vector<std::shared_ptr<admin_connection>> m_connections; // oldest first
    bool m_stopped = false;
};

std::unique_ptr<admin_server> admin_server::start(asio::io_context& io, const ip_endpoint& address,
                                                  admin_handler handler, error& reason,
                                                  methods allowed) {
    auto answer_at_once = [handler = std::move(handler)](const admin_request& request,
                                                         const admin_responder& respond) {
        respond(handler(request));
    };
    return start_async(io, address, std::move(answer_at_once), reason, allowed);
}

std::unique_ptr<admin_server> admin_server::start_async(asio::io_context& io,
                                                        const ip_endpoint& address,
                                                        async_admin_handler handler, error& reason,
                                                        methods allowed) {
    auto implementation = std::make_shared<impl>(io, std::move(handler), allowed);
    if (!implementation->listen(address, reason)) {
        return nullptr;
    }
    return std::unique_ptr<admin_server>(new admin_server(std::move(implementation)));
}

admin_server::admin_server(std::shared_ptr<impl> implementation)
    : m_impl(std::move(implementation)) {}

admin_server::~admin_server() {
    m_impl->stop();
}

} // namespace caraway
