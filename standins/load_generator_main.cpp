// Load generator for a list of entry addresses, either open-loop with Poisson arrivals or with a
// fixed concurrency. Checks each answer against its request and counts the outcomes from the
// caller's view.
#include <algorithm>
#include <array>
#include <bit>
#include <cmath>
#include <cstdio>
#include <map>

#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include "base/random.hpp"
#include "standins/common.hpp"
#include "standins/http_client.hpp"
#include "standins/http_server.hpp"

namespace caraway::standins {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::steady_clock;

// Maximum number of outstanding requests in open loop. Arrivals above it are counted as not sent.
constexpr std::int64_t max_in_flight = 20'000;
constexpr milliseconds default_answer_timeout{30'000}; // for requests without a deadline
// Extra time for the answer that reports a passed deadline.
constexpr milliseconds deadline_grace{1'000};
constexpr int max_resends = 3;
// Limit for each kind of name, such as versions, reasons and statuses.
constexpr std::size_t max_counted_names = 256;

// Histogram of latencies in microseconds. It has 64 buckets per power of two, so a percentile is at
// most 1.6% too high.
class histogram {
public:
    // Counts a latency.
    void add(std::uint64_t us) {
        ++m_counts[index(us)];
        ++m_total;
        m_max = std::max(m_max, us);
    }

    // Returns the count, percentiles and maximum, in microseconds.
    json::object summary() const {
        return {{"count", m_total},      {"p50", quantile(0.5)},     {"p90", quantile(0.9)},
                {"p99", quantile(0.99)}, {"p99.9", quantile(0.999)}, {"max", m_max}};
    }

private:
    static constexpr std::size_t exact_buckets = 64; // lower values have a bucket each

    // Returns the bucket of a value.
    static std::size_t index(std::uint64_t us) {
        if (us < exact_buckets) {
            return us;
        }
        const auto shift = static_cast<std::size_t>(std::bit_width(us)) - 7;
        return std::min(s_size - 1, shift * exact_buckets + (us >> shift));
    }

    // Returns the highest value of a bucket.
    static std::uint64_t upper_bound(std::size_t bucket) {
        if (bucket < 2 * exact_buckets) {
            return bucket;
        }
        const std::size_t shift = bucket / exact_buckets - 1;
        return ((bucket - shift * exact_buckets + 1) << shift) - 1;
    }

    // Returns an upper bound of the quantile that is given as a fraction from 0 to 1, or 0 if there
    // are no values.
    std::uint64_t quantile(double fraction) const {
        const auto target_count =
            static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(m_total)));
        std::uint64_t cumulative = 0;
        for (std::size_t i = 0; i < s_size; ++i) {
            cumulative += m_counts[i];
            if (cumulative >= target_count && cumulative > 0) {
                return std::min(upper_bound(i), m_max);
            }
        }
        return m_max;
    }

    static constexpr std::size_t s_size = exact_buckets * 36; // covers up to 2^41 us
    std::array<std::uint64_t, s_size> m_counts{};
    std::uint64_t m_total = 0;
    std::uint64_t m_max = 0;
};

// Command-line options.
struct generator_options {
    std::string m_summary_path;
    std::string m_records;
    std::string m_run_id = "run";
    std::string m_chain;
    double m_rate = 0;
    std::int64_t m_concurrency = 0;
    double m_duration_s = 10;
    std::int64_t m_requests = 0;
    std::int64_t m_seed = 1;
    std::int64_t m_body_bytes = 100;
    std::int64_t m_response_bytes = 0;
    std::int64_t m_deadline_ms = 0;
    std::int64_t m_keyed_permille = 0;
    std::int64_t m_client_delay_ms = 0;
    bool m_resend = false;
};

// A path that is chosen with a probability in proportion to its weight.
struct weighted_path {
    std::string m_path;
    std::uint64_t m_weight = 1;
};

// Counts by name. Further names are counted as "other" once there are max_counted_names.
struct bounded_counter {
    std::map<std::string, std::uint64_t> m_counts;

