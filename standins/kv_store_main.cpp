// Stand-in for the platform's key-value service. Provides values with revisions, compare-and-swap,
// leases and watches, and injects the faults of the real service.
#include <algorithm>
#include <list>
#include <map>
#include <set>

#include <boost/json.hpp>

#include "base/random.hpp"
#include "standins/common.hpp"
#include "standins/http_server.hpp"

namespace caraway::standins {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::steady_clock;

constexpr std::size_t max_value_bytes = 1 << 20;
constexpr std::size_t max_keys = 1'000'000; // including deleted keys; new keys above it get 507
constexpr std::int64_t max_watch_ms = 60'000;
// Time whose calls, at the configured rate, can arrive at once. Further calls get 429.
constexpr double burst_s = 0.1;

// Rate limiter whose capacity is the number of calls in burst_s at its rate, but at least one.
struct token_bucket {
    double m_rate_per_s = 0;
    double m_tokens = 0;
    time_point m_last_refill{}; // distant past, so the bucket is full at the first call

    // Consumes one token. Returns false if the rate is exceeded.
    bool take() {
        const time_point now = steady_clock::now();
        const double elapsed_s = std::chrono::duration<double>(now - m_last_refill).count();
        m_last_refill = now;
        m_tokens =
            std::min(std::max(1.0, m_rate_per_s * burst_s), m_tokens + m_rate_per_s * elapsed_s);
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }
};

// Latest state of a key. A deleted key is kept as a tombstone, so that watches can report the
// deletion.
struct key_state {
    std::string m_value;
    std::uint64_t m_revision = 0;
    std::string m_lease;
    bool m_deleted = false;
};

// A lease with the keys that are deleted when it ends.
struct lease {
    milliseconds m_ttl{};
    asio::steady_timer m_timer;
    std::set<std::string> m_keys;
};

// A watch that waits for a change. Cancelling the timer wakes it.
struct waiting_watch {
    std::string m_prefix;
    asio::steady_timer* m_timer;
};

// Counts since the start.
struct counters {
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_watches = 0;
    std::uint64_t m_lease_calls = 0;
    std::uint64_t m_throttled = 0;
    std::uint64_t m_lost_answers = 0;
    std::uint64_t m_dropped_watch_events = 0;
};

// Faults to inject, set through the control address.
struct faults {
    bool m_down = false;  // refuses and resets all connections
    bool m_stall = false; // delays all calls until it is cleared
    milliseconds m_latency{2};
    std::uint64_t m_lose_answers_permille = 0;
    std::uint64_t m_drop_watch_events_permille = 0;
};

// State of the service. Used by one thread only.
struct store_state {
    explicit store_state(asio::io_context& context) : m_context(context) {}

