// HTTP/1.1 client for the stand-ins, with a pool of persistent connections to one address.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>

#include "base/clock.hpp"
#include "standins/http_server.hpp"

namespace caraway::standins {

// Result of an exchange as the client observes it.
enum class exchange_result {
    answered,             // the answer was read completely
    connect_failed,       // nothing was sent
    closed_before_answer, // after sending began, before the first byte of the answer
    closed_within_answer, // after the first byte of the answer, before its last
    timed_out,            // the deadline passed, after the connection was established
};

// Request to send. The client adds the host header and the content length.
struct client_request {
    std::string m_method;
    std::string m_target;
    http_headers m_headers;
    std::string m_body;
};

// Answer as received. Valid only if the exchange ended with exchange_result::answered.
struct client_answer {
    unsigned m_status = 0;
    http_headers m_headers;
    std::string m_body;
};

// Pool of connections to one address. Each connection carries one request at a time, and a request
// is never sent twice. Must outlive its exchanges. Not safe to use from other threads.
class http_client {
public:
    http_client(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint endpoint);
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;
    ~http_client();

    // Sends the request over an idle or a new connection and reads the whole answer, at the latest
    // until the deadline. If cancel is given, it is set to a function that closes the connection,
    // and emptied when the exchange ends.
    exchange_result exchange(const client_request& request, client_answer& answer,
                             time_point deadline, boost::asio::yield_context yield,
                             std::function<void()>* cancel = nullptr);

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace caraway::standins