    void add(const std::string& name) {
        const bool has_capacity = m_counts.size() < max_counted_names || m_counts.contains(name);
        ++m_counts[has_capacity ? name : "other"];
    }
    json::object summary() const {
        json::object all;
        for (const auto& [name, count] : m_counts) {
            all[name] = count;
        }
        return all;
    }
};

// Results of a set of requests, such as those to one path.
struct result_group {
    bounded_counter m_outcomes;
    bounded_counter m_statuses;
    histogram m_latency; // of requests with the outcome "answered"

    json::object summary() const {
        return {{"outcomes", m_outcomes.summary()},
                {"status", m_statuses.summary()},
                {"latency_us", m_latency.summary()}};
    }
};

// A request and its result. It covers all attempts; the result is that of the last one.
struct request_record {
    std::string m_number;
    std::string m_path;
    std::string m_body;
    std::string m_body_hash;
    bool m_keyed = false;
    std::int64_t m_sent_ms = 0;
    std::int64_t m_ended_ms = 0;
    std::string m_outcome;
    std::string m_reason;
    unsigned m_status = 0;
    std::string m_instance;
    std::string m_version;
    std::string m_config_version;
    int m_attempts = 0;
    std::uint64_t m_latency_us = 0;
};

// State of the load generator. Used by one thread only.
struct generator_state {
    generator_state(asio::io_context& context, const generator_options& options)
        : m_context(context), m_options(options),
          m_random(static_cast<std::uint64_t>(options.m_seed)) {}

