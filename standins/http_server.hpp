// A small HTTP/1.1 server for the stand-ins: one coroutine per connection on one thread.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/value.hpp>

#include "base/clock.hpp"
#include "base/error.hpp"

namespace caraway::standins {

using http_headers = std::vector<std::pair<std::string, std::string>>;

// Returns the value of a header, compared without case, or an empty view.
std::string_view find_header(const http_headers& headers, std::string_view name);

// Returns the decimal number in a text, or nothing if it isn't one.
std::optional<std::int64_t> to_number(std::string_view text);

// One request with the means to wait while its caller may go away.
struct http_call {
    explicit http_call(boost::asio::io_context& context) : m_timer(context) {}

    std::string m_method;
    std::string m_path; // decoded
    std::map<std::string, std::string> m_query;
    http_headers m_headers;
    std::string m_body;
    bool m_caller_closed = false; // the caller closed its connection
    boost::asio::steady_timer m_timer;
    std::function<void()> m_on_close; // called once when the caller closes its connection

    // Returns the value of a query parameter, or nothing if it is absent.
    std::optional<std::string> query(const std::string& name) const;
    // Waits; returns early with false when the caller closes its connection (only if the server
    // watches for that). Cancelling m_timer also ends the wait early, with true.
    bool wait_until(time_point deadline, boost::asio::yield_context yield);
};

// The answer to one call.
struct http_answer {
    unsigned m_status = 200;
    std::string m_body;
    http_headers m_headers;
    bool m_reset_connection = false; // reset the connection instead of answering
    std::optional<std::size_t> m_truncate_body_after = {}; // close after so many bytes of the body
    bool m_close_connection = false;                       // last answer of the connection
};

// An answer with a JSON body.
http_answer json_answer(const boost::json::value& body, unsigned status = 200);

using http_handler = std::function<http_answer(http_call&, boost::asio::yield_context)>;

// Limits and costs of a server.
struct http_server_options {
    std::size_t m_body_limit_bytes = 4 << 20;
    std::size_t m_connection_limit = 20'000; // above it new connections are reset
    milliseconds m_accept_delay{0};          // time that one new connection takes to accept
    bool m_watch_for_close = false;          // end waits of a call when its caller goes away
};

// The server. Must outlive its io_context's run.
class http_server {
public:
    // Binds and starts to accept. Fails with invalid_settings when the address can't be bound.
    static std::unique_ptr<http_server> start(boost::asio::io_context& context,
                                              boost::asio::ip::tcp::endpoint endpoint,
                                              http_server_options options, http_handler handler,
                                              error& reason);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;
    ~http_server();

    // Closes the listening socket; established connections go on.
    void stop_accepting();
    // Resets every connection.
    void reset_connections();
    // Opens the listening socket again. Returns false if the address can't be bound.
    bool resume_accepting();

    std::size_t connections() const;
    std::size_t calls_in_progress() const;      // requests read whose answers aren't written yet
    std::uint64_t accepted_connections() const; // connections since the start

private:
    struct impl;
    explicit http_server(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

// Starts a server or exits with the reason.
std::unique_ptr<http_server> start_server_or_exit(boost::asio::io_context& context,
                                                  boost::asio::ip::tcp::endpoint endpoint,
                                                  http_server_options options,
                                                  http_handler handler);

} // namespace caraway::standins
