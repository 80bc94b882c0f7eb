#include "traffic/connection_pool.hpp"

#include <netinet/in.h>

#include <charconv>

#include <boost/asio/connect.hpp>

#include "base/dead_peer.hpp"

namespace caraway {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// A connection attempt that takes longer goes to a dead or cut off machine: the users' round trips
// are below 20 ms. Giving up early leaves time for another backend server.
constexpr milliseconds connect_timeout{250};
// Part of the idle time stated by the other side after which a connection is used no more, so that
// a request never meets a connection that the other side closes at the same moment.
constexpr double idle_time_share = 0.6;
// Answers to earlier requests that are dropped before the one that is waited for.
constexpr int max_foreign_answers = 2;
// Interim answers before the final one; a server that sends them without end is given up.
constexpr int max_interim_answers = 16;
// Bytes read at once beyond the header limit.
constexpr std::size_t read_ahead_bytes = 64U << 10U;

// Closes the socket of an attempt that takes too long. The handler may run after the attempt is
// over, so it holds a shared flag instead of the attempt's state.
class connect_limit {
public:
    connect_limit(call_control& control, tcp::socket& socket, duration limit)
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
    connect_limit(const connect_limit&) = delete;
    connect_limit& operator=(const connect_limit&) = delete;
    connect_limit(connect_limit&&) = delete;
    connect_limit& operator=(connect_limit&&) = delete;
    ~connect_limit() { *m_active = false; }

private:
    asio::steady_timer m_timer;
    std::shared_ptr<bool> m_active;
};

// Binds the local address and leaves the port to connect, so that the number of connections is not
// bounded by the ports of one address.
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

error_kind kind_of_read_failure(const error_code& failed, bool got_some) {
    if (failed == http::error::body_limit) {
        return error_kind::answer_too_large;
    }
    return got_some ? error_kind::answer_truncated : error_kind::connection_cut;
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
        std::unique_ptr<connection> taken;
        {
            const std::lock_guard lock(m_mutex);
            const auto found = m_idle.find(peer);
            if (found == m_idle.end() || found->second.empty()) {
                return nullptr;
            }
            // The most recently used one, so that surplus connections age and are closed.
            taken = std::move(found->second.back());
            found->second.pop_back();
            --m_idle_count;
        }
        if (now - taken->m_idle_since <= taken->m_max_idle_time &&
            !is_readable_or_closed(taken->m_socket)) {
            return taken;
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
    auto made =
        std::make_unique<connection>(m_io, peer, read_ahead_bytes + (64U << 10U), m_max_idle_time);
    error_code failed;
    {
        const call_control::outgoing_guard guard(control, made->m_socket);
        const connect_limit limit(control, made->m_socket, connect_timeout);
        if (m_source) {
            bind_source(made->m_socket, *m_source, failed);
        }
        if (!failed) {
            made->m_socket.async_connect(to_tcp(peer), yield[failed]);
        }
    }
    if (control.is_ended()) {
        fail(reason, control.end_reason(false), "the call ended while connecting");
        return nullptr;
    }
    if (failed || !made->m_socket.is_open()) {
        fail(reason, error_kind::connect_failed,
             "connect to " + format_endpoint(peer) + ": " + failed.message());
        return nullptr;
    }
    error_code ignored;
    made->m_socket.set_option(tcp::no_delay(true), ignored);
    detect_dead_peer(made->m_socket.native_handle());
    return made;
}

void connection_pool::give_back(std::unique_ptr<connection> used) {
    if (!used || !used->m_reusable || !used->m_socket.is_open() || used->m_buffer.size() != 0) {
        return;
    }
    used->m_fresh = false;
    used->m_idle_since = m_clock.now();
    const std::lock_guard lock(m_mutex);
    if (m_closed || m_idle_count >= m_max_idle) {
        return;
    }
    auto& idle = m_idle[used->m_peer];
    if (idle.size() >= m_max_idle_per_peer) {
        return;
    }
    idle.push_back(std::move(used));
    ++m_idle_count;
}

void connection_pool::close_old() {
    const time_point now = m_clock.now();
    std::vector<std::unique_ptr<connection>> closing; // closed outside the lock
    const std::lock_guard lock(m_mutex);
    for (auto peer = m_idle.begin(); peer != m_idle.end();) {
        auto& idle = peer->second;
        // Idle times grow towards the front, since the back is taken first.
        std::size_t old = 0;
        while (old < idle.size() && now - idle[old]->m_idle_since > idle[old]->m_max_idle_time) {
            closing.push_back(std::move(idle[old]));
            ++old;
        }
        idle.erase(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(old));
        m_idle_count -= old;
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

// Takes over how long the other side keeps an idle connection, if its answer says so.
void note_idle_time(connection& used, const http_response& answer) {
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
    const auto stated =
        std::chrono::duration_cast<milliseconds>(std::chrono::seconds(seconds) * idle_time_share);
    used.m_max_idle_time = std::min(used.m_max_idle_time, stated);
}

} // namespace

std::optional<http_response> exchange(call_control& control, connection& used,
                                      const http_request& request, const exchange_limits& limits,
                                      const answer_check& belongs, asio::yield_context yield,
                                      error& reason) {
    used.m_reusable = false;
    int foreign = 0;
    int interim = 0;
    const call_control::outgoing_guard guard(control, used.m_socket);
    error_code write_failed;
    http::serializer<true, http::string_body> serializer(request);
    http::async_write(used.m_socket, serializer, yield[write_failed]);
    if (control.is_ended()) {
        return fail(reason, control.end_reason(true), "the call ended while it was sent");
    }
    // A refusal may arrive although the peer didn't read the whole request, so the answer is read
    // even after a failed write.
    while (true) {
        http::response_parser<http::string_body> parser;
        parser.header_limit(limits.m_max_header_bytes);
        parser.body_limit(limits.m_max_body_bytes);
        if (request.method() == http::verb::head) {
            parser.skip(true);
        }
        error_code read_failed;
        http::async_read(used.m_socket, used.m_buffer, parser, yield[read_failed]);
        if (control.is_ended()) {
            return fail(reason, control.end_reason(true), "the call ended before its answer");
        }
        if (read_failed) {
            return fail(reason, kind_of_read_failure(read_failed, parser.got_some()),
                        "read the answer: " + read_failed.message());
        }
        if (parser.get().result_int() / 100 == 1) {
            if (++interim > max_interim_answers) {
                return fail(reason, error_kind::connection_cut,
                            "too many interim answers came before the final one");
            }
            continue;
        }
        if (belongs && !belongs(parser.get())) {
            if (++foreign > max_foreign_answers || !parser.keep_alive()) {
                return fail(reason, error_kind::connection_cut,
                            "the answer belongs to another request");
            }
            continue;
        }
        note_idle_time(used, parser.get());
        used.m_reusable =
            !write_failed && parser.keep_alive() && used.m_buffer.size() == 0 && !parser.upgrade();
        return parser.release();
    }
}

} // namespace caraway