    asio::io_context& m_context;
    generator_options m_options;
    random_source m_random;
    std::vector<std::unique_ptr<http_client>> m_targets;
    std::vector<weighted_path> m_paths;
    std::uint64_t m_total_weight = 0;
    std::FILE* m_records = nullptr;
    time_point m_started = steady_clock::now();
    time_point m_last_sent = m_started;
    bool m_stopping = false;
    std::uint64_t m_issued = 0;
    std::uint64_t m_not_sent = 0;
    std::uint64_t m_resent = 0;
    std::uint64_t m_keyed = 0;
    std::int64_t m_in_flight = 0;
    std::int64_t m_max_in_flight = 0;
    result_group m_totals;
    bounded_counter m_not_run_reasons;
    bounded_counter m_other_reasons;
    std::map<std::string, result_group> m_by_path;
    std::map<std::string, result_group> m_by_version;
};

// Creates the next request with a random path and body, and at random an idempotency key.
request_record make_request(generator_state& generator) {
    request_record record;
    record.m_number = fmt::format("{}-{}", generator.m_options.m_run_id, generator.m_issued++);
    std::uint64_t remaining_weight = generator.m_random.below(generator.m_total_weight);
    for (const weighted_path& path : generator.m_paths) {
        if (remaining_weight < path.m_weight) {
            record.m_path = path.m_path;
            break;
        }
        remaining_weight -= path.m_weight;
    }
    record.m_body.resize(static_cast<std::size_t>(generator.m_options.m_body_bytes));
    for (char& c : record.m_body) {
        c = static_cast<char>('a' + generator.m_random.below(26));
    }
    record.m_body_hash = xxh64_hex(record.m_body);
    record.m_keyed = generator.m_random.below(1000) <
                     static_cast<std::uint64_t>(generator.m_options.m_keyed_permille);
    generator.m_keyed += record.m_keyed ? 1 : 0;
    return record;
}

// Returns the HTTP request to send for a record. All attempts send the same one.
client_request to_http_request(const generator_state& generator, const request_record& record) {
    const generator_options& options = generator.m_options;
    client_request request;
    request.m_method = record.m_body.empty() && !record.m_keyed ? "GET" : "POST";
    request.m_target = record.m_path;
    request.m_body = record.m_body;
    request.m_headers.emplace_back("x-request-number", record.m_number);
    if (record.m_keyed) {
        request.m_headers.emplace_back("idempotency-key", record.m_number);
        request.m_headers.emplace_back("x-caraway-first-sent", std::to_string(record.m_sent_ms));
    }
    if (options.m_deadline_ms > 0) {
        request.m_headers.emplace_back("x-caraway-deadline-ms",
                                       std::to_string(options.m_deadline_ms));
    }
    if (options.m_response_bytes > 0) {
        request.m_headers.emplace_back("x-response-bytes",
                                       std::to_string(options.m_response_bytes));
    }
    if (!options.m_chain.empty()) {
        request.m_headers.emplace_back("x-chain", options.m_chain);
    }
    return request;
}

// Returns a string field of a JSON object, or an empty string if it is absent or of another type.
std::string string_field(const json::object& body, std::string_view key) {
    const json::value* value = body.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

// Compares a backend server's answer with its request. An answer that doesn't match the request
// gets the outcome "crossed", and one that is too short gets "cut".
void check_answer(const generator_state& generator, request_record& record,
                  const client_answer& answer) {
    json::error_code ec;
    const json::value parsed = json::parse(answer.m_body, ec);
    const bool from_handler = !ec && parsed.is_object() && parsed.as_object().contains("request");
    const auto requested_bytes = static_cast<std::size_t>(generator.m_options.m_response_bytes);
    if (answer.m_status == 200 && answer.m_body.size() < requested_bytes) {
        record.m_outcome = "cut";
        record.m_reason = "short-body";
        return;
    }
    if (!from_handler) {
        if (answer.m_status == 200) {
            record.m_outcome = "crossed";
            record.m_reason = "not-an-answer";
        }
        return;
    }
    const json::object& body = parsed.as_object();
    record.m_instance = string_field(body, "instance");
    record.m_version = string_field(body, "version");
    if (string_field(body, "request") != record.m_number) {
        record.m_outcome = "crossed";
        record.m_reason = "request-number";
    } else if (string_field(body, "body_hash") != record.m_body_hash) {
        record.m_outcome = "crossed";
        record.m_reason = "body-hash";
    } else if (string_field(body, "path") != record.m_path.substr(0, record.m_path.find('?'))) {
        record.m_outcome = "crossed";
        record.m_reason = "path";
    } else if (answer.m_status == 200 && requested_bytes > 0 &&
               answer.m_body.size() > requested_bytes && !string_field(body, "padding").empty()) {
        record.m_outcome = "crossed";
        record.m_reason = "length";
    }
}

// Sets the status, outcome and reason of the record from the result of one attempt. Besides the
// outcomes of nodes there are "lost" (no answer, or not a complete one in time), "cut" (incomplete
// answer) and "crossed" (answer that doesn't match the request).
void classify_attempt(const generator_state& generator, request_record& record,
                      exchange_result result, const client_answer& answer) {
    record.m_status = result == exchange_result::answered ? answer.m_status : 0;
    record.m_instance = find_header(answer.m_headers, "x-caraway-instance");
    record.m_version = find_header(answer.m_headers, "x-caraway-backend-version");
    record.m_config_version = find_header(answer.m_headers, "x-caraway-config-version");
    record.m_reason.clear();
    switch (result) {
    case exchange_result::connect_failed:
        record.m_outcome = "not-run";
        record.m_reason = "connect-failed";
        return;
    case exchange_result::closed_within_answer:
        record.m_outcome = "cut";
        record.m_reason = "connection-cut";
        return;
    case exchange_result::closed_before_answer:
        record.m_outcome = "lost";
        record.m_reason = "connection-closed";
        return;
    case exchange_result::timed_out:
        record.m_outcome = "lost";
        record.m_reason = "timed-out";
        return;
    case exchange_result::answered:
        break;
    }
    record.m_outcome = find_header(answer.m_headers, "x-caraway-outcome");
    record.m_reason = find_header(answer.m_headers, "x-caraway-reason");
    if (record.m_outcome.empty() &&
        !find_header(answer.m_headers, "x-caraway-backend-shed").empty()) {
        record.m_outcome = "not-run"; // answered by a backend server without a node in between
        record.m_reason = "backend-shed";
    } else if (record.m_outcome.empty()) {
        record.m_outcome = "answered";
    }
    if (record.m_outcome == "answered") {
        check_answer(generator, record, answer);
    }
}

// Returns whether to send a request again. Only a request with an idempotency key is sent again,
// and only if it may have run.
bool should_resend(const generator_state& generator, const request_record& record) {
    return generator.m_options.m_resend && record.m_keyed && record.m_attempts <= max_resends &&
           (record.m_outcome == "unknown" || record.m_outcome == "cut" ||
            record.m_outcome == "lost");
}

// Adds a finished request to a group.
void add_result(result_group& results, const request_record& record) {
    results.m_outcomes.add(record.m_outcome);
    results.m_statuses.add(std::to_string(record.m_status));
    if (record.m_outcome == "answered") {
        results.m_latency.add(record.m_latency_us);
    }
}

// Writes a finished request as one line of JSON to the records file, if there is one.
void write_record(generator_state& generator, const request_record& record) {
    if (generator.m_records == nullptr) {
        return;
    }
    const json::object row{{"number", record.m_number},
                           {"path", record.m_path},
                           {"keyed", record.m_keyed},
                           {"sent_ms", record.m_sent_ms},
                           {"ended_ms", record.m_ended_ms},
                           {"outcome", record.m_outcome},
                           {"reason", record.m_reason},
                           {"status", record.m_status},
                           {"instance", record.m_instance},
                           {"version", record.m_version},
                           {"attempts", record.m_attempts},
                           {"latency_us", record.m_latency_us},
                           {"config_version", record.m_config_version}};
    const std::string line = json::serialize(row) + "\n";
    std::fwrite(line.data(), 1, line.size(), generator.m_records);
}

// Counts a finished request in all groups and writes its record.
void record_result(generator_state& generator, request_record& record) {
    add_result(generator.m_totals, record);
    add_result(generator.m_by_path[record.m_path], record);
    const std::string version = record.m_version.empty() ? "none" : record.m_version;
    const bool has_capacity = generator.m_by_version.size() < max_counted_names ||
                              generator.m_by_version.contains(version);
    add_result(generator.m_by_version[has_capacity ? version : "other"], record);
    if (record.m_outcome == "not-run") {
        generator.m_not_run_reasons.add(record.m_reason);
    } else if (!record.m_reason.empty()) {
        generator.m_other_reasons.add(record.m_outcome + ": " + record.m_reason);
    }
    write_record(generator, record);
}

// Suspends the coroutine for the given time.
void wait_for(generator_state& generator, milliseconds time, asio::yield_context yield) {
    if (time.count() == 0) {
        return;
    }
    boost::system::error_code ec;
    asio::steady_timer timer(generator.m_context, time);
    timer.async_wait(yield[ec]);
}

// Sends one request to a random target, if necessary again to the following targets, and counts it.
void run_request(generator_state& generator, asio::yield_context yield) {
    request_record record = make_request(generator);
    const time_point start = steady_clock::now();
    const milliseconds client_delay(generator.m_options.m_client_delay_ms);
    const milliseconds timeout =
        generator.m_options.m_deadline_ms > 0
            ? milliseconds(generator.m_options.m_deadline_ms) + deadline_grace
            : default_answer_timeout;
    record.m_sent_ms = now_unix_ms();
    generator.m_last_sent = start;
    ++generator.m_in_flight;
    generator.m_max_in_flight = std::max(generator.m_max_in_flight, generator.m_in_flight);
    const client_request request = to_http_request(generator, record);
    std::uint64_t target = generator.m_random.below(generator.m_targets.size());
    do {
        if (record.m_attempts > 0) {
            ++generator.m_resent;
            target = (target + 1) % generator.m_targets.size();
        }
        ++record.m_attempts;
        client_answer answer;
        wait_for(generator, client_delay, yield);
        const exchange_result result = generator.m_targets[target]->exchange(
            request, answer, steady_clock::now() + timeout, yield);
        wait_for(generator, client_delay, yield);
        classify_attempt(generator, record, result, answer);
    } while (should_resend(generator, record));
    record.m_ended_ms = now_unix_ms();
    record.m_latency_us = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now() - start).count());
    --generator.m_in_flight;
    record_result(generator, record);
}

