// Measures the latency and processor time that nodes add to a call. Sends the same requests
// directly to a backend server, through one node and through two nodes in the same run. Prints a
// table and a JSON object. usage: call_cost [SECONDS [THREADS_PER_NODE]]
#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <ctime>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

#include <boost/asio.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include "observe/log.hpp"
#include "traffic/traffic.hpp"

using namespace caraway;
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using steady = std::chrono::steady_clock;

namespace {

// Call rate of one node at the planned scale.
constexpr int planned_calls_per_second = 70;
// Largest increase of the 99th percentile latency through two nodes that meets the target, in
// microseconds.
constexpr double target_added_p99_us = 520;
constexpr int saturation_connections = 24;
constexpr std::size_t body_bytes = 512;
// A node raises its cold-start limit over some seconds before it accepts the full load.
constexpr std::chrono::seconds warm_up_time{6};

// Returns the processor time of the given clock in seconds.
double cpu_seconds(clockid_t clock) {
    timespec value{};
    ::clock_gettime(clock, &value);
    return static_cast<double>(value.tv_sec) + 1e-9 * static_cast<double>(value.tv_nsec);
}

// Processor time in seconds of all threads outside the nodes: callers, backend server, stderr
// reader.
std::atomic<double> s_non_node_cpu_s{0};

// Adds the processor time of its thread to s_non_node_cpu_s. Must be destroyed on the thread that
// created it.
class thread_cpu_meter {
public:
    thread_cpu_meter() : m_begin(cpu_seconds(CLOCK_THREAD_CPUTIME_ID)) {}
    thread_cpu_meter(const thread_cpu_meter&) = delete;
    thread_cpu_meter& operator=(const thread_cpu_meter&) = delete;
    thread_cpu_meter(thread_cpu_meter&&) = delete;
    thread_cpu_meter& operator=(thread_cpu_meter&&) = delete;
    ~thread_cpu_meter() { add_elapsed(); }
    void add_elapsed() {
        const double now = cpu_seconds(CLOCK_THREAD_CPUTIME_ID);
        s_non_node_cpu_s.fetch_add(now - m_begin);
        m_begin = now;
    }

private:
    double m_begin;
};

// Redirects stderr to a pipe that a thread empties, so that the cost of a terminal or file isn't
// measured. The nodes' log goes to standard output and isn't redirected.
void drain_stderr() {
    std::array<int, 2> pipe_ends{};
    if (::pipe(pipe_ends.data()) != 0) {
        std::abort();
    }
    ::dup2(pipe_ends[1], STDERR_FILENO);
    std::thread([from = pipe_ends[0]] {
        thread_cpu_meter cpu_meter;
        std::vector<char> bytes(1U << 16U);
        while (::read(from, bytes.data(), bytes.size()) > 0) {
            cpu_meter.add_elapsed();
        }
    }).detach();
}

// Backend server that immediately echoes the request body.
class echo_server {
public:
    echo_server() : m_acceptor(m_io, {asio::ip::address_v4::loopback(), 0}) {
        asio::spawn(
            m_io, [this](asio::yield_context yield) { accept_all(yield); }, asio::detached);
        std::thread([this] {
            thread_cpu_meter cpu_meter;
            while (m_io.run_one() > 0) {
                cpu_meter.add_elapsed();
            }
        }).detach();
    }
    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    void accept_all(asio::yield_context yield) {
        while (true) {
            auto socket = std::make_shared<tcp::socket>(m_io);
            m_acceptor.async_accept(*socket, yield);
            socket->set_option(tcp::no_delay(true));
            asio::spawn(
                m_io, [socket](asio::yield_context inner) { serve(*socket, inner); },
                asio::detached);
        }
    }
    static void serve(tcp::socket& socket, asio::yield_context yield) {
        beast::flat_buffer buffer;
        beast::error_code failed;
        while (!failed) {
            http::request<http::string_body> request;
            http::async_read(socket, buffer, request, yield[failed]);
            if (failed) {
                return;
            }
            http::response<http::string_body> answer(http::status::ok, 11);
            answer.body() = std::move(request.body());
            answer.prepare_payload();
            http::async_write(socket, answer, yield[failed]);
        }
    }

