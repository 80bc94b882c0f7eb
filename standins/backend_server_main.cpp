// Stand-in for a backend server instance. Simulates concurrency slots, connection cost, cold start,
// draining, load shedding, misleading health answers and the defects of a bad version.
#include <algorithm>
#include <deque>
#include <list>
#include <set>
#include <thread>
#include <unordered_map>

#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include "base/hash.hpp"
#include "base/random.hpp"
#include "standins/common.hpp"
#include "standins/http_client.hpp"
#include "standins/http_server.hpp"

namespace caraway::standins {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::steady_clock;

constexpr std::size_t max_queued_calls = 4; // calls that wait for a slot; more are shed
// Relative increase of the handler time of a completely cold instance, which takes 5 times as long.
constexpr double cold_slowdown = 4.0;
// Coldness above which an instance counts as cold and can fail under load.
constexpr double max_coldness_under_load = 0.125;
constexpr double warm_up_calls_per_slot = 25; // answered calls that warm up one slot
// Time for which a cold instance fails all calls after an overload.
constexpr std::chrono::seconds overload_failure_time{1};
constexpr double slow_version_factor = 5.0; // multiplies the handler time of a slow version
constexpr std::size_t max_counted_requests = 1'000'000; // distinct request numbers counted
constexpr std::size_t max_listed_duplicates = 1'000; // request numbers listed as run more than once
constexpr std::size_t max_answer_bytes = 8U << 20U;  // larger x-response-bytes are reduced to it
constexpr std::chrono::seconds drain_timeout{30};
constexpr milliseconds health_sample_interval{500};
constexpr std::size_t health_lag_samples = 10;         // a lag of 5 s
constexpr milliseconds default_onward_timeout{30'000}; // for calls without a deadline

// Command-line options, some of which the control address can change at run time.
struct backend_options {
    std::string m_instance = "backend-1";
    std::string m_service = "service";
    std::string m_version = "v1";
    std::string m_behaviour = "good";
    std::string m_behaviour_route;
    std::string m_health = "honest";
    std::int64_t m_behaviour_permille = -1; // share of calls affected, -1: default
    std::int64_t m_behaviour_after_s = 10;
    std::int64_t m_behaviour_after_calls = 0; // 0: no such limit
    std::int64_t m_slots = 12;
    std::int64_t m_connections = 110;
    std::int64_t m_accept_delay_ms = 1;
    std::int64_t m_probe_ms = 6;
    double m_service_ms = 10;
    double m_cold_s = 0;
    std::int64_t m_answer_delay_ms = 0;
    std::int64_t m_truncate_permille = 0;
    std::int64_t m_seed = 1;
};

// Counts since the start. Times are in Unix milliseconds, 0 if the event has not happened.
struct counters {
    std::uint64_t m_started = 0;
    std::uint64_t m_answered = 0;
    std::uint64_t m_failed = 0;
    std::uint64_t m_shed = 0;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_deadline_exceeded = 0;
    std::uint64_t m_onward_failed = 0;
    std::uint64_t m_probes = 0;
    std::uint64_t m_overload_failures = 0;
    std::int64_t m_max_concurrency = 0;
    std::int64_t m_first_started_ms = 0;
    std::int64_t m_last_started_ms = 0;
    std::int64_t m_first_defect_ms = 0;       // first call affected by the version's defect
    std::uint64_t m_uncounted_executions = 0; // of request numbers beyond max_counted_requests
};

// A call in the queue. m_granted is set when it receives a slot.
struct waiting_call {
    http_call* m_call;
    bool m_granted = false;
};

// State of the instance. Used by one thread only.
struct backend_state {
    backend_state(asio::io_context& context, const backend_options& options)
        : m_context(context), m_options(options),
          m_random(static_cast<std::uint64_t>(options.m_seed)) {}

    asio::io_context& m_context;
    backend_options m_options;
    random_source m_random;
    counters m_counters;
    std::int64_t m_occupied_slots = 0;
    std::list<waiting_call> m_queue;
    // Start of the process or latest change of the behaviour.
    time_point m_behaviour_since = steady_clock::now();
    time_point m_cold_since = steady_clock::now();
    double m_served_since_cold = 0;
    time_point m_overload_failure_until{};
    bool m_draining = false;
    // Number of executions by hash of the request number.
    std::unordered_map<std::uint64_t, std::uint32_t> m_executions;
    // Number of executions by request number, for at most max_listed_duplicates that ran
    // repeatedly.
    std::map<std::string, std::uint32_t> m_duplicates;
    std::uint64_t m_duplicate_count = 0; // all request numbers that ran more than once
    std::deque<json::object> m_health_samples;
    std::unique_ptr<http_client> m_egress; // to the own node, null without --egress
};

// Returns how cold the instance is, from 1 (completely cold) to 0 (warm). Both answered calls and
// elapsed time warm it up. Exceeds 1 while the start of the cold period lies in the future.
double coldness(const backend_state& backend) {
    if (backend.m_options.m_cold_s <= 0) {
        return 0;
    }
    const double elapsed_s =
        std::chrono::duration<double>(steady_clock::now() - backend.m_cold_since).count();
    const double warm_up_calls =
        warm_up_calls_per_slot * static_cast<double>(backend.m_options.m_slots);
    return std::max(0.0, 1 - elapsed_s / backend.m_options.m_cold_s -
                             backend.m_served_since_cold / warm_up_calls);
}

// Returns whether the instance is cold enough to fail under load.
bool is_cold(const backend_state& backend) {
    return coldness(backend) > max_coldness_under_load;
}

// Sets the time from which the instance counts as cold and resets the answered calls that warm it
// up. A time in the distant past makes it warm.
void set_cold_since(backend_state& backend, time_point since) {
    backend.m_cold_since = since;
    backend.m_served_since_cold = 0;
}

// Returns whether the instance currently fails all calls because it was overloaded while cold.
bool has_overload_failure(const backend_state& backend) {
    return steady_clock::now() < backend.m_overload_failure_until;
}

// Acquires a slot, waiting in the queue until the deadline if none is free. Returns false if the
// call must not run: the queue is full, the deadline has passed or the caller has closed its
// connection.
bool take_slot(backend_state& backend, http_call& call, time_point deadline,
               asio::yield_context yield) {
    if (backend.m_occupied_slots < backend.m_options.m_slots) {
        ++backend.m_occupied_slots;
        return true;
    }
    if (backend.m_queue.size() >= max_queued_calls) {
        return false;
    }
    const auto position = backend.m_queue.insert(backend.m_queue.end(), {&call, false});
    call.wait_until(deadline, yield);
    const bool granted = position->m_granted;
    backend.m_queue.erase(position);
    return granted;
}

// Passes the slot to the first waiting call whose caller is still connected, or frees it.
void release_slot(backend_state& backend) {
    for (waiting_call& waiting : backend.m_queue) {
        if (!waiting.m_granted && !waiting.m_call->m_caller_closed) {
            waiting.m_granted = true;
            waiting.m_call->m_timer.cancel();
            return;
        }
    }
    --backend.m_occupied_slots;
}

// Counts a handler run and how often its request number has run. An empty number is not tracked.
void record_execution(backend_state& backend, const std::string& request_number) {
    counters& counts = backend.m_counters;
    ++counts.m_started;
    counts.m_max_concurrency = std::max(counts.m_max_concurrency, backend.m_occupied_slots);
    counts.m_last_started_ms = now_unix_ms();
    if (counts.m_first_started_ms == 0) {
        counts.m_first_started_ms = counts.m_last_started_ms;
    }
    if (request_number.empty()) {
        return;
    }
    const std::uint64_t hash = hash_bytes(request_number);
    if (backend.m_executions.size() >= max_counted_requests &&
        !backend.m_executions.contains(hash)) {
        ++counts.m_uncounted_executions;
        return;
    }
    const std::uint32_t execution_count = ++backend.m_executions[hash];
    if (execution_count < 2) {
        return;
    }
    backend.m_duplicate_count += execution_count == 2 ? 1 : 0;
    if (backend.m_duplicates.size() < max_listed_duplicates ||
        backend.m_duplicates.contains(request_number)) {
        backend.m_duplicates[request_number] = execution_count;
    }
}

// Effect of the version's defect on one call.
enum class defect { none, fails, slow };

// Share of calls that a failing version fails by default. A slow version slows down all calls by
// default.
constexpr std::uint64_t default_failing_permille = 300;

// Decides at random, according to the configured behaviour, how the defect affects one call.
// Records the time of the first affected call.
defect draw_defect(backend_state& backend, const std::string& path) {
    const backend_options& options = backend.m_options;
    const std::string& behaviour = options.m_behaviour;
    const bool slow = behaviour == "slow" || behaviour == "slow_under_load";
    const std::uint64_t permille = options.m_behaviour_permille >= 0
                                       ? static_cast<std::uint64_t>(options.m_behaviour_permille)
                                   : slow ? 1000
                                          : default_failing_permille;
    bool active = behaviour == "fails" || behaviour == "slow";
    if (behaviour == "fails_later") {
        active = steady_clock::now() - backend.m_behaviour_since >=
                     std::chrono::seconds(options.m_behaviour_after_s) ||
                 (options.m_behaviour_after_calls > 0 &&
                  backend.m_counters.m_started >=
                      static_cast<std::uint64_t>(options.m_behaviour_after_calls));
    } else if (behaviour == "slow_under_load") {
        active = backend.m_occupied_slots * 2 > options.m_slots;
    } else if (behaviour == "route_bad") {
        active = path.starts_with(options.m_behaviour_route);
    }
    if (!active || backend.m_random.below(1000) >= permille) {
        return defect::none;
    }
    if (backend.m_counters.m_first_defect_ms == 0) {
        backend.m_counters.m_first_defect_ms = now_unix_ms();
    }
    return slow ? defect::slow : defect::fails;
}

// Counts a call as shed and returns the refusal. The header states that the handler did not run.
http_answer shed_answer(backend_state& backend, unsigned status) {
    ++backend.m_counters.m_shed;
    http_answer answer =
        json_answer(json::object{{"instance", backend.m_options.m_instance}}, status);
    answer.m_headers.emplace_back("x-caraway-backend-shed", "1");
    answer.m_close_connection = backend.m_draining;
    return answer;
}

// Returns the answer of a handler that ran. The body identifies the request and the instance, and
// is padded to the size in x-response-bytes.
http_answer handler_answer(backend_state& backend, const http_call& call, unsigned status) {
    json::object body{{"instance", backend.m_options.m_instance},
                      {"version", backend.m_options.m_version},
                      {"service", backend.m_options.m_service},
                      {"path", call.m_path},
                      {"request", find_header(call.m_headers, "x-request-number")},
                      {"body_hash", xxh64_hex(call.m_body)},
                      {"padding", ""}};
    http_answer answer = json_answer(body, status);
    const auto requested_bytes = to_number(find_header(call.m_headers, "x-response-bytes"));
    if (requested_bytes && *requested_bytes > static_cast<std::int64_t>(answer.m_body.size())) {
        const std::size_t bytes =
            std::min(static_cast<std::size_t>(*requested_bytes), max_answer_bytes);
        body["padding"] = std::string(bytes - answer.m_body.size(), 'x');
        answer.m_body = json::serialize(body);
    }
    answer.m_close_connection = backend.m_draining;
    return answer;
}

// Calls the first path in x-chain through the own node and passes on the rest of the chain. Returns
// nothing on success or without a chain; otherwise returns the error answer for the caller.
std::optional<http_answer> call_onward(backend_state& backend, http_call& call, time_point deadline,
                                       asio::yield_context yield) {
    const std::string_view chain = find_header(call.m_headers, "x-chain");
    if (chain.empty() || !backend.m_egress) {
        return std::nullopt;
    }
    const std::size_t comma = chain.find(',');
    client_request request;
    request.m_method = call.m_method;
    request.m_target = chain.substr(0, comma);
    request.m_body = call.m_body;
    for (const char* name : {"traceparent", "x-caraway-hop", "x-caraway-first-sent"}) {
        if (const std::string_view value = find_header(call.m_headers, name); !value.empty()) {
            request.m_headers.emplace_back(name, value);
        }
    }
    // The suffix keeps numbers and keys unique for each hop, even if a service occurs twice in the
    // chain.
    for (const char* name : {"x-request-number", "idempotency-key"}) {
        if (const std::string_view value = find_header(call.m_headers, name); !value.empty()) {
            request.m_headers.emplace_back(name, std::string(value) + ".1");
        }
    }
    time_point exchange_deadline = steady_clock::now() + default_onward_timeout;
    if (deadline != time_point::max()) {
        exchange_deadline = deadline;
        const auto remaining_ms =
            std::chrono::duration_cast<milliseconds>(deadline - steady_clock::now()).count();
        request.m_headers.emplace_back("x-caraway-deadline-ms",
                                       std::to_string(std::max<std::int64_t>(1, remaining_ms)));
    }
    if (comma != std::string_view::npos) {
        request.m_headers.emplace_back("x-chain", chain.substr(comma + 1));
    }
    client_answer onward;
    const exchange_result result =
        backend.m_egress->exchange(request, onward, exchange_deadline, yield, &call.m_on_close);
    if (result == exchange_result::answered && onward.m_status == 200) {
        return std::nullopt;
    }
    http_answer answer = handler_answer(backend, call, 502);
    const std::string_view reported_outcome = find_header(onward.m_headers, "x-caraway-outcome");
    std::string_view outcome = reported_outcome;
    if (result != exchange_result::answered) {
        outcome = result == exchange_result::connect_failed ? "not-run" : "unknown";
    }
    if (!outcome.empty()) {
        answer.m_headers.emplace_back("x-caraway-outcome", outcome);
    }
    if (const auto failure_reason = find_header(onward.m_headers, "x-caraway-reason");
        !failure_reason.empty()) {
        answer.m_headers.emplace_back("x-caraway-reason", failure_reason);
    }
    return answer;
}

// Runs the handler of a call that holds a slot. A cold instance that is overloaded fails all calls
// for overload_failure_time and is completely cold afterwards.
http_answer run_handler(backend_state& backend, http_call& call, time_point deadline,
                        asio::yield_context yield) {
    record_execution(backend, std::string(find_header(call.m_headers, "x-request-number")));
    const bool overloaded =
        backend.m_occupied_slots > 1 && backend.m_occupied_slots * 4 > backend.m_options.m_slots;
    if (!has_overload_failure(backend) && is_cold(backend) && overloaded) {
        ++backend.m_counters.m_overload_failures;
        backend.m_overload_failure_until = steady_clock::now() + overload_failure_time;
        set_cold_since(backend, backend.m_overload_failure_until);
    }
    const defect call_defect = draw_defect(backend, call.m_path);
    if (has_overload_failure(backend) || call_defect == defect::fails) {
        ++backend.m_counters.m_failed;
        return handler_answer(backend, call, 500);
    }
    const double variation = 0.5 + backend.m_random.unit(); // mean 1
    const double handler_ms = backend.m_options.m_service_ms * variation *
                              (1 + cold_slowdown * coldness(backend)) *
                              (call_defect == defect::slow ? slow_version_factor : 1.0);
    const time_point completion =
        steady_clock::now() +
        std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(handler_ms));
    if (!call.wait_until(std::min(completion, deadline), yield)) {
        ++backend.m_counters.m_cancelled;
        return {};
    }
    if (completion > deadline) {
        ++backend.m_counters.m_deadline_exceeded;
        return handler_answer(backend, call, 504);
    }
    if (has_overload_failure(backend)) {
        ++backend.m_counters.m_failed;
        return handler_answer(backend, call, 500);
    }
    const auto onward_failure = call_onward(backend, call, deadline, yield);
    if (call.m_caller_closed) {
        ++backend.m_counters.m_cancelled;
        return {};
    }
    if (onward_failure) {
        ++backend.m_counters.m_onward_failed;
        return *onward_failure;
    }
    backend.m_served_since_cold += 1;
    ++backend.m_counters.m_answered;
    return handler_answer(backend, call, 200);
}

// Returns the true health, in the form of a health answer.
json::object current_health(const backend_state& backend) {
    const bool healthy = !has_overload_failure(backend) && !backend.m_draining;
    return {{"healthy", healthy},
            {"running", backend.m_occupied_slots},
            {"load_permille", backend.m_occupied_slots * 1000 /
                                  std::max<std::int64_t>(1, backend.m_options.m_slots)}};
}

// Answers GET /healthz after the probe's cost. The answer is wrong if the health option is "lying"
// and 5 s old if it is "lagging".
http_answer answer_health_probe(backend_state& backend, http_call& call,
                                asio::yield_context yield) {
    ++backend.m_counters.m_probes;
    call.wait_until(steady_clock::now() + milliseconds(backend.m_options.m_probe_ms), yield);
    json::object body = current_health(backend);
    if (backend.m_options.m_health == "lying") {
        body = {{"healthy", true}, {"running", 0}, {"load_permille", 0}};
    } else if (backend.m_options.m_health == "lagging" && !backend.m_health_samples.empty()) {
        body = backend.m_health_samples.front();
    }
    return json_answer(body, body["healthy"].as_bool() ? 200 : 503);
}

// Answers one call: acquires a slot, runs the handler and injects the answer's faults. A health
// probe occupies a slot as well.
http_answer handle_call(backend_state& backend, http_call& call, asio::yield_context yield) {
    if (backend.m_draining && call.m_path != "/healthz") {
        return shed_answer(backend, 503);
    }
    time_point deadline = time_point::max();
    if (const auto remaining_ms = to_number(find_header(call.m_headers, "x-caraway-deadline-ms"))) {
        deadline = steady_clock::now() + milliseconds(*remaining_ms);
    }
    if (deadline <= steady_clock::now() || !take_slot(backend, call, deadline, yield)) {
        return shed_answer(backend, steady_clock::now() >= deadline ? 504 : 503);
    }
    http_answer answer = call.m_path == "/healthz" ? answer_health_probe(backend, call, yield)
                                                   : run_handler(backend, call, deadline, yield);
    release_slot(backend);
    if (backend.m_options.m_answer_delay_ms > 0) {
        call.wait_until(steady_clock::now() + milliseconds(backend.m_options.m_answer_delay_ms),
                        yield);
    }
    if (backend.m_random.below(1000) <
        static_cast<std::uint64_t>(backend.m_options.m_truncate_permille)) {
        answer.m_truncate_body_after = answer.m_body.size() / 2;
    }
    return answer;
}

// Returns the counters for GET /control/executions.
json::object execution_report(const backend_state& backend, const http_server& server) {
    const counters& counts = backend.m_counters;
    json::object duplicates;
    for (const auto& [request_number, execution_count] : backend.m_duplicates) {
        duplicates[request_number] = execution_count;
    }
    return {{"started", counts.m_started},
            {"answered", counts.m_answered},
            {"failed", counts.m_failed},
            {"shed", counts.m_shed},
            {"cancelled", counts.m_cancelled},
            {"deadline", counts.m_deadline_exceeded},
            {"onward_failed", counts.m_onward_failed},
            {"probes", counts.m_probes},
            {"falls", counts.m_overload_failures},
            {"distinct", backend.m_executions.size()},
            {"unrecorded", counts.m_uncounted_executions},
            {"run_again_total", backend.m_duplicate_count},
            {"run_again", duplicates},
            {"max_concurrency", counts.m_max_concurrency},
            {"running", backend.m_occupied_slots},
            {"queued", backend.m_queue.size()},
            {"first_started_ms", counts.m_first_started_ms},
            {"last_started_ms", counts.m_last_started_ms},
            {"first_bad_ms", counts.m_first_defect_ms},
            {"cold", is_cold(backend)},
            {"connections", server.connections()},
            {"accepted_connections", server.accepted_connections()}};
}

// Applies one field of a control request. Returns false for an unknown name or a wrong type.
bool apply_control_option(backend_state& backend, std::string_view key, const json::value& value) {
    backend_options& options = backend.m_options;
    if (key == "cold" && value.is_bool()) {
        if (value.get_bool()) {
            set_cold_since(backend, steady_clock::now());
        } else {
            set_cold_since(backend, time_point{});
        }
        return true;
    }
    if (key == "freeze_ms" && value.is_int64()) {
        asio::post(backend.m_context,
                   [ms = value.get_int64()] { std::this_thread::sleep_for(milliseconds(ms)); });
        return true;
    }
    const std::pair<std::string_view, std::string*> string_options[] = {
        {"behaviour", &options.m_behaviour},
        {"behaviour_route", &options.m_behaviour_route},
        {"health", &options.m_health}};
    for (const auto& [name, field] : string_options) {
        if (key == name && value.is_string()) {
            *field = value.get_string();
            backend.m_behaviour_since =
                name == "behaviour" ? steady_clock::now() : backend.m_behaviour_since;
            return true;
        }
    }
    const std::pair<std::string_view, std::int64_t*> integer_options[] = {
        {"behaviour_permille", &options.m_behaviour_permille},
        {"behaviour_after_s", &options.m_behaviour_after_s},
        {"answer_delay_ms", &options.m_answer_delay_ms},
        {"truncate_permille", &options.m_truncate_permille}};
    for (const auto& [name, field] : integer_options) {
        if (key == name && value.is_int64()) {
            *field = value.get_int64();
            return true;
        }
    }
    const std::pair<std::string_view, double*> real_options[] = {
        {"service_ms", &options.m_service_ms}, {"cold_s", &options.m_cold_s}};
    for (const auto& [name, field] : real_options) {
        if (key == name && value.is_number()) {
            *field = value.to_number<double>();
            return true;
        }
    }
    return false;
}

// Answers a request to the control address. The fields that precede a rejected one stay applied.
http_answer handle_control(backend_state& backend, const http_server& server,
                           const http_call& call) {
    if (call.m_path == "/control/executions") {
        return json_answer(execution_report(backend, server));
    }
    if (call.m_path == "/control/ran") {
        const auto found =
            backend.m_executions.find(hash_bytes(call.query("request").value_or("")));
        return json_answer(
            json::object{{"ran", found == backend.m_executions.end() ? 0 : found->second}});
    }
    json::error_code ec;
    const json::value body = json::parse(call.m_body, ec);
    if (call.m_method != "POST" || call.m_path != "/control" || ec || !body.is_object()) {
        return json_answer(json::object{{"error", "malformed control request"}}, 400);
    }
    for (const auto& [key, value] : body.as_object()) {
        if (!apply_control_option(backend, key, value)) {
            return json_answer(json::object{{"unknown", key}}, 400);
        }
    }
    return json_answer(json::object{{"ok", true}});
}

// Samples the health periodically and keeps the samples that the lagging health answer needs. Does
// not return.
void sample_health(backend_state& backend, asio::yield_context yield) {
    asio::steady_timer timer(backend.m_context);
    for (;;) {
        backend.m_health_samples.push_back(current_health(backend));
        if (backend.m_health_samples.size() > health_lag_samples) {
            backend.m_health_samples.pop_front();
        }
        boost::system::error_code ec;
        timer.expires_after(health_sample_interval);
        timer.async_wait(yield[ec]);
    }
}

// Refuses new calls, waits for the calls in progress, at most for drain_timeout, and stops the
// context.
void drain(backend_state& backend, http_server& server, asio::yield_context yield) {
    backend.m_draining = true;
    server.stop_accepting();
    log_line("info", "draining", {{"instance", backend.m_options.m_instance}});
    const time_point drain_deadline = steady_clock::now() + drain_timeout;
    asio::steady_timer timer(backend.m_context);
    while (server.calls_in_progress() > 0 && steady_clock::now() < drain_deadline) {
        boost::system::error_code ec;
        timer.expires_after(milliseconds(10));
        timer.async_wait(yield[ec]);
    }
    log_line("info", "stopped", {{"instance", backend.m_options.m_instance}});
    backend.m_context.stop();
}

} // namespace
} // namespace caraway::standins