// Returns whether no more requests may start: on a signal, or once the number of requests or the
// duration is reached.
bool is_finished(const generator_state& generator) {
    const auto requests = static_cast<std::uint64_t>(generator.m_options.m_requests);
    return generator.m_stopping || (requests > 0 && generator.m_issued >= requests) ||
           steady_clock::now() - generator.m_started >=
               std::chrono::duration<double>(generator.m_options.m_duration_s);
}

// Starts requests at exponentially distributed intervals, regardless of whether earlier ones have
// ended.
void run_open_loop(generator_state& generator, asio::yield_context yield) {
    asio::steady_timer timer(generator.m_context);
    time_point next = steady_clock::now();
    while (!is_finished(generator)) {
        next += std::chrono::duration_cast<duration>(std::chrono::duration<double>(
            -std::log(1.0 - generator.m_random.unit()) / generator.m_options.m_rate));
        if (next > steady_clock::now()) {
            boost::system::error_code ec;
            timer.expires_at(next);
            timer.async_wait(yield[ec]);
        } else {
            // Behind schedule: lets other coroutines read answers.
            asio::post(generator.m_context, yield);
        }
        if (is_finished(generator)) {
            break;
        }
        if (generator.m_in_flight >= max_in_flight) {
            ++generator.m_not_sent;
            continue;
        }
        asio::spawn(
            generator.m_context,
            [&generator](asio::yield_context inner_yield) { run_request(generator, inner_yield); },
            asio::detached);
    }
}

