// Admin server of a node: metrics, health and status over plain HTTP, on the control thread.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "base/error.hpp"
#include "config/settings.hpp"

namespace caraway {

// HTTP answer of the admin server.
struct admin_answer {
    std::uint16_t m_status = 200;
    std::string m_content_type;
    std::string m_body;
};

// A request of a metrics scraper, an operator or the backend server. The views are valid during the
// handler call.
struct admin_request {
    bool m_is_get = true; // true for GET, false for POST
    std::string_view m_path;
    std::string_view m_body;
};

// Called for each request on the thread that runs the io_context.
using admin_handler = std::function<admin_answer(const admin_request&)>;

// Sends the answer to a request. It may be called later, on the same thread, and once.
using admin_responder = std::function<void(admin_answer)>;

// Like admin_handler, for requests whose answer isn't known at once.
using async_admin_handler = std::function<void(const admin_request&, admin_responder)>;

// HTTP server with a small number of concurrent connections, each closed after one answer.
class admin_server {
public:
    enum class methods : std::uint8_t { get, get_and_post };
    // Binds the address and starts to accept connections. Returns null with invalid_settings if the
    // address cannot be bound. Requests with other methods are answered with status 405.
    static std::unique_ptr<admin_server> start(boost::asio::io_context& io,
                                               const ip_endpoint& address, admin_handler handler,
                                               error& reason, methods allowed = methods::get);
    // Like start(), with a handler that may answer later. A request without an answer after a
    // second is answered with status 503.
    static std::unique_ptr<admin_server> start_async(boost::asio::io_context& io,
                                                     const ip_endpoint& address,
                                                     async_admin_handler handler, error& reason,
                                                     methods allowed = methods::get);
    admin_server(const admin_server&) = delete;
    admin_server& operator=(const admin_server&) = delete;
    admin_server(admin_server&&) = delete;
    admin_server& operator=(admin_server&&) = delete;
    // Closes the listening socket. Open connections receive no answer any more; they end when the
    // peer closes them or their timeout expires.
    ~admin_server();

private:
    class impl;
    explicit admin_server(std::shared_ptr<impl> implementation);
    std::shared_ptr<impl> m_impl;
};

} // namespace caraway