int main(int argc, const char** argv) {
    using namespace caraway;
    using namespace caraway::standins;
    std::string listen = "127.0.0.1:9000";
    std::string control_address;
    std::string egress;
    backend_options options;
    parse_command_line_or_exit(
        argc, argv,
        std::vector<option_spec>{
            {"listen", &listen, "IP:PORT for calls"},
            {"control", &control_address, "IP:PORT for fault injection and counters"},
            {"egress", &egress, "IP:PORT of the node for onward calls"},
            {"instance", &options.m_instance, "name of the instance"},
            {"service", &options.m_service, "name of the service"},
            {"version", &options.m_version, "version of the backend server"},
            {"slots", &options.m_slots, "maximum calls handled concurrently"},
            {"connections", &options.m_connections, "maximum connections; more are reset"},
            {"connection-ms", &options.m_accept_delay_ms, "delay for accepting a connection"},
            {"probe-ms", &options.m_probe_ms, "duration of GET /healthz"},
            {"health", &options.m_health, "honest, lagging (5 s old) or lying"},
            {"service-ms", &options.m_service_ms, "mean handler time"},
            {"cold-s", &options.m_cold_s, "maximum duration of a cold start, 0 for none"},
            {"behaviour", &options.m_behaviour,
             "good, fails, fails_later, slow, slow_under_load, route_bad"},
            {"behaviour-permille", &options.m_behaviour_permille,
             "share of calls affected; -1: 300, or 1000 for slow behaviours"},
            {"behaviour-after-s", &options.m_behaviour_after_s,
             "fails_later: time before the first failure"},
            {"behaviour-after-calls", &options.m_behaviour_after_calls,
             "fails_later: calls before the first failure, 0 for no such limit"},
            {"behaviour-route", &options.m_behaviour_route, "route_bad: path prefix"},
            {"seed", &options.m_seed, "seed of handler times and failures"}});
    boost::asio::io_context context(1);
    backend_state backend(context, options);
    if (!egress.empty()) {
        backend.m_egress = std::make_unique<http_client>(context, endpoint_or_exit(egress));
    }
    http_server_options server_options;
    server_options.m_connection_limit = static_cast<std::size_t>(options.m_connections);
    server_options.m_accept_delay = milliseconds(options.m_accept_delay_ms);
    server_options.m_watch_for_close = true;
    const auto server =
        start_server_or_exit(context, endpoint_or_exit(listen), server_options,
                             [&](http_call& call, boost::asio::yield_context yield) {
                                 return handle_call(backend, call, yield);
                             });
    std::unique_ptr<http_server> control_server;
    if (!control_address.empty()) {
        control_server = start_server_or_exit(context, endpoint_or_exit(control_address), {},
                                              [&](http_call& call, boost::asio::yield_context) {
                                                  return handle_control(backend, *server, call);
                                              });
    }
    boost::asio::spawn(
        context, [&](boost::asio::yield_context yield) { sample_health(backend, yield); },
        boost::asio::detached);
    log_line(
        "info", "listening",
        {{"program", "backend_server"}, {"instance", options.m_instance}, {"address", listen}});
    run_until_signal(context, [&] {
        boost::asio::spawn(
            context, [&](boost::asio::yield_context yield) { drain(backend, *server, yield); },
            boost::asio::detached);
    });
}