// Returns the summary of the run.
json::object summary(const generator_state& generator) {
    const double elapsed_s =
        std::chrono::duration<double>(generator.m_last_sent - generator.m_started).count();
    const auto outcome = [&generator](const char* name) {
        const auto found = generator.m_totals.m_outcomes.m_counts.find(name);
        return found == generator.m_totals.m_outcomes.m_counts.end() ? 0 : found->second;
    };
    json::object by_path;
    for (const auto& [path, counted] : generator.m_by_path) {
        by_path[path] = counted.summary();
    }
    json::object by_version;
    for (const auto& [version, counted] : generator.m_by_version) {
        by_version[version] = counted.summary();
    }
    return {
        {"run_id", generator.m_options.m_run_id},
        {"seed", generator.m_options.m_seed},
        {"sent", generator.m_issued},
        {"keyed", generator.m_keyed},
        {"resent", generator.m_resent},
        {"not_sent", generator.m_not_sent},
        {"answered", outcome("answered")},
        {"not_run", outcome("not-run")},
        {"not_run_reasons", generator.m_not_run_reasons.summary()},
        {"unknown", outcome("unknown")},
        {"deadline", outcome("deadline")},
        {"crossed", outcome("crossed")},
        {"cut", outcome("cut")},
        {"lost", outcome("lost")},
        {"other_reasons", generator.m_other_reasons.summary()},
        {"status", generator.m_totals.m_statuses.summary()},
        {"latency_us", generator.m_totals.m_latency.summary()},
        {"by_path", by_path},
        {"by_version", by_version},
        {"max_in_flight", generator.m_max_in_flight},
        {"elapsed_s", elapsed_s},
        {"rate_per_s", elapsed_s > 0 ? static_cast<double>(generator.m_issued) / elapsed_s : 0.0}};
}

// Writes the summary to the file given by --out or to standard output, and closes the records file.
// Exits the process if the file can't be written.
void write_summary(const generator_state& generator) {
    std::FILE* out = generator.m_options.m_summary_path.empty()
                         ? stdout
                         : std::fopen(generator.m_options.m_summary_path.c_str(), "w");
    if (out == nullptr) {
        exit_with_error(
            {error_kind::invalid_settings, "can't write " + generator.m_options.m_summary_path});
    }
    const std::string text = json::serialize(summary(generator)) + "\n";
    std::fwrite(text.data(), 1, text.size(), out);
    std::fclose(out);
    if (generator.m_records != nullptr) {
        std::fclose(generator.m_records);
    }
}

