#include "traffic/traffic.hpp"

#include <algorithm>
#include <array>
#include <condition_variable>
#include <random>
#include <thread>

#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/write.hpp>

#include "observe/log.hpp"
#include "traffic/backend_side.hpp"
#include "traffic/entry_side.hpp"

namespace caraway {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// An idle connection is closed after this time; nodes close theirs after 30 s, see connection_pool.
constexpr milliseconds idle_timeout{75'000};
// A request has to arrive whole within this time once it began. Slower callers would hold
// connections that others need.
constexpr milliseconds read_timeout{10'000};
// The caller has to take its answer within this time.
constexpr milliseconds write_timeout{10'000};
// After a refusal the rest of the request is read and dropped for this long. Closing at once would
// reset the connection, and the refusal could be lost.
constexpr milliseconds linger_time{500};
// Connections above the limit that are told so at a time; more are closed without an answer.
constexpr std::size_t max_refusing_connections = 64;
// Old idle connections are closed, the load is published and probes are due at this interval.
constexpr milliseconds upkeep_interval{1'000};
// A health endpoint that takes longer is logged as one that missed its deadline.
constexpr milliseconds health_probe_timeout{1'000};
// Time for connections to end on destruction before their coroutines are dropped.
constexpr milliseconds stop_time{2'000};
// Room above the limit for the headers that the entry side adds, so that the next node doesn't
// refuse what the first one took.
constexpr std::uint32_t node_header_bytes = 2U << 10U;
// Bytes read ahead of the header limit.
constexpr std::size_t read_ahead_bytes = 64U << 10U;
constexpr std::size_t first_read_bytes = 8U << 10U;

// Counts something as in progress for its own lifetime.
class progress_guard {
public:
    explicit progress_guard(std::atomic<std::size_t>& count) : m_count(count) {
        m_count.fetch_add(1, std::memory_order_relaxed);
    }
    progress_guard(const progress_guard&) = delete;
    progress_guard& operator=(const progress_guard&) = delete;
    progress_guard(progress_guard&&) = delete;
    progress_guard& operator=(progress_guard&&) = delete;
    ~progress_guard() { m_count.fetch_sub(1, std::memory_order_relaxed); }

private:
    std::atomic<std::size_t>& m_count;
};

// Sets the headers that frame the answer for this connection.
void frame_answer(http_response& answer, http::verb method, bool keep_alive) {
    answer.version(11);
    answer.keep_alive(keep_alive);
    // These have no body by definition; a length of 0 would be wrong for them.
    if (answer.result() == http::status::no_content ||
        answer.result() == http::status::not_modified) {
        answer.body().clear();
        answer.erase(http::field::transfer_encoding);
        answer.erase(http::field::content_length);
        return;
    }
    if (method != http::verb::head) {
        answer.prepare_payload();
        return;
    }
    // The length that a GET would have; the body itself is not sent.
    if (!answer.body().empty()) {
        answer.content_length(answer.body().size());
        answer.body().clear();
    }
    answer.erase(http::field::transfer_encoding);
}

// The answer to a request that could not be read, nothing when there is no one to answer.
std::optional<http_response> answer_to_read_failure(const error_code& failed) {
    if (failed == http::error::body_limit) {
        return make_refusal(error_kind::body_too_large, "the body is above the limit");
    }
    if (failed == http::error::header_limit || failed == http::error::buffer_overflow) {
        return make_refusal(error_kind::bad_request, "the headers are above the limit");
    }
    if (failed == http::error::end_of_stream || failed == http::error::partial_message ||
        failed.category() != http::make_error_code(http::error::end_of_stream).category()) {
        return std::nullopt;
    }
    return make_refusal(error_kind::bad_request, "not a valid HTTP request");
}

} // namespace

class traffic_server::impl {
public:
    impl(const node_settings& settings, const clock_source& clock, snapshot_cell& snapshot,
         node_metrics& metrics, traffic_hooks hooks)
        : m_io(static_cast<int>(std::max(1U, settings.m_threads))),
          m_context(settings, clock, snapshot, metrics, std::move(hooks), m_io),
          m_accept_strand(asio::make_strand(m_io)), m_upkeep_strand(asio::make_strand(m_io)),
          m_acceptor(m_io), m_caller_acceptor(m_io), m_upkeep_timer(m_io),
          m_seed(settings.m_seed != 0 ? settings.m_seed : std::random_device{}()) {}
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    impl(impl&&) = delete;
    impl& operator=(impl&&) = delete;
    ~impl() { stop(); }

    bool listen(error& reason) {
        const node_settings& settings = m_context.m_settings;
        return listen_at(m_acceptor, settings.m_traffic, reason) &&
               (settings.m_callers.m_port == 0 ||
                listen_at(m_caller_acceptor, settings.m_callers, reason));
    }
    void run();
    traffic_context& context() { return m_context; }
    const traffic_context& context() const { return m_context; }

private:
    void stop();
    void accept_connections(tcp::acceptor& acceptor, bool callers_only, asio::yield_context yield);
    std::uint64_t next_seed();
    void refuse_connection(tcp::socket socket);
    void serve(const std::shared_ptr<call_control>& control, bool callers_only,
               asio::yield_context yield);
    bool serve_one(call_control& control, bool callers_only, boost::beast::flat_buffer& buffer,
                   asio::yield_context yield);
    error_code read_request(call_control& control, boost::beast::flat_buffer& buffer,
                            http::request_parser<http::string_body>& parser,
                            asio::yield_context yield);
    bool write_answer(call_control& control, http_response& answer, asio::yield_context yield);
    void linger(call_control& control, asio::yield_context yield);
    call_reply dispatch(call_control& control, bool callers_only, http_request& request,
                        asio::yield_context yield);
    void start_upkeep();
    bool health_probe_is_due() const;
    void probe_health();

    asio::io_context m_io;
    traffic_context m_context;
    io_strand m_accept_strand;
    io_strand m_upkeep_strand;
    tcp::acceptor m_acceptor;        // of nodes, and of callers unless they have their own
    tcp::acceptor m_caller_acceptor; // of callers only
    asio::steady_timer m_upkeep_timer;
    std::uint64_t m_seed;
    std::atomic<std::uint64_t> m_connection_number{0};
    std::atomic<bool> m_stopping{false};
    std::atomic<std::size_t> m_refusing{0};
    time_point m_last_probe{};
    std::mutex m_threads_mutex;
    std::condition_variable m_thread_ended;
    std::size_t m_running_threads = 0;
    std::vector<std::thread> m_threads;
};

void traffic_server::impl::run() {
    asio::spawn(
        m_accept_strand,
        [this](asio::yield_context yield) { accept_connections(m_acceptor, false, yield); },
        asio::detached);
    if (m_caller_acceptor.is_open()) {
        asio::spawn(
            m_accept_strand,
            [this](asio::yield_context yield) {
                accept_connections(m_caller_acceptor, true, yield);
            },
            asio::detached);
    }
    start_upkeep();
    const std::size_t threads = std::max(1U, m_context.m_settings.m_threads);
    m_running_threads = threads;
    for (std::size_t i = 0; i < threads; ++i) {
        m_threads.emplace_back([this] {
            m_io.run();
            const std::lock_guard lock(m_threads_mutex);
            --m_running_threads;
            m_thread_ended.notify_all();
        });
    }
}

// Ends all connections and waits for their coroutines, so that none outlives what it uses.
void traffic_server::impl::stop() {
    m_stopping = true;
    asio::post(m_accept_strand, [this] {
        error_code ignored;
        m_acceptor.close(ignored);
        m_caller_acceptor.close(ignored);
    });
    asio::post(m_upkeep_strand, [this] { m_upkeep_timer.cancel(); });
    asio::post(m_io, [this] {
        m_context.m_peers.close_all();
        m_context.m_own_server.close_all();
        m_context.m_connections.stop_all();
        m_context.m_background.stop_all();
    });
    {
        std::unique_lock lock(m_threads_mutex);
        m_thread_ended.wait_for(lock, stop_time, [this] { return m_running_threads == 0; });
    }
    m_io.stop();
    for (std::thread& thread : m_threads) {
        thread.join();
    }
}

void traffic_server::impl::accept_connections(tcp::acceptor& acceptor, bool callers_only,
                                              asio::yield_context yield) {
    asio::steady_timer pause(m_io);
    while (!m_stopping) {
        error_code failed;
        tcp::socket socket(m_io);
        acceptor.async_accept(socket, yield[failed]);
        if (m_stopping) {
            return;
        }
        if (failed) {
            pause.expires_after(accept_pause);
            pause.async_wait(yield[failed]);
            continue;
        }
        socket.set_option(tcp::no_delay(true), failed);
        if (m_context.m_connections.size() >= m_context.m_settings.m_max_connections) {
            refuse_connection(std::move(socket));
            continue;
        }
        auto control =
            call_control::create(m_io, std::move(socket), m_context.m_clock, next_seed());
        m_context.m_connections.add(control);
        spawn_call(*control, [this, callers_only](const auto& self, asio::yield_context inner) {
            const control_membership membership(m_context.m_connections, self);
            serve(self, callers_only, inner);
        });
    }
}

std::uint64_t traffic_server::impl::next_seed() {
    return m_seed + (m_connection_number.fetch_add(1) + 1) * 0x9e3779b97f4a7c15ULL;
}

// Tells a connection above the limit that it is one too many.
void traffic_server::impl::refuse_connection(tcp::socket socket) {
    if (m_refusing.load() >= max_refusing_connections) {
        return;
    }
    auto control = call_control::create(m_io, std::move(socket), m_context.m_clock, next_seed());
    spawn_call(*control, [this](const auto& self, asio::yield_context yield) {
        const progress_guard counted(m_refusing);
        const control_membership membership(m_context.m_background, self);
        call_reply reply =
            refuse(m_context, {error_kind::too_many_connections, "the connection limit is reached"},
                   false);
        frame_answer(reply.m_message, http::verb::get, false);
        if (write_answer(*self, reply.m_message, yield)) {
            linger(*self, yield);
        }
        self->stop();
    });
}

void traffic_server::impl::serve(const std::shared_ptr<call_control>& control, bool callers_only,
                                 asio::yield_context yield) {
    boost::beast::flat_buffer buffer(m_context.m_settings.m_max_header_bytes + read_ahead_bytes);
    while (!control->is_stopped() && serve_one(*control, callers_only, buffer, yield)) {
    }
    control->stop();
}

// Reads one request, leaving it in the parser.
error_code traffic_server::impl::read_request(call_control& control,
                                              boost::beast::flat_buffer& buffer,
                                              http::request_parser<http::string_body>& parser,
                                              asio::yield_context yield) {
    const time_point now = m_context.m_clock.now();
    error_code failed;
    control.limit_io(now + idle_timeout);
    if (buffer.size() == 0) {
        const std::size_t size =
            control.incoming().async_read_some(buffer.prepare(first_read_bytes), yield[failed]);
        if (failed) {
            return failed;
        }
        buffer.commit(size);
    }
    control.limit_io(m_context.m_clock.now() + read_timeout);
    parser.header_limit(m_context.m_settings.m_max_header_bytes + node_header_bytes);
    parser.body_limit(m_context.m_settings.m_max_body_bytes);
    http::async_read_header(control.incoming(), buffer, parser, yield[failed]);
    if (failed || parser.is_done()) {
        return failed;
    }
    if (boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        http::response<http::empty_body> proceed;
        proceed.version(11);
        proceed.result(http::status::continue_);
        http::async_write(control.incoming(), proceed, yield[failed]);
        if (failed) {
            return failed;
        }
    }
    http::async_read(control.incoming(), buffer, parser, yield[failed]);
    return failed;
}

// Serves one request. Returns whether the connection can carry another one.
bool traffic_server::impl::serve_one(call_control& control, bool callers_only,
                                     boost::beast::flat_buffer& buffer, asio::yield_context yield) {
    http::request_parser<http::string_body> parser;
    const error_code failed = read_request(control, buffer, parser, yield);
    if (failed) {
        auto refusal = answer_to_read_failure(failed);
        if (refusal && !control.is_stopped()) {
            const std::string number(header_of(parser.get(), header::exchange));
            if (!number.empty()) {
                set_header(*refusal, header::exchange, number);
            }
            frame_answer(*refusal, http::verb::get, false);
            if (write_answer(control, *refusal, yield)) {
                linger(control, yield);
            }
        }
        return false;
    }
    http_request request = parser.release();
    const http::verb method = request.method();
    const bool asked_to_keep = request.keep_alive();
    const std::string exchange_number(header_of(request, header::exchange));

    bool keep_alive = false;
    {
        const progress_guard in_progress(m_context.m_in_progress);
        call_reply reply = dispatch(control, callers_only, request, yield);
        const bool cancelled = control.is_cancelled();
        control.end_call();
        if (cancelled) {
            return false;
        }
        keep_alive = asked_to_keep && !m_context.m_draining;
        if (!exchange_number.empty()) {
            set_header(reply.m_message, header::exchange, exchange_number);
        }
        frame_answer(reply.m_message, method, keep_alive);
        if (!write_answer(control, reply.m_message, yield)) {
            return false;
        }
    }
    if (!keep_alive) {
        linger(control, yield);
    }
    return keep_alive;
}

bool traffic_server::impl::write_answer(call_control& control, http_response& answer,
                                        asio::yield_context yield) {
    control.limit_io(m_context.m_clock.now() + write_timeout);
    error_code failed;
    http::serializer<false, http::string_body> serializer(answer);
    http::async_write(control.incoming(), serializer, yield[failed]);
    return !failed;
}

// Ends the sending direction and drops what still arrives, until the other side closes.
void traffic_server::impl::linger(call_control& control, asio::yield_context yield) {
    control.limit_io(m_context.m_clock.now() + linger_time);
    error_code failed;
    control.incoming().shutdown(tcp::socket::shutdown_send, failed);
    std::array<char, 4'096> dropped{};
    while (!failed) {
        control.incoming().async_read_some(asio::buffer(dropped), yield[failed]);
    }
}

call_reply traffic_server::impl::dispatch(call_control& control, bool callers_only,
                                          http_request& request, asio::yield_context yield) {
    if (callers_only) {
        strip_internal(request, {});
        return handle_entry(m_context, control, request, yield);
    }
    const std::string_view target(request.target().data(), request.target().size());
    if (target.starts_with(node_path_prefix)) {
        call_reply reply;
        reply.m_message = handle_node_request(m_context, control, request, yield);
        return reply;
    }
    if (request.find(std::string(header::service)) != request.end()) {
        return handle_backend(m_context, control, request, yield);
    }
    return handle_entry(m_context, control, request, yield);
}

// Does the periodic work of the traffic side.
void traffic_server::impl::start_upkeep() {
    m_upkeep_timer.expires_after(upkeep_interval);
    m_upkeep_timer.async_wait(asio::bind_executor(m_upkeep_strand, [this](error_code failed) {
        if (failed || m_stopping) {
            return;
        }
        m_context.m_peers.close_old();
        m_context.m_own_server.close_old();
        m_context.m_keys.expire();
        const auto load = m_context.m_gate.current();
        m_context.m_metrics.set_load(load.m_running, load.m_waiting, load.m_limit);
        if (health_probe_is_due()) {
            probe_health();
        }
        start_upkeep();
    }));
}

// True when neither a call nor a probe has told about the backend server for the interval.
bool traffic_server::impl::health_probe_is_due() const {
    const milliseconds interval = m_context.m_settings.m_health_interval;
    const time_point now = m_context.m_clock.now();
    const auto last_call = std::chrono::microseconds(m_context.m_last_call_end_us.load());
    return interval.count() != 0 && now - m_last_probe >= interval &&
           now.time_since_epoch() - last_call >= interval && m_context.m_in_progress == 0;
}

// Asks the backend server's health endpoint. The answer is logged only: health endpoints lag or
// mislead, so calls alone decide.
void traffic_server::impl::probe_health() {
    m_last_probe = m_context.m_clock.now();
    auto control = call_control::create(m_io, tcp::socket(m_io), m_context.m_clock, next_seed());
    spawn_call(*control, [this](const auto& self, asio::yield_context yield) {
        const control_membership membership(m_context.m_background, self);
        self->begin_call(m_context.m_clock.now() + health_probe_timeout);
        error reason;
        http_request request(http::verb::get, "/healthz", 11);
        request.set(http::field::host, "backend-server");
        auto used = m_context.m_own_server.open(*self, m_context.m_settings.m_backend_server, yield,
                                                reason);
        std::optional<http_response> answer;
        if (used) {
            answer = exchange(*self, *used, request, m_context.limits(), nullptr, yield, reason);
            m_context.m_own_server.give_back(std::move(used));
        }
        self->end_call();
        log_event(log_level::info, "health_probe",
                  {{"status", answer ? answer->result_int() : 0U},
                   {"reason", answer_for(reason.m_kind).m_name},
                   {"text", reason.m_text}});
        self->stop();
    });
}

std::unique_ptr<traffic_server> traffic_server::start(const node_settings& settings,
                                                      const clock_source& clock,
                                                      snapshot_cell& snapshot,
                                                      node_metrics& metrics, traffic_hooks hooks,
                                                      error& reason) {
    auto implementation =
        std::make_unique<impl>(settings, clock, snapshot, metrics, std::move(hooks));
    if (!implementation->listen(reason)) {
        return nullptr;
    }
    implementation->run();
    return std::unique_ptr<traffic_server>(new traffic_server(std::move(implementation)));
}

traffic_server::traffic_server(std::unique_ptr<impl> implementation)
    : m_impl(std::move(implementation)) {}

traffic_server::~traffic_server() = default;

evidence_report traffic_server::take_evidence() {
    traffic_context& context = m_impl->context();
    evidence_report report;
    report.m_instance = context.m_settings.m_instance;
    const auto snapshot = context.m_snapshot.load();
    report.m_service = snapshot->m_own.m_service;
    report.m_version = snapshot->m_own.m_version;
    const std::lock_guard lock(context.m_evidence_mutex);
    report.m_routes.swap(context.m_evidence);
    return report;
}

void traffic_server::snapshot_changed() {
    m_impl->context().m_config_waiting.wake_all();
}

void traffic_server::trust_snapshot_until(time_point until) {
    m_impl->context().m_trusted_until.store(until, std::memory_order_relaxed);
}

void traffic_server::drain() {
    m_impl->context().m_draining = true;
    m_impl->context().m_gate.drain();
}

std::size_t traffic_server::calls_in_progress() const {
    return m_impl->context().m_in_progress.load(std::memory_order_relaxed);
}

std::uint32_t traffic_server::load_permille() const {
    return m_impl->context().m_gate.load_permille();
}

} // namespace caraway
