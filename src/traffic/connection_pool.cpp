#include "traffic/connection_pool.hpp"

#include <netinet/in.h>

#include <boost/asio/connect.hpp>

#include "base/dead_peer.hpp"

namespace caraway {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// Timeout of a connection attempt. Round trips in the networks of the users are below 20 ms, so a
// longer attempt goes to a dead or partitioned machine. Failing early leaves time for another
// backend server.
constexpr milliseconds connect_timeout{250};
// Buffer capacity in bytes beyond the header limit.
constexpr std::size_t read_ahead_bytes = 64U << 10U;

// Capacity in bytes of the read buffer that an idle connection keeps.
constexpr std::size_t idle_buffer_bytes = 8U << 10U;

// Frees memory of an empty buffer that has grown for a large answer, so that idle connections don't
// hold it.
void release_large_buffer(boost::beast::flat_buffer& buffer) {
    if (buffer.capacity() > idle_buffer_bytes) {
        buffer.clear();
        buffer.shrink_to_fit();
        buffer.reserve(idle_buffer_bytes);
    }
}

// Closes the socket if the connection attempt takes too long. The timer handler may run after the
// attempt has ended, so it holds a shared flag instead of a reference to this object.
class connect_timeout_guard {
public:
    connect_timeout_guard(call_control& control, tcp::socket& socket, duration limit)
        : m_timer(control.strand()), m_active(std::make_shared<bool>(true)) {
        m_timer.expires_after(limit);
        m_timer.async_wait(
            asio::bind_executor(control.strand(), [active = m_active, &socket](error_code failed) {
                if (!failed && *active) {
                    error_code ignored;
                    socket.close(ignored);
                }
            }));
    }
    connect_timeout_guard(const connect_timeout_guard&) = delete;
    connect_timeout_guard& operator=(const connect_timeout_guard&) = delete;
    connect_timeout_guard(connect_timeout_guard&&) = delete;
    connect_timeout_guard& operator=(connect_timeout_guard&&) = delete;
    ~connect_timeout_guard() { *m_active = false; }

private:
    asio::steady_timer m_timer;
    std::shared_ptr<bool> m_active;
};

// Binds the local address but leaves the choice of the port to connect(). Ports are then unique per
// destination only, so the number of connections is not limited by the ports of one address.
void bind_source(tcp::socket& socket, const asio::ip::address& source, error_code& failed) {
    using bind_without_port =
        asio::detail::socket_option::boolean<IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT>;
    const tcp::endpoint local(source, 0);
    socket.open(local.protocol(), failed);
    if (!failed) {
        error_code ignored;
        socket.set_option(bind_without_port(true), ignored);
        socket.bind(local, failed);
    }
}

} // namespace

connection_pool::connection_pool(asio::io_context& io, const clock_source& clock,
                                 std::size_t max_idle_per_peer, std::size_t max_idle,
                                 milliseconds max_idle_time, std::string_view source)
    : m_io(io), m_clock(clock), m_max_idle_per_peer(max_idle_per_peer), m_max_idle(max_idle),
      m_max_idle_time(max_idle_time) {
    if (!source.empty()) {
        m_source = asio::ip::make_address(source);
    }
}

std::unique_ptr<connection> connection_pool::take_idle(const ip_endpoint& peer) {
    const time_point now = m_clock.now();
    while (true) {
        std::unique_ptr<connection> idle_connection;
        {
            const std::lock_guard lock(m_mutex);
            const auto found = m_idle.find(peer);
            if (found == m_idle.end() || found->second.empty()) {
                return nullptr;
            }
            // Takes the most recently used connection, so that surplus connections expire and are
            // closed.
            idle_connection = std::move(found->second.back());
            found->second.pop_back();
            --m_idle_count;
        }
        if (now - idle_connection->m_idle_since <= idle_connection->m_max_idle_time &&
            !is_readable_or_closed(idle_connection->m_socket)) {
            return idle_connection;
        }
    }
}

std::unique_ptr<connection> connection_pool::open(call_control& control, const ip_endpoint& peer,
                                                  asio::yield_context yield, error& reason) {
    if (control.is_ended()) {
        fail(reason, control.end_reason(false), "the call ended before it was sent");
        return nullptr;
    }
    if (auto idle = take_idle(peer)) {
        return idle;
    }
    auto new_connection =
        std::make_unique<connection>(m_io, peer, read_ahead_bytes + (64U << 10U), m_max_idle_time);
    error_code failed;
    {
        const call_control::outgoing_guard guard(control, new_connection->m_socket);
        const connect_timeout_guard limit(control, new_connection->m_socket, connect_timeout);
        if (m_source) {
            bind_source(new_connection->m_socket, *m_source, failed);
        }
        if (!failed) {
            new_connection->m_socket.async_connect(to_tcp_endpoint(peer), yield[failed]);
        }
    }
    if (control.is_ended()) {
        fail(reason, control.end_reason(false), "the call ended while connecting");
        return nullptr;
    }
    if (failed || !new_connection->m_socket.is_open()) {
        fail(reason, error_kind::connect_failed,
             "connect to " + format_endpoint(peer) + ": " + failed.message());
        return nullptr;
    }
    error_code ignored;
    new_connection->m_socket.set_option(tcp::no_delay(true), ignored);
    detect_dead_peer(new_connection->m_socket.native_handle());
    return new_connection;
}

void connection_pool::return_connection(std::unique_ptr<connection> peer_connection) {
    if (!peer_connection || !peer_connection->m_reusable || !peer_connection->m_socket.is_open() ||
        peer_connection->m_buffer.size() != 0) {
        return;
    }
    release_large_buffer(peer_connection->m_buffer);
    peer_connection->m_first_request = false;
    peer_connection->m_idle_since = m_clock.now();
    const std::lock_guard lock(m_mutex);
    if (m_closed || m_idle_count >= m_max_idle) {
        return;
    }
    auto& idle = m_idle[peer_connection->m_peer];
    if (idle.size() >= m_max_idle_per_peer) {
        return;
    }
    idle.push_back(std::move(peer_connection));
    ++m_idle_count;
}

void connection_pool::close_expired() {
    const time_point now = m_clock.now();
    std::vector<std::unique_ptr<connection>> closing; // closed after the lock is released
    const std::lock_guard lock(m_mutex);
    for (auto peer = m_idle.begin(); peer != m_idle.end();) {
        auto& idle = peer->second;
        // Connections are taken from the back, so the front ones have been idle longest.
        std::size_t expired = 0;
        while (expired < idle.size() &&
               now - idle[expired]->m_idle_since > idle[expired]->m_max_idle_time) {
            closing.push_back(std::move(idle[expired]));
            ++expired;
        }
        idle.erase(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(expired));
        m_idle_count -= expired;
        peer = idle.empty() ? m_idle.erase(peer) : std::next(peer);
    }
}

void connection_pool::close_all() {
    decltype(m_idle) closing;
    const std::lock_guard lock(m_mutex);
    m_closed = true;
    m_idle.swap(closing);
    m_idle_count = 0;
}

} // namespace caraway