// Generates the load, waits for the outstanding requests, writes the summary and stops the context.
void run_load(generator_state& generator, asio::yield_context yield) {
    generator.m_started = steady_clock::now();
    if (generator.m_options.m_rate > 0) {
        run_open_loop(generator, yield);
    } else {
        for (std::int64_t i = 0; i < generator.m_options.m_concurrency; ++i) {
            asio::spawn(
                generator.m_context,
                [&generator](asio::yield_context inner_yield) {
                    while (!is_finished(generator)) {
                        run_request(generator, inner_yield);
                    }
                },
                asio::detached);
        }
    }
    while (!is_finished(generator) || generator.m_in_flight > 0) {
        wait_for(generator, milliseconds(5), yield);
    }
    write_summary(generator);
    generator.m_context.stop();
}

// Parses PATH[:WEIGHT]. On an error, logs the reason and exits the process.
weighted_path parse_path_or_exit(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return {text, 1};
    }
    const auto weight = to_number(std::string_view(text).substr(colon + 1));
    if (!weight || *weight < 1) {
        exit_with_error({error_kind::usage, "'" + text + "' is not PATH[:WEIGHT]"});
    }
    return {text.substr(0, colon), static_cast<std::uint64_t>(*weight)};
}

} // namespace
} // namespace caraway::standins

int main(int argc, const char** argv) {
    using namespace caraway;
    using namespace caraway::standins;
    generator_options options;
    std::vector<std::string> targets;
    std::vector<std::string> paths;
    parse_command_line_or_exit(
        argc, argv,
        std::vector<option_spec>{
            {"target", &targets, "IP:PORT of an entry, may be repeated"},
            {"path", &paths, "PATH[:WEIGHT], may be repeated"},
            {"rate", &options.m_rate,
             "requests per second in open loop; 0 for a fixed concurrency"},
            {"concurrency", &options.m_concurrency, "requests in flight at any time"},
            {"duration-s", &options.m_duration_s, "time after which no more requests start"},
            {"requests", &options.m_requests, "maximum number of requests, 0 for no limit"},
            {"seed", &options.m_seed, "seed of arrivals, paths, bodies and targets"},
            {"body-bytes", &options.m_body_bytes, "size of the request body; 0 sends GET"},
            {"response-bytes", &options.m_response_bytes, "requested size of the answer"},
            {"deadline-ms", &options.m_deadline_ms, "deadline of each request, 0 for none"},
            {"keyed-permille", &options.m_keyed_permille,
             "share of requests with an idempotency key"},
            {"resend", &options.m_resend,
             "send keyed requests again if they are unknown, cut or lost"},
            {"chain", &options.m_chain, "value of x-chain: paths of onward calls"},
            {"client-delay-ms", &options.m_client_delay_ms,
             "delay to and from the entry, each way"},
            {"out", &options.m_summary_path, "file for the JSON summary"},
            {"records", &options.m_records, "file for one JSON line per request"},
            {"run-id", &options.m_run_id, "prefix of request numbers"}});
    if (targets.empty() || (options.m_rate <= 0 && options.m_concurrency <= 0)) {
        exit_with_error(
            {error_kind::usage, "--target and one of --rate and --concurrency are needed"});
    }
    boost::asio::io_context context(1);
    generator_state generator(context, options);
    for (const std::string& target : targets) {
        generator.m_targets.push_back(
            std::make_unique<http_client>(context, endpoint_or_exit(target)));
    }
    for (const std::string& path : paths.empty() ? std::vector<std::string>{"/"} : paths) {
        generator.m_paths.push_back(parse_path_or_exit(path));
        generator.m_total_weight += generator.m_paths.back().m_weight;
    }
    if (!options.m_records.empty()) {
        generator.m_records = std::fopen(options.m_records.c_str(), "w");
        if (generator.m_records == nullptr) {
            exit_with_error({error_kind::invalid_settings, "can't write " + options.m_records});
        }
    }
    boost::asio::spawn(
        context, [&](boost::asio::yield_context yield) { run_load(generator, yield); },
        boost::asio::detached);
    log_line("info", "started", {{"program", "load_generator"}, {"run_id", options.m_run_id}});
    run_until_signal(context, [&] { generator.m_stopping = true; });
}
