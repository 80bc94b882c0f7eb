#include "standins/http_client.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace caraway::standins {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

// Further connections are closed after their exchange.
constexpr std::size_t max_idle_connections = 256;
constexpr std::size_t max_answer_bytes = 16 << 20;

// Connection to the server, with its read buffer.
struct connection {
    explicit connection(asio::io_context& context) : m_stream(context) {}
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
};

// Returns whether an idle connection is open and has no unread data. Requires a non-blocking
// socket.
bool is_reusable(connection& idle_connection) {
    char byte = 0;
    error_code ec;
    idle_connection.m_stream.socket().receive(asio::buffer(&byte, 1), MSG_PEEK, ec);
    return ec == asio::error::would_block;
}

} // namespace

// Address and idle connections of a client.
struct http_client::impl {
    impl(asio::io_context& context, asio::ip::tcp::endpoint endpoint)
        : m_context(context), m_endpoint(endpoint) {}

    asio::io_context& m_context;
    asio::ip::tcp::endpoint m_endpoint;
    std::vector<std::shared_ptr<connection>> m_idle;

    // Removes and returns the most recently used idle connection that is still open, or null. Drops
    // the closed ones that it finds.
    std::shared_ptr<connection> take_idle_connection() {
        while (!m_idle.empty()) {
            auto idle_connection = std::move(m_idle.back());
            m_idle.pop_back();
            if (is_reusable(*idle_connection)) {
                return idle_connection;
            }
        }
        return nullptr;
    }
};

http_client::http_client(asio::io_context& context, asio::ip::tcp::endpoint endpoint)
    : m_impl(std::make_unique<impl>(context, endpoint)) {}
http_client::~http_client() = default;

exchange_result http_client::exchange(const client_request& request, client_answer& answer,
                                      time_point deadline, asio::yield_context yield,
                                      std::function<void()>* cancel) {
    error_code ec;
    auto active_connection = m_impl->take_idle_connection();
    const bool is_new = active_connection == nullptr;
    if (is_new) {
        active_connection = std::make_shared<connection>(m_impl->m_context);
    }
    active_connection->m_stream.expires_at(deadline);
    if (cancel != nullptr) {
        *cancel = [active_connection] { active_connection->m_stream.close(); };
    }
    // Empties the cancel function on every return path.
    const std::shared_ptr<void> clear_cancel(nullptr, [cancel](void*) {
        if (cancel != nullptr) {
            *cancel = nullptr;
        }
    });
    if (is_new) {
        active_connection->m_stream.async_connect(m_impl->m_endpoint, yield[ec]);
        if (ec) {
            return exchange_result::connect_failed;
        }
        active_connection->m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
        active_connection->m_stream.socket().non_blocking(true, ec);
    }
    http::request<http::string_body> http_request;
    http_request.method_string(request.m_method);
    http_request.target(request.m_target);
    http_request.set(http::field::host, m_impl->m_endpoint.address().to_string());
    for (const auto& [key, value] : request.m_headers) {
        http_request.set(key, value);
    }
    http_request.body() = request.m_body;
    http_request.prepare_payload();
    http::async_write(active_connection->m_stream, http_request, yield[ec]);
    if (ec) {
        return ec == beast::error::timeout ? exchange_result::timed_out
                                           : exchange_result::closed_before_answer;
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_answer_bytes);
    http::async_read(active_connection->m_stream, active_connection->m_buffer, parser, yield[ec]);
    if (ec == beast::error::timeout) {
        return exchange_result::timed_out;
    }
    if (ec) {
        return parser.got_some() || active_connection->m_buffer.size() > 0
                   ? exchange_result::closed_within_answer
                   : exchange_result::closed_before_answer;
    }
    auto& response = parser.get();
    answer.m_status = response.result_int();
    answer.m_headers.clear();
    for (const auto& field : response) {
        answer.m_headers.emplace_back(field.name_string(), field.value());
    }
    answer.m_body = std::move(response.body());
    if (response.keep_alive() && m_impl->m_idle.size() < max_idle_connections) {
        active_connection->m_stream.expires_never();
        m_impl->m_idle.push_back(std::move(active_connection));
    }
    return exchange_result::answered;
}

} // namespace caraway::standins
