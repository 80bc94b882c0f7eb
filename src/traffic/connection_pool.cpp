#include "traffic/connection_pool.hpp"

#include <netinet/in.h>

#include <charconv>

#include <boost/asio/connect.hpp>
#include <boost/beast/core/read_size.hpp>

#include "base/dead_peer.hpp"
#include "observe/log.hpp"

namespace caraway {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// Timeout of a connection attempt. Round trips in the networks of the users are below 20 ms, so a
// longer attempt goes to a dead or partitioned machine. Failing early leaves time for another
// backend server.
constexpr milliseconds connect_timeout{250};
// Fraction of the idle timeout announced by the peer after which a connection is no longer reused,
// so that no request is sent just as the peer closes the connection.
constexpr double idle_timeout_fraction = 0.6;
// Number of answers to earlier requests that are dropped before the exchange fails.
constexpr int max_mismatched_answers = 2;
// Maximum number of interim (1xx) answers before the final one, so that an exchange with a server
// that sends them endlessly fails.
constexpr int max_interim_answers = 16;
// Buffer capacity in bytes beyond the header limit.
constexpr std::size_t read_ahead_bytes = 64U << 10U;

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

// Longest time without a byte from the peer within an answer that has begun. It is longer than the
// pauses of a server that still works (slow periods of 600 ms) and of a lost segment that is sent
// again. Before the answer begins, only the call's deadline applies.
constexpr milliseconds max_answer_pause{5'000};
// Bytes read at once at most.
constexpr std::size_t max_read_bytes = 64U << 10U;

// Closes the socket if an answer makes no progress for max_answer_pause. The timer is armed at the
// first restart(), so that an answer that arrives in one piece costs nothing, and again when it
// fires early.
class stall_timer {
public:
    stall_timer(call_control& control, tcp::socket& socket)
        : m_control(control), m_socket(socket), m_timer(control.strand().get_inner_executor()) {}
    stall_timer(const stall_timer&) = delete;
    stall_timer& operator=(const stall_timer&) = delete;
    stall_timer(stall_timer&&) = delete;
    stall_timer& operator=(stall_timer&&) = delete;
    ~stall_timer() { *m_active = false; }

    void restart() {
        m_until = m_control.clock().now() + max_answer_pause;
        if (!m_armed) {
            arm();
        }
    }
    bool has_expired() const { return m_expired; }

private:
    void arm() {
        m_armed = true;
        m_timer.expires_after(m_until - m_control.clock().now());
        m_timer.async_wait(asio::bind_executor(m_control.strand(),
                                               [this, active = m_active](const error_code& failed) {
                                                   if (failed || !*active) {
                                                       return;
                                                   }
                                                   if (m_control.clock().now() < m_until) {
                                                       arm();
                                                       return;
                                                   }
                                                   m_expired = true;
                                                   error_code ignored;
                                                   m_socket.close(ignored);
                                               }));
    }

    call_control& m_control;
    tcp::socket& m_socket;
    asio::steady_timer m_timer;
    time_point m_until;
    bool m_armed = false;
    bool m_expired = false;
    // Shared with the handler, which may run after this object has ended.
    std::shared_ptr<bool> m_active = std::make_shared<bool>(true);
};

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

namespace {

// Limits the idle time of the connection to the timeout that the peer announces in its Keep-Alive
// header, if any.
void apply_keep_alive_timeout(connection& peer_connection, const http_response& answer) {
    constexpr std::string_view parameter = "timeout=";
    const auto found = answer.find(http::field::keep_alive);
    if (found == answer.end()) {
        return;
    }
    const std::string_view text(found->value().data(), found->value().size());
    const std::size_t at = text.find(parameter);
    unsigned seconds = 0;
    if (at == std::string_view::npos ||
        std::from_chars(text.data() + at + parameter.size(), text.data() + text.size(), seconds)
                .ec != std::errc()) {
        return;
    }
    const auto stated = std::chrono::duration_cast<milliseconds>(std::chrono::seconds(seconds) *
                                                                 idle_timeout_fraction);
    peer_connection.m_max_idle_time = std::min(peer_connection.m_max_idle_time, stated);
}

} // namespace

namespace {

// Reads from the connection until the answer is complete. Returns false with the reason if it is
// invalid, ended early or made no progress, or if the call ended. request_cut states that the
// connection failed while the request was written. The system reports a reset only once, there to
// the writer; the reader then sees an orderly end, which completes no answer.
bool read_answer(call_control& control, connection& peer_connection, answer_reader& reader,
                 bool request_cut, asio::yield_context yield, error& reason) {
    boost::beast::flat_buffer& buffer = peer_connection.m_buffer;
    std::optional<stall_timer> stall;
    reason = error{};
    while (true) {
        const std::string_view bytes(static_cast<const char*>(buffer.data().data()), buffer.size());
        buffer.consume(reader.parse(bytes, reason));
        if (reason.m_kind != error_kind::none || reader.is_done()) {
            return reader.is_done() && reason.m_kind == error_kind::none;
        }
        const std::size_t size = boost::beast::read_size(buffer, max_read_bytes);
        if (size == 0) {
            fail(reason, error_kind::answer_invalid, "a line is above the limit");
            return false;
        }
        if (reader.has_started()) {
            if (!stall) {
                stall.emplace(control, peer_connection.m_socket);
            }
            stall->restart();
        }
        error_code failed;
        buffer.commit(
            peer_connection.m_socket.async_read_some(buffer.prepare(size), yield[failed]));
        if (control.is_ended()) {
            fail(reason, control.end_reason(true), "the call ended before its answer");
            return false;
        }
        if (failed == asio::error::eof && !request_cut && reader.end()) {
            return true;
        }
        if (failed) {
            const bool stalled = stall && stall->has_expired();
            fail(reason,
                 reader.has_started() ? error_kind::answer_truncated : error_kind::connection_cut,
                 "read the answer: " +
                     (stalled ? std::string("no byte for too long") : failed.message()));
            return false;
        }
    }
}

} // namespace

std::optional<http_response> exchange(call_control& control, connection& peer_connection,
                                      const http_request& request, const exchange_limits& limits,
                                      const answer_matcher& matches, asio::yield_context yield,
                                      error& reason) {
    peer_connection.m_reusable = false;
    int mismatched = 0;
    int interim_answers = 0;
    const call_control::outgoing_guard guard(control, peer_connection.m_socket);
    error_code write_failed;
    http::serializer<true, http_request::body_type> serializer(request);
    http::async_write(peer_connection.m_socket, serializer, yield[write_failed]);
    if (control.is_ended()) {
        return fail(reason, control.end_reason(true), "the call ended while it was sent");
    }
    // A refusal may arrive although the peer did not read the whole request, so the answer is read
    // even after a failed write.
    while (true) {
        answer_reader reader(request.method(), limits);
        if (!read_answer(control, peer_connection, reader, write_failed.failed(), yield, reason)) {
            if (reason.m_kind == error_kind::answer_invalid) {
                log_event(
                    log_level::warning, "answer_invalid",
                    {{"peer", format_endpoint(peer_connection.m_peer)}, {"text", reason.m_text}});
            }
            return std::nullopt;
        }
        if (reader.answer().result_int() / 100 == 1) {
            if (++interim_answers > max_interim_answers) {
                return fail(reason, error_kind::connection_cut,
                            "too many interim answers came before the final one");
            }
            continue;
        }
        if (matches && !matches(reader.answer())) {
            if (++mismatched > max_mismatched_answers || !reader.keeps_connection()) {
                return fail(reason, error_kind::connection_cut,
                            "the answer belongs to another request");
            }
            continue;
        }
        apply_keep_alive_timeout(peer_connection, reader.answer());
        peer_connection.m_reusable =
            !write_failed && reader.keeps_connection() && peer_connection.m_buffer.size() == 0;
        return reader.release();
    }
}

} // namespace caraway