    asio::io_context& m_context;
    std::map<std::string, key_state> m_entries;
    std::map<std::string, lease> m_leases;
    std::uint64_t m_revision = 0;
    std::uint64_t m_next_lease = 1;
    std::list<waiting_watch> m_watches;
    std::list<asio::steady_timer*> m_stalled;
    token_bucket m_read_bucket;
    token_bucket m_write_bucket;
    counters m_counters;
    faults m_faults;
    random_source m_random{1};
};

// Returns an answer with the revision in x-revision.
http_answer revision_answer(unsigned status, std::uint64_t revision, std::string body = {}) {
    http_answer answer;
    answer.m_status = status;
    answer.m_body = std::move(body);
    answer.m_headers.emplace_back("x-revision", std::to_string(revision));
    return answer;
}

// Returns an answer without a body.
http_answer status_answer(unsigned status) {
    http_answer answer;
    answer.m_status = status;
    return answer;
}

// Creates the key if needed, assigns the next revision to it and wakes the watches of its prefixes.
key_state& advance_revision(store_state& store, const std::string& key) {
    key_state& changed = store.m_entries[key];
    changed.m_revision = ++store.m_revision;
    for (const waiting_watch& watch : store.m_watches) {
        if (key.starts_with(watch.m_prefix)) {
            watch.m_timer->cancel();
        }
    }
    return changed;
}

// Detaches a key from its lease, if it has one.
void detach_from_lease(store_state& store, const std::string& key, key_state& attached) {
    if (const auto found = store.m_leases.find(attached.m_lease); found != store.m_leases.end()) {
        found->second.m_keys.erase(key);
    }
    attached.m_lease.clear();
}

// Deletes a key, leaving a tombstone with the next revision.
void delete_key(store_state& store, const std::string& key) {
    key_state& changed = advance_revision(store, key);
    detach_from_lease(store, key, changed);
    changed.m_value.clear();
    changed.m_deleted = true;
}

// Ends a lease and deletes its keys. Does nothing if the lease doesn't exist.
void end_lease(store_state& store, const std::string& id) {
    const auto found = store.m_leases.find(id);
    if (found == store.m_leases.end()) {
        return;
    }
    const std::set<std::string> keys = std::move(found->second.m_keys);
    store.m_leases.erase(found);
    for (const std::string& key : keys) {
        delete_key(store, key);
    }
}

// Starts or restarts the period of a lease, which must exist. The lease expires at the period's
// end.
void restart_lease_timer(store_state& store, const std::string& id) {
    lease& restarted = store.m_leases.at(id);
    restarted.m_timer.expires_after(restarted.m_ttl);
    restarted.m_timer.async_wait([&store, id](boost::system::error_code ec) {
        const auto found = store.m_leases.find(id);
        if (!ec && found != store.m_leases.end() &&
            found->second.m_timer.expiry() <= steady_clock::now()) {
            end_lease(store, id);
        }
    });
}

// Returns the value of a key, or 404.
http_answer get_key(store_state& store, const std::string& key) {
    ++store.m_counters.m_reads;
    const auto found = store.m_entries.find(key);
    if (found == store.m_entries.end() || found->second.m_deleted) {
        return status_answer(404);
    }
    return revision_answer(200, found->second.m_revision, found->second.m_value);
}

// Returns the revision for compare-and-swap, which is 0 for an absent or deleted key.
std::uint64_t current_revision(const store_state& store, const std::string& key) {
    const auto found = store.m_entries.find(key);
    return found == store.m_entries.end() || found->second.m_deleted ? 0 : found->second.m_revision;
}

// Compares the parameter if_revision with the current revision. Returns nothing if the write may
// proceed, otherwise the refusal: 409 for a different revision, 400 for a malformed one.
std::optional<http_answer> check_if_revision(const store_state& store, const std::string& key,
                                             const http_call& call) {
    const auto text = call.query("if_revision");
    if (!text) {
        return std::nullopt;
    }
    const auto expected_revision = to_number(*text);
    if (!expected_revision || *expected_revision < 0) {
        return status_answer(400);
    }
    const std::uint64_t current = current_revision(store, key);
    if (static_cast<std::uint64_t>(*expected_revision) != current) {
        return revision_answer(409, current);
    }
    return std::nullopt;
}

// Writes a key and attaches it to a lease if one is given. Returns 413 for a value that is too
// long, 410 for an unknown lease and 507 if there are too many keys.
http_answer put_key(store_state& store, const std::string& key, const http_call& call) {
    ++store.m_counters.m_writes;
    if (call.m_body.size() > max_value_bytes) {
        return status_answer(413);
    }
    const std::string lease_id = call.query("lease").value_or("");
    if (!lease_id.empty() && !store.m_leases.contains(lease_id)) {
        return status_answer(410);
    }
    if (auto refusal = check_if_revision(store, key, call)) {
        return *refusal;
    }
    if (store.m_entries.size() >= max_keys && !store.m_entries.contains(key)) {
        return status_answer(507);
    }
    key_state& changed = advance_revision(store, key);
    detach_from_lease(store, key, changed);
    changed.m_value = call.m_body;
    changed.m_deleted = false;
    if (!lease_id.empty()) {
        changed.m_lease = lease_id;
        store.m_leases.at(lease_id).m_keys.insert(key);
    }
    return revision_answer(200, changed.m_revision);
}

// Answers a request to delete a key. Returns 404 if the key is absent.
http_answer erase_key(store_state& store, const std::string& key, const http_call& call) {
    ++store.m_counters.m_writes;
    if (auto refusal = check_if_revision(store, key, call)) {
        return *refusal;
    }
    if (current_revision(store, key) == 0) {
        return status_answer(404);
    }
    delete_key(store, key);
    return revision_answer(200, store.m_revision);
}

// Selects the keys that a list or a watch returns.
struct key_query {
    std::string m_prefix;
    std::uint64_t m_after_revision = 0;
    bool m_with_deleted = false;
    bool m_keys_only = false;
};

// Returns the keys that the query selects, without those whose revision is in dropped. Includes
// deleted keys only if the query asks for them, as a watch does.
json::array select_keys(const store_state& store, const key_query& query,
                        const std::set<std::uint64_t>& dropped) {
    const std::string& prefix = query.m_prefix;
    json::array found;
    for (auto it = store.m_entries.lower_bound(prefix);
         it != store.m_entries.end() && it->first.starts_with(prefix); ++it) {
        const key_state& candidate = it->second;
        if (candidate.m_revision <= query.m_after_revision ||
            dropped.contains(candidate.m_revision) ||
            (candidate.m_deleted && !query.m_with_deleted)) {
            continue;
        }
        json::object row{{"key", it->first}, {"revision", candidate.m_revision}};
        if (!query.m_keys_only) {
            row["value"] = candidate.m_value;
        }
        if (candidate.m_deleted) {
            row["deleted"] = true;
        }
        found.push_back(std::move(row));
    }
    return found;
}

// Returns all keys below a prefix.
http_answer list_keys(store_state& store, const http_call& call) {
    ++store.m_counters.m_reads;
    const key_query query{call.query("prefix").value_or(""), 0, false,
                          call.query("keys_only").value_or("") == "1"};
    return revision_answer(200, store.m_revision, json::serialize(select_keys(store, query, {})));
}

// Decides at random which changes are withheld from a watch and adds their revisions to dropped.
// considered holds the revisions that were already decided, so that each is decided only once.
void choose_dropped_events(store_state& store, const std::string& prefix,
                           std::uint64_t after_revision, std::set<std::uint64_t>& considered,
                           std::set<std::uint64_t>& dropped) {
    for (auto it = store.m_entries.lower_bound(prefix);
         it != store.m_entries.end() && it->first.starts_with(prefix); ++it) {
        const std::uint64_t revision = it->second.m_revision;
        if (revision > after_revision && considered.insert(revision).second &&
            store.m_random.below(1000) < store.m_faults.m_drop_watch_events_permille) {
            dropped.insert(revision);
            ++store.m_counters.m_dropped_watch_events;
        }
    }
}

// Answers a watch with the changes after a revision, waiting for the first one. Returns 204 if
// there is none within the wait and 499 if the caller has closed its connection.
http_answer watch(store_state& store, http_call& call, asio::yield_context yield) {
    ++store.m_counters.m_watches;
    const std::string prefix = call.query("prefix").value_or("");
    const auto after_revision_text = to_number(call.query("after").value_or("0"));
    const auto wait_ms = to_number(call.query("wait_ms").value_or("0"));
    if (!after_revision_text || *after_revision_text < 0 || !wait_ms || *wait_ms < 0) {
        return status_answer(400);
    }
    const auto after_revision = static_cast<std::uint64_t>(*after_revision_text);
    const bool keys_only = call.query("keys_only").value_or("") == "1";
    const time_point wait_end =
        steady_clock::now() + milliseconds(std::min(*wait_ms, max_watch_ms));
    std::set<std::uint64_t> considered;
    std::set<std::uint64_t> dropped;
    for (;;) {
        if (store.m_faults.m_drop_watch_events_permille > 0) {
            choose_dropped_events(store, prefix, after_revision, considered, dropped);
        }
        const json::array found =
            select_keys(store, {prefix, after_revision, true, keys_only}, dropped);
        if (!found.empty()) {
            return revision_answer(200, store.m_revision, json::serialize(found));
        }
        if (steady_clock::now() >= wait_end) {
            return revision_answer(204, after_revision);
        }
        const auto position =
            store.m_watches.insert(store.m_watches.end(), {prefix, &call.m_timer});
        const bool still_connected = call.wait_until(wait_end, yield);
        store.m_watches.erase(position);
        if (!still_connected) {
            return status_answer(499);
        }
    }
}

// Creates, renews or ends a lease. subpath is the path after /v1/lease. Returns 410 for an unknown
// lease.
http_answer handle_lease_call(store_state& store, const http_call& call, std::string_view subpath) {
    ++store.m_counters.m_lease_calls;
    if (subpath.empty() && call.m_method == "POST") {
        const auto ttl_ms = to_number(call.query("ttl_ms").value_or(""));
        if (!ttl_ms || *ttl_ms <= 0) {
            return status_answer(400);
        }
        const std::string id = "lease-" + std::to_string(store.m_next_lease++);
        store.m_leases.emplace(
            id, lease{milliseconds(*ttl_ms), asio::steady_timer(store.m_context), {}});
        restart_lease_timer(store, id);
        return json_answer({{"lease", id}});
    }
    if (subpath.empty()) {
        return status_answer(405);
    }
    subpath.remove_prefix(1);
    const std::size_t slash = subpath.find('/');
    const std::string id(subpath.substr(0, slash));
    const bool renew = slash != std::string_view::npos && subpath.substr(slash) == "/renew";
    if (!store.m_leases.contains(id)) {
        return status_answer(410);
    }
    if (renew && call.m_method == "POST") {
        restart_lease_timer(store, id);
    } else if (slash == std::string_view::npos && call.m_method == "DELETE") {
        end_lease(store, id);
    } else {
        return status_answer(404);
    }
    return json_answer({{"lease", id}});
}

// Waits while the stall fault is active, even if the caller has given up in the meantime.
void wait_while_stalled(store_state& store, asio::yield_context yield) {
    while (store.m_faults.m_stall) {
        asio::steady_timer timer(store.m_context, time_point::max());
        const auto position = store.m_stalled.insert(store.m_stalled.end(), &timer);
        boost::system::error_code ec;
        timer.async_wait(yield[ec]);
        store.m_stalled.erase(position);
    }
}

// Answers one call after rate limiting, latency and faults. A stalled call takes effect when the
// stall ends, even if its caller has given up.
http_answer handle_call(store_state& store, http_call& call, asio::yield_context yield) {
    constexpr std::string_view key_path = "/v1/kv/";
    constexpr std::string_view lease_path = "/v1/lease";
    const bool read_only = call.m_method == "GET" || call.m_method == "HEAD";
    if (!(read_only ? store.m_read_bucket : store.m_write_bucket).take()) {
        ++store.m_counters.m_throttled;
        return status_answer(429);
    }
    call.wait_until(steady_clock::now() + store.m_faults.m_latency, yield);
    wait_while_stalled(store, yield);
    http_answer answer = status_answer(404);
    if (call.m_path.starts_with(key_path) && call.m_path.size() > key_path.size()) {
        const std::string key = call.m_path.substr(key_path.size());
        if (read_only) {
            answer = get_key(store, key);
        } else if (call.m_method == "PUT") {
            answer = put_key(store, key, call);
        } else if (call.m_method == "DELETE") {
            answer = erase_key(store, key, call);
        } else {
            answer = status_answer(405);
        }
    } else if (call.m_path == "/v1/list") {
        answer = list_keys(store, call);
    } else if (call.m_path == "/v1/watch") {
        answer = watch(store, call, yield);
    } else if (call.m_path == lease_path || call.m_path.starts_with("/v1/lease/")) {
        answer =
            handle_lease_call(store, call, std::string_view(call.m_path).substr(lease_path.size()));
    }
    wait_while_stalled(store, yield);
    if (!read_only && store.m_random.below(1000) < store.m_faults.m_lose_answers_permille) {
        ++store.m_counters.m_lost_answers;
        answer.m_reset_connection = true;
    }
    return answer;
}

// Returns the counters and the active faults.
json::object status_report(const store_state& store, const http_server& server) {
    return {{"reads", store.m_counters.m_reads},
            {"writes", store.m_counters.m_writes},
            {"watches", store.m_counters.m_watches},
            {"waiting_watches", store.m_watches.size()},
            {"lease_calls", store.m_counters.m_lease_calls},
            {"throttled", store.m_counters.m_throttled},
            {"lost_answers", store.m_counters.m_lost_answers},
            {"dropped_watch_events", store.m_counters.m_dropped_watch_events},
            {"leases", store.m_leases.size()},
            {"connections", server.connections()},
            {"accepted_connections", server.accepted_connections()},
            {"revision", store.m_revision},
            {"down", store.m_faults.m_down},
            {"stall", store.m_faults.m_stall}};
}

// Answers a request to the control address: POST applies the faults in the body, any other method
// returns the status.
http_answer handle_control(store_state& store, http_server& server, const http_call& call) {
    if (call.m_method != "POST") {
        return json_answer(status_report(store, server));
    }
    json::error_code ec;
    const json::value body = json::parse(call.m_body, ec);
    if (ec || !body.is_object()) {
        return status_answer(400);
    }
    for (const auto& [key, value] : body.as_object()) {
        const bool enabled = value.is_bool() && value.get_bool();
        const std::int64_t number = value.is_int64() ? value.get_int64() : 0;
        if (key == "down") {
            store.m_faults.m_down = enabled;
        } else if (key == "stall") {
            store.m_faults.m_stall = enabled;
        } else if (key == "latency_ms") {
            store.m_faults.m_latency = milliseconds(number);
        } else if (key == "lose_answers_permille") {
            store.m_faults.m_lose_answers_permille = static_cast<std::uint64_t>(number);
        } else if (key == "drop_watch_events_permille") {
            store.m_faults.m_drop_watch_events_permille = static_cast<std::uint64_t>(number);
        } else {
            return json_answer({{"unknown", key}}, 400);
        }
    }
    if (store.m_faults.m_down) {
        server.stop_accepting();
        server.reset_connections();
    } else if (!server.resume_accepting()) {
        return status_answer(500);
    }
    if (!store.m_faults.m_stall) {
        for (asio::steady_timer* timer : store.m_stalled) {
            timer->cancel();
        }
    }
    return json_answer(status_report(store, server));
}

} // namespace
} // namespace caraway::standins

