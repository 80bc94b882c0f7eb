#include "standins/http_server.hpp"

#include <charconv>
#include <set>

#include <boost/asio/detached.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/serialize.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/src.hpp> // compiles Boost.URL into this file, so Debian's library is not needed

#include "standins/common.hpp"

namespace caraway::standins {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// A client connection that is being served.
struct session {
    explicit session(tcp::socket socket) : m_socket(std::move(socket)) {}
    tcp::socket m_socket;
};

// Closes a socket with a TCP reset instead of an orderly shutdown.
void reset_socket(tcp::socket& socket) {
    error_code ec;
    socket.set_option(asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
}

// Waits in the background until the caller sends data or closes its connection. After a close,
// marks the call, ends its wait and runs its m_on_close. Only peeks at the data, so a pipelined
// request stays in the socket.
void watch_for_close(const std::shared_ptr<session>& active_session,
                     const std::shared_ptr<http_call>& call) {
    active_session->m_socket.async_wait(
        tcp::socket::wait_read, [active_session, call](error_code ec) {
            if (ec) {
                return;
            }
            char byte = 0;
            const std::size_t received_bytes =
                active_session->m_socket.receive(asio::buffer(&byte, 1), MSG_PEEK, ec);
            if (ec || received_bytes == 0) {
                call->m_caller_closed = true;
                call->m_timer.cancel();
                if (call->m_on_close) {
                    call->m_on_close();
                }
            }
        });
}

// Fills the call from the parsed request and moves the body out of it. Returns false if the request
// target is malformed.
bool fill_call(http_call& call, http::request<http::string_body>& request) {
    const auto target =
        boost::urls::parse_origin_form({request.target().data(), request.target().size()});
    if (!target) {
        return false;
    }
    call.m_method = request.method_string();
    call.m_path = target->path();
    for (const auto param : target->params()) {
        call.m_query[param.key] = param.value;
    }
    for (const auto& field : request) {
        call.m_headers.emplace_back(field.name_string(), field.value());
    }
    call.m_body = std::move(request.body());
    return true;
}

} // namespace

std::string_view find_header(const http_headers& headers, std::string_view name) {
    for (const auto& [key, value] : headers) {
        if (boost::beast::iequals(key, name)) {
            return value;
        }
    }
    return {};
}

std::optional<std::int64_t> to_number(std::string_view text) {
    std::int64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::optional<std::string> http_call::query(const std::string& name) const {
    const auto found = m_query.find(name);
    return found == m_query.end() ? std::nullopt : std::optional(found->second);
}

bool http_call::wait_until(time_point deadline, asio::yield_context yield) {
    if (m_caller_closed) {
        return false;
    }
    error_code ec;
    m_timer.expires_at(deadline);
    m_timer.async_wait(yield[ec]);
    return !m_caller_closed;
}

http_answer json_answer(const boost::json::value& body, unsigned status) {
    http_answer answer;
    answer.m_status = status;
    answer.m_body = boost::json::serialize(body);
    answer.m_headers.emplace_back("content-type", "application/json");
    return answer;
}

// Listening socket, sessions and counters of a server.
struct http_server::impl {
    impl(asio::io_context& context, tcp::endpoint endpoint, http_server_options options,
         http_handler handler)
        : m_context(context), m_endpoint(endpoint), m_options(options),
          m_handler(std::move(handler)), m_acceptor(context) {}

    asio::io_context& m_context;
    tcp::endpoint m_endpoint;
    http_server_options m_options;
    http_handler m_handler;
    tcp::acceptor m_acceptor;
    // Incremented whenever the listening socket is opened or closed, which ends the old accept
    // loop.
    std::uint64_t m_accept_generation = 0;
    std::set<std::shared_ptr<session>> m_sessions;
    std::uint64_t m_accepted_connections = 0;
    std::size_t m_calls_in_progress = 0;

    // Binds the address, listens and starts an accept loop. Closes the socket again on an error.
    error_code start_listening() {
        error_code ec;
        m_acceptor.open(m_endpoint.protocol(), ec);
        if (!ec) {
            m_acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
        }
        if (!ec) {
            m_acceptor.bind(m_endpoint, ec);
        }
        if (!ec) {
            m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
        }
        if (ec) {
            error_code ignored;
            m_acceptor.close(ignored);
            return ec;
        }
        asio::spawn(
            m_context, [this](asio::yield_context yield) { accept_loop(yield); }, asio::detached);
        return {};
    }

    // Accepts connections, one after the other, until the listening socket is closed or reopened.
    void accept_loop(asio::yield_context yield) {
        const std::uint64_t accept_generation = ++m_accept_generation;
        asio::steady_timer timer(m_context);
        while (accept_generation == m_accept_generation && m_acceptor.is_open()) {
            error_code ec;
            tcp::socket socket(m_context);
            m_acceptor.async_accept(socket, yield[ec]);
            if (accept_generation != m_accept_generation || !m_acceptor.is_open()) {
                return;
            }
            if (ec) {
                // Probably out of file descriptors: retries later.
                timer.expires_after(milliseconds(10));
                timer.async_wait(yield[ec]);
                continue;
            }
            if (m_options.m_accept_delay.count() > 0) {
                timer.expires_after(m_options.m_accept_delay);
                timer.async_wait(yield[ec]);
            }
            ++m_accepted_connections;
            if (m_sessions.size() >= m_options.m_connection_limit) {
                reset_socket(socket);
                continue;
            }
            socket.set_option(tcp::no_delay(true), ec);
            socket.non_blocking(true, ec);
            auto active_session = std::make_shared<session>(std::move(socket));
            m_sessions.insert(active_session);
            asio::spawn(
                m_context,
                [this, active_session](asio::yield_context inner_yield) {
                    serve_session(active_session, inner_yield);
                    error_code ignored;
                    active_session->m_socket.close(ignored);
                    m_sessions.erase(active_session);
                },
                asio::detached);
        }
    }

    // Reads and answers the requests of one connection in order until the connection ends.
    void serve_session(const std::shared_ptr<session>& active_session, asio::yield_context yield) {
        boost::beast::flat_buffer buffer;
        error_code ec;
        for (;;) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(m_options.m_body_limit_bytes);
            http::async_read(active_session->m_socket, buffer, parser, yield[ec]);
            if (ec && ec != http::error::body_limit) {
                return;
            }
            http_answer answer;
            auto call = std::make_shared<http_call>(m_context);
            auto& request = parser.get();
            ++m_calls_in_progress;
            if (ec) {
                answer.m_status = 413;
                answer.m_close_connection = true;
            } else if (!fill_call(*call, request)) {
                answer.m_status = 400;
            } else {
                if (m_options.m_watch_for_close) {
                    watch_for_close(active_session, call);
                }
                answer = m_handler(*call, yield);
                if (m_options.m_watch_for_close) {
                    active_session->m_socket.cancel(ec);
                }
            }
            if (answer.m_reset_connection || call->m_caller_closed) {
                --m_calls_in_progress;
                reset_socket(active_session->m_socket);
                return;
            }
            const bool keep_alive = request.keep_alive() && !answer.m_close_connection;
            const bool written = write_answer(*active_session, answer, request.version(),
                                              keep_alive, call->m_method == "HEAD", yield);
            --m_calls_in_progress;
            if (!written || !keep_alive) {
                return;
            }
        }
    }

    // Writes the answer, or only its beginning if it is to be truncated. Returns false if the
    // connection must be closed.
    bool write_answer(session& active_session, http_answer& answer, unsigned version,
                      bool keep_alive, bool is_head_request, asio::yield_context yield) {
        error_code ec;
        http::response<http::string_body> response(static_cast<http::status>(answer.m_status),
                                                   version);
        for (const auto& [key, value] : answer.m_headers) {
            response.set(key, value);
        }
        response.keep_alive(keep_alive);
        response.content_length(answer.m_body.size());
        if (answer.m_truncate_body_after && !is_head_request) {
            http::response_serializer<http::string_body> serializer(response);
            http::async_write_header(active_session.m_socket, serializer, yield[ec]);
            const std::size_t bytes = std::min(*answer.m_truncate_body_after, answer.m_body.size());
            asio::async_write(active_session.m_socket, asio::buffer(answer.m_body.data(), bytes),
                              yield[ec]);
            return false;
        }
        if (is_head_request) {
            http::response_serializer<http::string_body> serializer(response);
            http::async_write_header(active_session.m_socket, serializer, yield[ec]);
            return !ec;
        }
        if (answer.m_status != 204) {
            response.body() = std::move(answer.m_body);
        } else {
            response.erase(http::field::content_length);
        }
        http::async_write(active_session.m_socket, response, yield[ec]);
        return !ec;
    }
};

http_server::http_server(std::unique_ptr<impl> implementation)
    : m_impl(std::move(implementation)) {}
http_server::~http_server() = default;

std::unique_ptr<http_server> http_server::start(asio::io_context& context, tcp::endpoint endpoint,
                                                http_server_options options, http_handler handler,
                                                error& reason) {
    auto implementation = std::make_unique<impl>(context, endpoint, options, std::move(handler));
    if (const error_code ec = implementation->start_listening()) {
        fail(reason, error_kind::invalid_settings, "can't listen on the address: " + ec.message());
        return nullptr;
    }
    return std::unique_ptr<http_server>(new http_server(std::move(implementation)));
}

void http_server::stop_accepting() {
    error_code ec;
    ++m_impl->m_accept_generation;
    m_impl->m_acceptor.close(ec);
}

void http_server::reset_connections() {
    for (const auto& active_session : m_impl->m_sessions) {
        reset_socket(active_session->m_socket);
    }
}

bool http_server::resume_accepting() {
    return m_impl->m_acceptor.is_open() || !m_impl->start_listening();
}

std::size_t http_server::connections() const {
    return m_impl->m_sessions.size();
}

std::size_t http_server::calls_in_progress() const {
    return m_impl->m_calls_in_progress;
}

std::uint64_t http_server::accepted_connections() const {
    return m_impl->m_accepted_connections;
}

std::unique_ptr<http_server> start_server_or_exit(asio::io_context& context, tcp::endpoint endpoint,
                                                  http_server_options options,
                                                  http_handler handler) {
    error reason;
    auto server = http_server::start(context, endpoint, options, std::move(handler), reason);
    if (!server) {
        exit_with_error(reason);
    }
    return server;
}

} // namespace caraway::standins
