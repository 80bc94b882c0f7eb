// Persistent HTTP/1.1 connections to other nodes and to the own backend server, with one
// outstanding request on each; see exchange.hpp. A connection whose state is in doubt is closed and
// never reused.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

#include <boost/beast/core/flat_buffer.hpp>

#include "traffic/call_control.hpp"

namespace caraway {

// Connection to a node or to the own backend server, with its read buffer.
struct connection {
    connection(boost::asio::io_context& io, ip_endpoint peer, std::size_t buffer_bytes,
               milliseconds max_idle_time)
        : m_peer(std::move(peer)), m_socket(io), m_buffer(buffer_bytes),
          m_max_idle_time(max_idle_time) {}
    ip_endpoint m_peer;
    tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    time_point m_idle_since;
    milliseconds m_max_idle_time; // the peer may close the idle connection soon after this time
    bool m_first_request = true;  // no request was sent before the current one
    bool m_reusable = true; // the last answer was complete and the peer keeps the connection open
};

// Pool of idle connections by endpoint. max_idle_time limits their idle time; an idle timeout that
// the peer announces can only shorten it. source is the local IP address of new connections; if it
// is empty, the system chooses one. Safe to use from any thread.
class connection_pool {
public:
    connection_pool(boost::asio::io_context& io, const clock_source& clock,
                    std::size_t max_idle_per_peer, std::size_t max_idle, milliseconds max_idle_time,
                    std::string_view source = {});

    // Returns an idle connection that is still open, or opens a new one. Returns null with
    // connect_failed (no byte was sent) or with the error kind by which the call ended. Suspends
    // the coroutine while connecting.
    std::unique_ptr<connection> open(call_control& control, const ip_endpoint& peer,
                                     boost::asio::yield_context yield, error& reason);
    // Returns a connection to the pool for the next call if it is reusable and the pool has space;
    // closes it otherwise.
    void return_connection(std::unique_ptr<connection> peer_connection);
    // Closes connections that have been idle longer than their maximum idle time.
    void close_expired();
    // Closes all idle connections; connections returned later are closed at once.
    void close_all();

private:
    std::unique_ptr<connection> take_idle(const ip_endpoint& peer);

    boost::asio::io_context& m_io;
    const clock_source& m_clock;
    std::size_t m_max_idle_per_peer;
    std::size_t m_max_idle;
    milliseconds m_max_idle_time;
    std::optional<boost::asio::ip::address> m_source;
    std::mutex m_mutex; // not held during I/O
    bool m_closed = false;
    std::size_t m_idle_count = 0;
    std::map<ip_endpoint, std::vector<std::unique_ptr<connection>>> m_idle;
};

} // namespace caraway
