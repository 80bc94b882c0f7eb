#include "traffic/exchange.hpp"

#include <charconv>

#include <boost/beast/core/read_size.hpp>

#include "observe/log.hpp"

namespace caraway {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// Fraction of the idle timeout announced by the peer after which a connection is no longer reused,
// so that no request is sent just as the peer closes the connection.
constexpr double idle_timeout_fraction = 0.6;
// Number of answers to earlier requests that are dropped before the exchange fails.
constexpr int max_mismatched_answers = 2;
// Longest time without a byte from the peer within an answer that has begun. It is longer than the
// pauses of a server that still works (slow periods of 600 ms) and of a lost segment that is sent
// again. Before the answer begins, only the call's deadline applies.
constexpr milliseconds max_answer_pause{5'000};
// Bytes that count as progress when the budget compares answers. A server that sends single bytes
// makes no progress.
constexpr std::uint64_t min_progress_bytes = 4U << 10U;

constexpr std::string_view too_many_bytes = "too many bytes are held";

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

// Counts the bytes of an answer while it is read, and closes its connection if the budget rejects
// it. All functions run on the strand of the control.
class answer_account {
public:
    answer_account(call_control& control, connection& source, byte_budget& budget)
        : m_clock(control.clock()),
          m_share(std::make_shared<byte_share>(budget, format_endpoint(source.m_peer),
                                               make_rejection(control, source.m_socket))),
          m_charge(m_share), m_rejectable(*m_share, m_clock.now()) {}
    answer_account(const answer_account&) = delete;
    answer_account& operator=(const answer_account&) = delete;
    answer_account(answer_account&&) = delete;
    answer_account& operator=(answer_account&&) = delete;
    ~answer_account() { *m_reading = false; }

    // Sets the number of bytes held. Returns false if the answer is rejected.
    bool update(std::uint64_t held) { return m_charge.resize(held); }
    void record_received(std::size_t bytes) {
        const std::uint64_t before = std::exchange(m_received, m_received + bytes);
        if (m_received / min_progress_bytes != before / min_progress_bytes) {
            m_share->record_progress(m_clock.now());
        }
    }
    bool is_rejected() const { return m_share->is_rejected(); }
    // Passes the charge on with the complete answer.
    byte_charge release(const http_response& answer) {
        m_charge.resize(message_bytes(answer));
        return std::move(m_charge);
    }

private:
    // Returns the function with which the budget rejects the answer: it closes the socket, unless
    // the answer is no longer read.
    std::function<void()> make_rejection(call_control& control, tcp::socket& socket) {
        return [strand = control.strand(), &socket, reading = m_reading] {
            asio::post(strand, [&socket, reading] {
                if (*reading) {
                    error_code ignored;
                    socket.close(ignored);
                }
            });
        };
    }

    const clock_source& m_clock;
    const std::shared_ptr<bool> m_reading = std::make_shared<bool>(true);
    const std::shared_ptr<byte_share> m_share;
    byte_charge m_charge;
    const rejectable_scope m_rejectable;
    std::uint64_t m_received = 0;
};

// Reads one answer from a connection within the limits of its size, its pauses and the bytes held.
class answer_input {
public:
    answer_input(call_control& control, connection& source, byte_budget& budget)
        : m_control(control), m_source(source), m_budget(budget) {}

    // Reads until the answer is complete. Returns false with the reason if it is invalid, ended
    // early, was rejected or made no progress, or if the call ended. request_cut states that the
    // connection failed while the request was written. The system reports a reset only once, there
    // to the writer; the reader then sees an orderly end, which completes no answer. Nor does one
    // before the whole request has arrived at the peer: the rest of it meets a reset.
    bool read(answer_reader& reader, bool request_cut, asio::yield_context yield, error& reason);
    byte_charge release_charge(const http_response& answer) {
        return m_account ? m_account->release(answer) : byte_charge();
    }

private:
    bool prepare_read(const answer_reader& reader, std::size_t size, error& reason);
    void set_failure(const answer_reader& reader, const error_code& failed, error& reason) const;

    call_control& m_control;
    connection& m_source;
    byte_budget& m_budget;
    std::optional<stall_timer> m_stall;
    // Exists once the answer is so large that it may be rejected; an ordinary one costs nothing.
    std::optional<answer_account> m_account;
};

bool answer_input::read(answer_reader& reader, bool request_cut, asio::yield_context yield,
                        error& reason) {
    boost::beast::flat_buffer& buffer = m_source.m_buffer;
    reason = error{};
    while (true) {
        const std::string_view bytes(static_cast<const char*>(buffer.data().data()), buffer.size());
        buffer.consume(reader.parse(bytes, reason));
        if (reason.m_kind != error_kind::none || reader.is_done()) {
            return reader.is_done() && reason.m_kind == error_kind::none;
        }
        const std::size_t size = boost::beast::read_size(buffer, max_read_bytes);
        if (!prepare_read(reader, size, reason)) {
            return false;
        }
        error_code failed;
        const std::size_t received =
            m_source.m_socket.async_read_some(buffer.prepare(size), yield[failed]);
        buffer.commit(received);
        if (m_account) {
            m_account->record_received(received);
        }
        if (m_control.is_ended()) {
            fail(reason, m_control.end_reason(true), "the call ended before its answer");
            return false;
        }
        if (failed == asio::error::eof && !request_cut &&
            !has_unacknowledged_bytes(m_source.m_socket) && reader.end()) {
            return true;
        }
        if (failed) {
            set_failure(reader, failed, reason);
            return false;
        }
    }
}

// Starts to limit the pauses and the bytes of an answer that has begun. Returns false with the
// reason if no more of it may be read.
bool answer_input::prepare_read(const answer_reader& reader, std::size_t size, error& reason) {
    if (size == 0) {
        fail(reason, error_kind::answer_invalid, "a line is above the limit");
        return false;
    }
    if (!reader.has_started()) {
        return true;
    }
    if (!m_stall) {
        m_stall.emplace(m_control, m_source.m_socket);
    }
    m_stall->restart();
    const std::uint64_t held = reader.held_bytes() + m_source.m_buffer.capacity();
    if (!m_account && held >= min_rejected_bytes) {
        m_account.emplace(m_control, m_source, m_budget);
    }
    if (m_account && !m_account->update(held)) {
        fail(reason, error_kind::answer_too_large, too_many_bytes);
        return false;
    }
    return true;
}

void answer_input::set_failure(const answer_reader& reader, const error_code& failed,
                               error& reason) const {
    if (m_account && m_account->is_rejected()) {
        fail(reason, error_kind::answer_too_large, too_many_bytes);
        return;
    }
    const bool stalled = m_stall && m_stall->has_expired();
    fail(reason, reader.has_started() ? error_kind::answer_truncated : error_kind::connection_cut,
         "read the answer: " + (stalled ? std::string("no byte for too long") : failed.message()));
}

} // namespace

std::optional<received_answer> exchange(call_control& control, connection& peer_connection,
                                        const http_request& request, const exchange_limits& limits,
                                        byte_budget& budget, const answer_matcher& matches,
                                        asio::yield_context yield, error& reason) {
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
        answer_input input(control, peer_connection, budget);
        if (!input.read(reader, write_failed.failed(), yield, reason)) {
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
        byte_charge charge = input.release_charge(reader.answer());
        return received_answer{reader.release(), std::move(charge)};
    }
}

} // namespace caraway