int main(int argc, const char** argv) {
    using namespace caraway;
    using namespace caraway::standins;
    std::string listen = "127.0.0.1:8500";
    std::string control_address;
    std::int64_t writes_per_s = 400;
    std::int64_t reads_per_s = 2000;
    std::int64_t latency_ms = 2;
    parse_command_line_or_exit(
        argc, argv,
        std::vector<option_spec>{
            {"listen", &listen, "IP:PORT of the service"},
            {"control", &control_address, "IP:PORT for fault injection and counters"},
            {"writes-per-s", &writes_per_s, "writes and lease calls per second"},
            {"reads-per-s", &reads_per_s, "gets, lists and watches per second"},
            {"latency-ms", &latency_ms, "delay before a call takes effect"}});
    const auto service_endpoint = endpoint_or_exit(listen);
    boost::asio::io_context context(1);
    store_state store(context);
    store.m_faults.m_latency = milliseconds(latency_ms);
    store.m_read_bucket.m_rate_per_s = static_cast<double>(reads_per_s);
    store.m_write_bucket.m_rate_per_s = static_cast<double>(writes_per_s);
    http_server_options options;
    options.m_watch_for_close = true;
    const auto server = start_server_or_exit(
        context, service_endpoint, options, [&](http_call& call, boost::asio::yield_context yield) {
            return handle_call(store, call, yield);
        });
    std::unique_ptr<http_server> control_server;
    if (!control_address.empty()) {
        control_server = start_server_or_exit(context, endpoint_or_exit(control_address), {},
                                              [&](http_call& call, boost::asio::yield_context) {
                                                  return handle_control(store, *server, call);
                                              });
    }
    log_line("info", "listening", {{"program", "kv_store"}, {"address", listen}});
    run_until_signal(context, [&] { context.stop(); });
}
