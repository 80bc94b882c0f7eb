// State and types shared by the parts of the traffic side.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>

#include "decide/traffic/balance.hpp"
#include "decide/traffic/onward_calls.hpp"
#include "decide/traffic/pushback.hpp"
#include "decide/traffic/retry.hpp"
#include "decide/traffic/route_throttle.hpp"
#include "decide/traffic/server_speed.hpp"
#include "decide/versions/move_evidence.hpp"
#include "http/answer_reader.hpp"
#include "observe/metrics.hpp"
#include "observe/span.hpp"
#include "traffic/admission_gate.hpp"
#include "traffic/byte_budget.hpp"
#include "traffic/claims_over_http.hpp"
#include "traffic/connection_pool.hpp"
#include "traffic/link_pacer.hpp"
#include "traffic/snapshot.hpp"
#include "traffic/traffic.hpp"

namespace caraway {

// Maximum number of calls of one node that wait for a newer configuration. More would hold callers'
// connections for an update that may not arrive.
constexpr std::size_t max_config_waiting = 256;

// Limits of requests. Those that the operators' configuration states replace the settings when it
// comes into force. Safe to use from any thread.
struct request_limits {
    std::atomic<std::uint32_t> m_max_header_bytes{0};
    std::atomic<std::uint64_t> m_max_body_bytes{0};
    std::atomic<std::int64_t> m_header_timeout_ms{10'000};
    std::atomic<std::int64_t> m_idle_timeout_ms{75'000};
    // Longest pause of a body. As long as the idle timeout that operators state; callers inside
    // the limits reuse a connection after a pause of up to four fifths of it.
    duration m_body_pause = milliseconds(15'000);
    // Lowest rate of a body in bytes per second: 40 callers that share a link of 10 Mbit/s get
    // eight times as much each.
    std::uint64_t m_min_body_rate = 4U << 10U;

    duration head_time() const { return milliseconds(m_header_timeout_ms.load()); }
    duration idle_time() const { return milliseconds(m_idle_timeout_ms.load()); }
};
// Allowance above the header limit for the headers that the node beside a server adds to its
// answer, so that the next node does not reject an answer that the first one accepted.
constexpr std::uint32_t max_added_answer_header_bytes = 2U << 10U;

// Number of routes, over all configurations since the start, for which a state is kept.
constexpr std::size_t max_tracked_routes = 10'000;

// State that the entry side keeps for one service between calls.
struct entry_state {
    retry_budget m_budget;
    version_share m_share;
    route_references m_references; // run times of the service's routes
};

// State shared by the traffic threads of one node.
struct traffic_context {
    traffic_context(const node_settings& settings, const clock_source& clock,
                    snapshot_cell& snapshot, node_metrics& metrics, traffic_hooks hooks,
                    boost::asio::io_context& io);

    const node_settings m_settings;
    const clock_source& m_clock;
    snapshot_cell& m_snapshot;
    node_metrics& m_metrics;
    const traffic_hooks m_hooks;
    boost::asio::io_context& m_io;

    byte_budget m_budget;
    request_limits m_request_limits;
    connection_pool m_peer_pool;   // to other nodes
    connection_pool m_server_pool; // to the own backend server
    admission_gate m_gate;
    link_pacer m_link_pacer;
    key_tables m_keys;
    control_set m_connections; // of callers and other nodes
    control_set m_early_calls; // that run before earlier requests of their connection have ended
    control_set m_background;  // of work that doesn't belong to an incoming connection
    waiting_calls m_config_waiting{max_config_waiting};

    std::atomic<bool> m_draining{false};
    std::atomic<time_point> m_calls_end_by{time_point::max()};  // see end_calls_by
    std::atomic<time_point> m_last_onward{time_point::max()};   // see end_calls_by
    std::atomic<time_point> m_trusted_until{time_point::max()}; // see trust_snapshot_until
    std::atomic<std::size_t> m_in_progress{0};
    std::atomic<std::int64_t> m_last_call_end_us{0}; // steady clock; used by the health probe

    std::mutex m_evidence_mutex;
    std::map<std::string, arm_counts, std::less<>> m_evidence; // by route

    std::mutex m_served_mutex;
    served_calls m_served_calls; // at the own backend server

    std::mutex m_entry_mutex;
    std::unordered_map<std::string, entry_state> m_entry_states; // by service
    // All by host and path of the route.
    std::unordered_map<std::string, weighted_round_robin> m_route_splits;
    std::unordered_map<std::string, route_throttle> m_route_throttles;
    std::unordered_map<std::string, caller_history> m_caller_histories;

    // Applies the limits of the operators' configuration in force; where it states none, those of
    // the settings.
    void apply_client_limits();
    // Limits of answers of the own backend server.
    exchange_limits limits() const {
        return {m_settings.m_max_header_bytes, m_settings.m_max_answer_bytes};
    }
    // Limits of answers of other nodes, whose heads have the headers that those nodes add.
    exchange_limits peer_limits() const {
        return {m_settings.m_max_header_bytes + max_added_answer_header_bytes,
                m_settings.m_max_answer_bytes};
    }
    // Returns true if the control thread has not confirmed the snapshot for too long.
    bool snapshot_is_stale() const {
        return m_clock.now() > m_trusted_until.load(std::memory_order_relaxed);
    }
    // Returns true if a call that begins now is refused because the instance is leaving. Onward
    // calls belong to work in progress, which a leaving instance still finishes.
    bool refuses_as_leaving(bool onward) const {
        return onward ? m_clock.now() >= m_last_onward.load(std::memory_order_relaxed)
                      : m_draining.load(std::memory_order_relaxed);
    }
    // Returns the deadline of a call that may take this long, at most the end of all calls.
    time_point deadline_of(time_point now, duration allowed) const {
        return std::min(now + allowed, m_calls_end_by.load(std::memory_order_relaxed));
    }
    // Reports a configuration version from a peer's message to the control thread if it is higher
    // than this node's.
    void report_newer_version(std::string_view instance, std::uint64_t version,
                              std::uint64_t own_version) const;
};

// Properties of a call in addition to its HTTP message.
struct call_info {
    std::string m_service;
    std::string m_route;
    std::string m_version; // of the backend server; chosen by the entry side
    urgency m_urgency = urgency::normal;
    bool m_idempotent = false;
    bool m_large_answer = false;
    // When the answer loses most of its value to the caller; time_point{} if unknown.
    time_point m_useful_until;
    std::string m_key; // idempotency key, empty if none
    std::optional<std::uint64_t> m_first_sent_ms;
    std::string m_request_number;
    std::uint32_t m_hop = 0;          // depth in the chain of calls; 1 for a call from a caller
    bool m_urgency_inherited = false; // m_urgency comes from the call that this one serves
    bool m_repeated = false;          // see call_terms
    trace_context m_trace;
};

// Response of the entry side or the backend side, with details for retries, logs and metrics.
struct call_reply {
    http_response m_message;
    byte_charge m_charge; // of a large message, until it is charged to its client's connection
    error_kind m_reason = error_kind::none; // none: complete response of the server
    bool m_sent = false;                    // the request may have reached a backend server
    std::string m_peer;                     // instance that ran or refused the call
    std::string m_version;                  // of the backend server that ran it
    capacity_waits m_waits;                 // at the gate, and of its onward calls
};

// Increments a counter for the lifetime of this object.
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

// Returns the key of the states that are kept for each route.
std::string route_name(const route_spec& route);

// Converts a duration to microseconds.
inline std::int64_t to_us(duration value) {
    return std::chrono::duration_cast<std::chrono::microseconds>(value).count();
}

// Returns the time left until a deadline in milliseconds, rounded down; 0 if it has passed.
std::uint64_t ms_left(time_point deadline, time_point now);

// Creates the reply to a call that was refused or failed. sent tells whether the request may have
// reached a backend server.
call_reply make_error_reply(const traffic_context& context, const error& reason, bool sent);

// Writes the log line and the metrics of a call that ended at one side, and its span if spans are
// enabled.
void record_call_end(const traffic_context& context, std::string_view side, const call_info& info,
                     const trace_context& trace, const call_reply& reply, std::uint32_t attempt,
                     time_point start, wall_time wall_start);

} // namespace caraway
