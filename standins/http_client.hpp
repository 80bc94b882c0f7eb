// A pool of persistent HTTP/1.1 connections to one address, for the stand-ins that make calls.
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

// How an exchange ended, from the view of its caller.
enum class exchange_result {
    answered,             // a whole answer
    connect_failed,       // no byte was sent
    closed_before_answer, // the connection ended before the first byte of the answer
    closed_within_answer, // the connection ended within the answer
    timed_out,
};

struct client_request {
    std::string m_method;
    std::string m_target;
    http_headers m_headers;
    std::string m_body;
};

struct client_answer {
    unsigned m_status = 0;
    http_headers m_headers;
    std::string m_body;
};

// The pool. One request is outstanding per connection; a request is never sent twice.
class http_client {
public:
    http_client(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint endpoint);
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;
    ~http_client();

    // Sends the request and reads the whole answer, until a time. While the exchange runs, cancel
    // (if given) holds a function that closes its connection.
    exchange_result exchange(const client_request& request, client_answer& answer,
                             time_point deadline, boost::asio::yield_context yield,
                             std::function<void()>* cancel = nullptr);

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace caraway::standins
