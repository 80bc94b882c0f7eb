// HTTP/1.1 server for the stand-ins. Runs one coroutine per connection, all on one thread.
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

// Header fields in the order in which they were received or are to be sent.
using http_headers = std::vector<std::pair<std::string, std::string>>;

// Returns the value of the first header with this name, ignoring case, or an empty view. The view
// is valid as long as the headers.
std::string_view find_header(const http_headers& headers, std::string_view name);

// Parses a text that consists of a decimal integer. Returns nothing for any other text.
std::optional<std::int64_t> to_number(std::string_view text);

// A received request. Its handler can wait with wait_until() and is woken if the caller closes its
// connection.
struct http_call {
    explicit http_call(boost::asio::io_context& context) : m_timer(context) {}

    std::string m_method;
    std::string m_path; // percent-decoded, without the query
    std::map<std::string, std::string> m_query;
    http_headers m_headers;
    std::string m_body;
    bool m_caller_closed = false; // the caller closed its connection
    boost::asio::steady_timer m_timer;
    std::function<void()> m_on_close; // called once when the caller closes its connection

    // Returns the value of a query parameter, or nothing if the request doesn't have it.
    std::optional<std::string> query(const std::string& name) const;
    // Suspends the coroutine until the deadline and returns true. Returns false early if the caller
    // closes its connection, which is detected only with http_server_options::m_watch_for_close.
    // Cancelling m_timer ends the wait early with true.
    bool wait_until(time_point deadline, boost::asio::yield_context yield);
};

// Answer to one request, including the faults to inject while it is sent.
struct http_answer {
    unsigned m_status = 200;
    std::string m_body;
    http_headers m_headers;
    bool m_reset_connection = false; // sends a TCP reset instead of the answer
    std::optional<std::size_t> m_truncate_body_after = {}; // closes after this many body bytes
    bool m_close_connection = false;                       // closes the connection after the answer
};

// Returns an answer with a JSON body and the matching content type.
http_answer json_answer(const boost::json::value& body, unsigned status = 200);

// Answers one request. Runs in the coroutine of the connection and may suspend it.
using http_handler = std::function<http_answer(http_call&, boost::asio::yield_context)>;

// Limits and simulated costs of a server.
struct http_server_options {
    std::size_t m_body_limit_bytes = 4 << 20;
    std::size_t m_connection_limit = 20'000; // new connections above it are reset
    milliseconds m_accept_delay{0};          // delay before each accept completes
    bool m_watch_for_close = false;          // detects that a caller has closed its connection
};

// Accepts connections and answers the requests of each connection in order. Must outlive the run of
// its io_context. Not safe to use from other threads.
class http_server {
public:
    // Binds the address and starts to accept connections. Returns null and an error of kind
    // invalid_settings if the address can't be bound.
    static std::unique_ptr<http_server> start(boost::asio::io_context& context,
                                              boost::asio::ip::tcp::endpoint endpoint,
                                              http_server_options options, http_handler handler,
                                              error& reason);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;
    ~http_server();

    // Closes the listening socket. Established connections stay open.
    void stop_accepting();
    // Closes every connection with a TCP reset.
    void reset_connections();
    // Opens the listening socket again if it is closed. Returns false if the address can't be
    // bound.
    bool resume_accepting();

    // Returns the number of open connections.
    std::size_t connections() const;
    // Returns the number of requests that were read and whose answers aren't completely written.
    std::size_t calls_in_progress() const;
    // Returns the number of connections accepted since the start, including those reset by the
    // limit.
    std::uint64_t accepted_connections() const;

private:
    struct impl;
    explicit http_server(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

// Starts a server. On an error, logs the reason and exits the process.
std::unique_ptr<http_server> start_server_or_exit(boost::asio::io_context& context,
                                                  boost::asio::ip::tcp::endpoint endpoint,
                                                  http_server_options options,
                                                  http_handler handler);

} // namespace caraway::standins