    asio::io_context m_io{1};
    tcp::acceptor m_acceptor;
};

// Caller with one keep-alive connection.
class caller {
public:
    explicit caller(std::uint16_t port) : m_socket(m_io) {
        m_socket.connect({asio::ip::address_v4::loopback(), port});
        m_socket.set_option(tcp::no_delay(true));
        m_request.method(http::verb::post);
        m_request.target("/pour/echo");
        m_request.version(11);
        m_request.body() = std::string(body_bytes, 'x');
        m_request.prepare_payload();
    }
    // Returns the latency of one call in microseconds, or nothing if the answer is not 200 with the
    // request's body.
    std::optional<double> call() {
        const auto begin = steady::now();
        http::write(m_socket, m_request);
        http::response<http::string_body> answer;
        http::read(m_socket, m_buffer, answer);
        if (answer.result() != http::status::ok || answer.body() != m_request.body()) {
            return std::nullopt;
        }
        return std::chrono::duration<double, std::micro>(steady::now() - begin).count();
    }

private:
    asio::io_context m_io;
    tcp::socket m_socket;
    beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
};

struct bench_node {
    node_settings m_settings;
    std::unique_ptr<node_metrics> m_metrics;
    snapshot_cell m_snapshot;
    std::unique_ptr<traffic_server> m_server;
};

// Returns a port that was free a moment ago.
std::uint16_t free_port() {
    asio::io_context io;
    return tcp::acceptor(io, {asio::ip::address_v4::loopback(), 0}).local_endpoint().port();
}

// Starts an entry node and a node beside the backend server, in this order. Exits on failure.
std::vector<std::unique_ptr<bench_node>>
start_nodes(std::uint16_t server_port, const clock_source& clock, std::uint32_t threads) {
    std::vector<std::unique_ptr<bench_node>> nodes;
    for (const char* name : {"entry", "beside"}) {
        auto new_node = std::make_unique<bench_node>();
        new_node->m_settings.m_instance = name;
        new_node->m_settings.m_data_centre = "north";
        new_node->m_settings.m_service = nodes.empty() ? "front" : "pour";
        new_node->m_settings.m_version = "v1";
        new_node->m_settings.m_traffic = {"127.0.0.1", free_port()};
        new_node->m_settings.m_backend_server = {"127.0.0.1", server_port};
        new_node->m_settings.m_health_interval = milliseconds(0);
        new_node->m_settings.m_threads = threads;
        new_node->m_metrics = node_metrics::create(name, "north");
        nodes.push_back(std::move(new_node));
    }
    auto config = std::make_shared<mesh>();
    service_spec& spec = config->m_services["pour"];
    spec.m_name = "pour";
    spec.m_version = "v1";
    config->m_routes = {{"/pour", "pour", milliseconds(5'000), false, urgency::normal}};
    for (const auto& node : nodes) {
        auto next = std::make_shared<routing_snapshot>();
        next->m_config_version = 1;
        next->m_ready = true;
        next->m_mesh = config;
        next->m_own_server.m_service = node->m_settings.m_service;
        next->m_own_server.m_version = node->m_settings.m_version;
        service_view& view = next->m_services["pour"];
        view.m_spec = spec;
        view.m_old_version = "v1";
        backend_view backend;
        backend.m_instance = "beside";
        backend.m_version = "v1";
        backend.m_own_data_centre = true;
        backend.m_is_own = node == nodes.back();
        backend.m_traffic = nodes.back()->m_settings.m_traffic;
        backend.m_counters = std::make_shared<backend_counters>();
        view.m_backends.push_back(backend);
        node->m_snapshot.store(next);
        error reason;
        node->m_server = traffic_server::start(node->m_settings, clock, node->m_snapshot,
                                               *node->m_metrics, {}, reason);
        if (!node->m_server) {
            fmt::print("start: {}\n", reason.m_text);
            std::exit(1);
        }
    }
    return nodes;
}

// Measurements of one path from the caller to the backend server.
struct path_result {
    std::string m_name;
    std::uint16_t m_port = 0;
    std::vector<double> m_latencies_us;
    std::uint64_t m_failed_calls = 0;
    double m_calls_per_second = 0;
    double m_node_us_per_call = 0; // processor time of all nodes

    double percentile(double quantile) {
        if (m_latencies_us.empty()) {
            return 0;
        }
        std::sort(m_latencies_us.begin(), m_latencies_us.end());
        const auto last_index = static_cast<double>(m_latencies_us.size() - 1);
        return m_latencies_us[static_cast<std::size_t>(quantile * last_index)];
    }
};

// Calls the paths in turn, each at the planned rate, so that all run under the same machine load.
void run_planned(std::vector<path_result>& paths, std::chrono::seconds time) {
    const thread_cpu_meter cpu_meter;
    std::vector<std::unique_ptr<caller>> callers;
    callers.reserve(paths.size());
    for (const path_result& path : paths) {
        callers.push_back(std::make_unique<caller>(path.m_port));
    }
    const auto pause = std::chrono::microseconds(1'000'000 / planned_calls_per_second /
                                                 static_cast<int>(paths.size()));
    auto next = steady::now();
    const auto end = next + time;
    while (next < end) {
        for (std::size_t i = 0; i < paths.size(); ++i) {
            next += pause;
            std::this_thread::sleep_until(next);
            if (const auto latency_us = callers[i]->call()) {
                paths[i].m_latencies_us.push_back(*latency_us);
            } else {
                ++paths[i].m_failed_calls;
            }
        }
    }
}

// Calls one path from many connections in a closed loop without pauses.
void run_saturated(path_result& path, std::chrono::seconds time, int connections) {
    std::atomic<std::uint64_t> calls{0};
    std::atomic<std::uint64_t> failed{0};
    std::mutex mutex;
    const double non_node_before = s_non_node_cpu_s;
    const double process_before = cpu_seconds(CLOCK_PROCESS_CPUTIME_ID);
    const auto end = steady::now() + time;
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(connections));
    for (int i = 0; i < connections; ++i) {
        threads.emplace_back([&] {
            const thread_cpu_meter cpu_meter;
            caller connection(path.m_port);
            std::vector<double> latencies_us;
            std::uint64_t thread_failed = 0;
            while (steady::now() < end) {
                if (const auto latency_us = connection.call()) {
                    latencies_us.push_back(*latency_us);
                } else {
                    ++thread_failed;
                }
            }
            calls += latencies_us.size();
            failed += thread_failed;
            const std::lock_guard lock(mutex);
            path.m_latencies_us.insert(path.m_latencies_us.end(), latencies_us.begin(),
                                       latencies_us.end());
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    const double node_cpu = (cpu_seconds(CLOCK_PROCESS_CPUTIME_ID) - process_before) -
                            (s_non_node_cpu_s - non_node_before);
    path.m_failed_calls = failed;
    path.m_calls_per_second =
        static_cast<double>(calls) / std::chrono::duration<double>(time).count();
    path.m_node_us_per_call =
        1e6 * node_cpu / static_cast<double>(std::max<std::uint64_t>(1, calls + failed));
}

// Prints a table row for each path and returns the rows as JSON. The first path is the baseline.
boost::json::array report(std::string_view load, std::vector<path_result>& paths) {
    boost::json::array rows;
    const double direct_p50 = paths.front().percentile(0.5);
    const double direct_p99 = paths.front().percentile(0.99);
    for (path_result& path : paths) {
        const double p50 = path.percentile(0.5);
        const double p99 = path.percentile(0.99);
        fmt::print(
            "{:<10} {:<9} {:>8} {:>7} {:>9.0f} {:>9.0f} {:>9.0f} {:>9.0f} {:>9.0f} {:>9.1f}\n",
            load, path.m_name, path.m_latencies_us.size(), path.m_failed_calls, p50, p99,
            p50 - direct_p50, p99 - direct_p99, path.m_calls_per_second, path.m_node_us_per_call);
        rows.push_back({{"load", load},
                        {"path", path.m_name},
                        {"calls", path.m_latencies_us.size()},
                        {"failed", path.m_failed_calls},
                        {"p50_us", p50},
                        {"p99_us", p99},
                        {"added_p50_us", p50 - direct_p50},
                        {"added_p99_us", p99 - direct_p99},
                        {"calls_per_second", path.m_calls_per_second},
                        {"node_cpu_us_per_call", path.m_node_us_per_call}});
    }
    return rows;
}

} // namespace

int main(int argc, char** argv) {
    const std::chrono::seconds time(argc > 1 ? std::atoi(argv[1]) : 20);
    const auto threads =
        argc > 2 ? static_cast<std::uint32_t>(std::atoi(argv[2])) : node_settings{}.m_threads;
    set_log_identity("bench", "north", log_level::info);
    drain_stderr();
    static const system_clock_source clock;
    static echo_server server; // its detached thread runs until the process exits
    const auto nodes = start_nodes(server.port(), clock, threads);
    const std::vector<path_result> paths{
        {"direct", server.port(), {}, 0, 0, 0},
        {"one node", nodes[1]->m_settings.m_traffic.m_port, {}, 0, 0, 0},
        {"two nodes", nodes[0]->m_settings.m_traffic.m_port, {}, 0, 0, 0}};
    auto warm_up_paths = paths;
    run_planned(warm_up_paths, warm_up_time);
    auto planned = paths;
    run_planned(planned, time);
    auto saturated = paths;
    for (path_result& path : saturated) {
        path_result ramp = path;
        run_saturated(ramp, warm_up_time, saturation_connections);
        run_saturated(path, time, saturation_connections);
    }
    fmt::print("{:<10} {:<9} {:>8} {:>7} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}\n", "load", "path",
               "calls", "failed", "p50 us", "p99 us", "+p50 us", "+p99 us", "calls/s", "cpu us");
    auto rows = report("70/s", planned);
    const double added_p99_us = planned[2].percentile(0.99) - planned[0].percentile(0.99);
    for (auto& row : report("saturated", saturated)) {
        rows.push_back(std::move(row));
    }
    fmt::print("{}\n", boost::json::serialize(
                           boost::json::object{{"measurement", "call_cost"},
                                               {"seconds", time.count()},
                                               {"threads_per_node", threads},
                                               {"target_added_p99_us", target_added_p99_us},
                                               {"target_met", added_p99_us <= target_added_p99_us},
                                               {"rows", std::move(rows)}}));
    std::fflush(stdout);
    // Skips destructors, since the detached threads of the backend server and of the stderr reader
    // still run.
    ::_exit(0);
}
