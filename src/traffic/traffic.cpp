#include "traffic/traffic.hpp"

#include <algorithm>
#include <condition_variable>
#include <random>
#include <sys/resource.h>
#include <thread>

#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>

#include "observe/log.hpp"
#include "traffic/exchange.hpp"
#include "traffic/served_connection.hpp"

namespace caraway {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// Maximum number of connections above the limit that are answered with a refusal at the same time.
// Further ones are closed without an answer.
constexpr std::size_t max_refusing_connections = 64;
// Interval at which old idle connections are closed, expired keys are dropped, the load metrics are
// updated and due health probes are sent.
constexpr milliseconds maintenance_interval{1'000};
// A health endpoint that takes longer is logged as having missed its deadline.
constexpr milliseconds health_probe_timeout{1'000};
// Time for connections to end on destruction before their coroutines are destroyed.
constexpr milliseconds stop_timeout{2'000};
// Descriptors kept for listening sockets, the store, other nodes and idle connections to servers.
constexpr std::size_t reserved_descriptors = 256;
constexpr std::size_t min_connections = 16;

// Returns the limit of connections: the setting, or less if the process may open too few
// descriptors. A connection needs a second one while its call is running.
std::size_t connection_limit(const node_settings& settings) {
    rlimit descriptors{};
    if (::getrlimit(RLIMIT_NOFILE, &descriptors) != 0) {
        return settings.m_max_connections;
    }
    const std::size_t available = std::max<std::size_t>(descriptors.rlim_cur, reserved_descriptors);
    return std::min<std::size_t>(settings.m_max_connections,
                                 std::max(min_connections, (available - reserved_descriptors) / 2));
}

} // namespace

class traffic_server::impl {
public:
    impl(const node_settings& settings, const clock_source& clock, snapshot_cell& snapshot,
         node_metrics& metrics, traffic_hooks hooks)
        : m_io(static_cast<int>(std::max(1U, settings.m_threads))),
          m_context(settings, clock, snapshot, metrics, std::move(hooks), m_io),
          m_accept_strand(asio::make_strand(m_io)), m_maintenance_strand(asio::make_strand(m_io)),
          m_max_connections(connection_limit(settings)), m_acceptor(m_io), m_caller_acceptor(m_io),
          m_maintenance_timer(m_io),
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
    bool close_unused_connection();
    std::uint64_t next_seed();
    void refuse_connection(tcp::socket socket);
    void schedule_maintenance();
    void export_overload(double background_slots);
    bool health_probe_is_due() const;
    void probe_health();
    void export_held_bytes();

    asio::io_context m_io;
    traffic_context m_context;
    io_strand m_accept_strand;
    io_strand m_maintenance_strand;
    const std::size_t m_max_connections;
    tcp::acceptor m_acceptor;        // for nodes, and for callers unless they have their own
    tcp::acceptor m_caller_acceptor; // for callers only
    asio::steady_timer m_maintenance_timer;
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
    schedule_maintenance();
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

// Closes all connections and waits for their coroutines, so that none outlives the objects it uses.
void traffic_server::impl::stop() {
    m_stopping = true;
    asio::post(m_accept_strand, [this] {
        error_code ignored;
        m_acceptor.close(ignored);
        m_caller_acceptor.close(ignored);
    });
    asio::post(m_maintenance_strand, [this] { m_maintenance_timer.cancel(); });
    asio::post(m_io, [this] {
        m_context.m_peer_pool.close_all();
        m_context.m_server_pool.close_all();
        m_context.m_connections.stop_all();
        m_context.m_early_calls.stop_all();
        m_context.m_background.stop_all();
    });
    {
        std::unique_lock lock(m_threads_mutex);
        m_thread_ended.wait_for(lock, stop_timeout, [this] { return m_running_threads == 0; });
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
            pause.expires_after(accept_retry_delay);
            pause.async_wait(yield[failed]);
            continue;
        }
        socket.set_option(tcp::no_delay(true), failed);
        if (m_context.m_connections.size() >= m_max_connections && !close_unused_connection()) {
            refuse_connection(std::move(socket));
            continue;
        }
        auto control =
            call_control::create(m_io, std::move(socket), m_context.m_clock, next_seed());
        m_context.m_connections.add(control);
        spawn_coroutine(*control,
                        [this, callers_only](const auto& self, asio::yield_context inner) {
                            const control_registration registration(m_context.m_connections, self);
                            serve_connection(m_context, self, callers_only, inner);
                        });
    }
}

// Closes the oldest connection on which no request head has arrived, so that connections without a
// request don't keep others out. Returns false if there is none.
bool traffic_server::impl::close_unused_connection() {
    const auto unused = m_context.m_connections.take_oldest_unused();
    if (!unused) {
        return false;
    }
    m_context.m_budget.record_rejection(rejection_cause::surplus, 0, {},
                                        m_context.m_clock.now() - unused->created_at());
    unused->stop();
    return true;
}

std::uint64_t traffic_server::impl::next_seed() {
    return m_seed + (m_connection_number.fetch_add(1) + 1) * 0x9e3779b97f4a7c15ULL;
}

// Answers a connection above the limit with a refusal.
void traffic_server::impl::refuse_connection(tcp::socket socket) {
    if (m_refusing.load() >= max_refusing_connections) {
        return;
    }
    auto control = call_control::create(m_io, std::move(socket), m_context.m_clock, next_seed());
    spawn_coroutine(*control, [this](const auto& self, asio::yield_context yield) {
        const progress_guard guard(m_refusing);
        const control_registration registration(m_context.m_background, self);
        refuse_surplus_connection(m_context, *self, yield);
        self->stop();
    });
}

// Schedules the next run of the periodic work of the traffic side.
void traffic_server::impl::schedule_maintenance() {
    m_maintenance_timer.expires_after(maintenance_interval);
    m_maintenance_timer.async_wait(
        asio::bind_executor(m_maintenance_strand, [this](error_code failed) {
            if (failed || m_stopping) {
                return;
            }
            m_context.m_peer_pool.close_expired();
            m_context.m_server_pool.close_expired();
            m_context.m_keys.expire();
            const auto load = m_context.m_gate.current_load();
            m_context.m_metrics.set_load(load.m_running, load.m_waiting, load.m_limit);
            export_overload(load.m_background_slots);
            if (m_context.m_settings.m_choose_by_expected_time) {
                const speed_report speed = m_context.m_gate.speed({});
                m_context.m_metrics.set_speed(speed.m_slowness_permille,
                                              speed.m_mean_load_permille);
            }
            export_held_bytes();
            if (health_probe_is_due()) {
                probe_health();
            }
            schedule_maintenance();
        }));
}

// Updates the metrics of what is limited for lack of capacity.
void traffic_server::impl::export_overload(double background_slots) {
    std::uint64_t limited_routes = 0;
    {
        const std::lock_guard lock(m_context.m_entry_mutex);
        for (const auto& [route, throttle] : m_context.m_route_throttles) {
            limited_routes += throttle.m_admitted_share < 1 ? 1 : 0;
        }
    }
    const duration backlog = m_context.m_link_pacer.backlog(m_context.m_clock.now());
    m_context.m_metrics.set_overload(background_slots, limited_routes,
                                     std::chrono::duration<double>(backlog).count());
}

// Updates the metrics of held bytes and of the connections rejected so far.
void traffic_server::impl::export_held_bytes() {
    const byte_budget& budget = m_context.m_budget;
    m_context.m_metrics.set_held_bytes(budget.held_bytes(), budget.limits().m_total);
    for (std::size_t i = 1; i < rejection_cause_count; ++i) { // 0 is none
        const auto cause = static_cast<rejection_cause>(i);
        m_context.m_metrics.set_rejected_connections(rejection_cause_name(cause),
                                                     budget.rejections(cause));
    }
}

// Returns true if probes are enabled, no call is in progress, and within the last interval no call
// has ended and no probe was sent.
bool traffic_server::impl::health_probe_is_due() const {
    const milliseconds interval = m_context.m_settings.m_health_interval;
    const time_point now = m_context.m_clock.now();
    const auto last_call = std::chrono::microseconds(m_context.m_last_call_end_us.load());
    return interval.count() != 0 && now - m_last_probe >= interval &&
           now.time_since_epoch() - last_call >= interval && m_context.m_in_progress == 0;
}

// Requests the backend server's health endpoint. The response is only logged, because health
// endpoints can be late or wrong; routing depends on the results of calls.
void traffic_server::impl::probe_health() {
    m_last_probe = m_context.m_clock.now();
    auto control = call_control::create(m_io, tcp::socket(m_io), m_context.m_clock, next_seed());
    spawn_coroutine(*control, [this](const auto& self, asio::yield_context yield) {
        const control_registration registration(m_context.m_background, self);
        self->begin_call(m_context.m_clock.now() + health_probe_timeout);
        error reason;
        http_request request(http::verb::get, "/healthz", 11);
        request.set(http::field::host, "backend-server");
        auto open_connection = m_context.m_server_pool.open(
            *self, m_context.m_settings.m_backend_server, yield, reason);
        std::optional<received_answer> answer;
        if (open_connection) {
            answer = exchange(*self, *open_connection, request, m_context.limits(),
                              m_context.m_budget, nullptr, yield, reason);
            m_context.m_server_pool.return_connection(std::move(open_connection));
        }
        self->end_call();
        log_event(log_level::info, "health_probe",
                  {{"status", answer ? answer->m_message.result_int() : 0U},
                   {"reason", error_info_for(reason.m_kind).m_name},
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
    report.m_service = snapshot->m_own_server.m_service;
    report.m_version = snapshot->m_own_server.m_version;
    const std::lock_guard lock(context.m_evidence_mutex);
    report.m_routes.swap(context.m_evidence);
    return report;
}

void traffic_server::snapshot_changed() {
    m_impl->context().apply_client_limits();
    m_impl->context().m_config_waiting.wake_all();
}

void traffic_server::trust_snapshot_until(time_point until) {
    m_impl->context().m_trusted_until.store(until, std::memory_order_relaxed);
}

void traffic_server::drain() {
    m_impl->context().m_draining = true;
    m_impl->context().m_gate.drain();
}

void traffic_server::end_calls_by(time_point latest, time_point last_onward) {
    m_impl->context().m_last_onward.store(last_onward, std::memory_order_relaxed);
    m_impl->context().m_calls_end_by.store(latest, std::memory_order_relaxed);
    m_impl->context().m_connections.limit_deadlines(latest);
    m_impl->context().m_early_calls.limit_deadlines(latest);
}

std::size_t traffic_server::calls_in_progress() const {
    return m_impl->context().m_in_progress.load(std::memory_order_relaxed);
}

std::uint32_t traffic_server::load_permille() const {
    return m_impl->context().m_gate.load_permille();
}

} // namespace caraway
