// Persistent HTTP/1.1 connections to nodes and to the own backend server, with one request
// outstanding on each. A connection with any doubt about its state is closed, never used again.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

#include <boost/beast/core/flat_buffer.hpp>

#include "traffic/call_control.hpp"
#include "traffic/http_message.hpp"

namespace caraway {

struct connection {
    connection(boost::asio::io_context& io, ip_endpoint peer, std::size_t buffer_bytes,
               milliseconds max_idle_time)
        : m_peer(std::move(peer)), m_socket(io), m_buffer(buffer_bytes),
          m_max_idle_time(max_idle_time) {}
    ip_endpoint m_peer;
    tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    time_point m_idle_since;
    milliseconds m_max_idle_time; // the other side may close it soon after
    bool m_first_request = true;  // carried no request before the present one
    bool m_reusable = true;       // the last answer was whole and the peer keeps the connection
};

// Bounds of one exchange over a connection.
struct exchange_limits {
    std::uint32_t m_max_header_bytes = 16U << 10U;
    std::uint64_t m_max_body_bytes = 1U << 20U;
};

// Idle connections by endpoint. max_idle_time counts for those whose other side states none. source
// is the local IP address of new connections; empty: the system chooses.
class connection_pool {
public:
    connection_pool(boost::asio::io_context& io, const clock_source& clock,
                    std::size_t max_idle_per_peer, std::size_t max_idle, milliseconds max_idle_time,
                    std::string_view source = {});

    // An idle connection that is still open, or a new one. Fails with connect_failed (no byte was
    // sent), or with the call's end.
    std::unique_ptr<connection> open(call_control& control, const ip_endpoint& peer,
                                     boost::asio::yield_context yield, error& reason);
    // Keeps the connection for the next call if it is reusable, else closes it.
    void return_connection(std::unique_ptr<connection> peer_connection);
    // Closes connections that idled too long.
    void close_expired();
    void close_all();

private:
    std::unique_ptr<connection> take_idle(const ip_endpoint& peer);

    boost::asio::io_context& m_io;
    const clock_source& m_clock;
    std::size_t m_max_idle_per_peer;
    std::size_t m_max_idle;
    milliseconds m_max_idle_time;
    std::optional<boost::asio::ip::address> m_source;
    std::mutex m_mutex; // never held over input or output
    bool m_closed = false;
    std::size_t m_idle_count = 0;
    std::map<ip_endpoint, std::vector<std::unique_ptr<connection>>> m_idle;
};

// True for the answer to the request; an answer to an earlier one may arrive late before it.
using answer_matcher = std::function<bool(const http_response&)>;

// Sends the request and reads the whole answer; those that belong to another request are dropped.
// An answer without a length ends with its connection, unless that is reset. Fails with
// connection_cut when no byte of an answer came, answer_truncated when it ended early,
// answer_too_large, or the call's end; the request may have been received in all these cases.
std::optional<http_response> exchange(call_control& control, connection& peer_connection,
                                      const http_request& request, const exchange_limits& limits,
                                      const answer_matcher& matches,
                                      boost::asio::yield_context yield, error& reason);

} // namespace caraway
