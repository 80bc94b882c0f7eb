// Settings of one node process, read from TOML and checked at start.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "config/mesh.hpp"

namespace caraway {

// An IP address with a port.
struct ip_endpoint {
    std::string m_address = "127.0.0.1";
    std::uint16_t m_port = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the generated comparison for one
    friend auto operator<=>(const ip_endpoint&, const ip_endpoint&) = default;
};

// Parses "address:port" or "[address]:port". Host names are refused: processes talk by IP number.
std::optional<ip_endpoint> parse_endpoint(std::string_view text);

// Writes "address:port", with brackets around an IPv6 address.
std::string format_endpoint(const ip_endpoint& endpoint);

// Names of the headers between callers, nodes and backend servers. The adapter of a deployment may
// give others; an empty name means that the header isn't used there.
struct edge_headers {
    std::string m_request_number = "x-request-number";
    std::string m_deadline_ms = "x-caraway-deadline-ms";
    std::string m_not_run = "x-caraway-backend-shed"; // a server's word that it didn't run the call
    std::string m_expected_server;                    // the server that alone may run the call
    std::string m_caller_service; // service of the instance where the call began
    std::string m_server_marker;  // on every answer that a server made itself
    friend bool operator==(const edge_headers&, const edge_headers&) = default;
};

// All settings of carawayd. Each has a default or is required, a unit and a bound; the reference
// is docs/operators.md.
struct node_settings {
    // [instance]
    std::string m_instance;    // required, unique name of the instance
    std::string m_data_centre; // required
    std::string m_service;     // required, the service of the backend server beside this node
    std::string m_version;     // of the backend server; required unless the server reports it
    // [listen]
    ip_endpoint m_traffic;   // required; callers and other nodes
    ip_endpoint m_peer_udp;  // required; probes and rumours
    ip_endpoint m_peer_bulk; // required; nng request/reply
    ip_endpoint m_admin;     // required; metrics, health, readiness
    // Callers only; port 0: they use m_traffic, too. Headers of nodes are not believed there.
    ip_endpoint m_callers;
    // Where the backend server reports itself; port 0: the settings describe the server.
    ip_endpoint m_reports;
    // Addresses announced to other nodes; equal to the ones above unless a proxy stands between.
    ip_endpoint m_announce_traffic;
    ip_endpoint m_announce_udp;
    ip_endpoint m_announce_bulk;
    // Local IP address of TCP connections to other nodes; empty: the system chooses.
    std::string m_source_address;
    // [backend_server]
    ip_endpoint m_backend_server;           // required
    milliseconds m_health_interval{10'000}; // 0 = no probing; a probe costs the server time
    milliseconds m_report_interval{1'500};  // expected time between two reports
    // [store]
    std::vector<ip_endpoint> m_store; // required, at least one
    milliseconds m_store_timeout{2'000};
    milliseconds m_lease_period{5'000};
    // [peers]
    std::vector<ip_endpoint> m_seeds; // bulk addresses tried when the store is unreachable
    milliseconds m_probe_interval{1'000};
    milliseconds m_probe_timeout{300};
    milliseconds m_fetch_timeout{2'000};
    milliseconds m_join_backoff_max{5'000};
    std::uint32_t m_joins_per_second = 20;
    // [traffic]
    std::uint32_t m_threads = 2;
    std::uint32_t m_max_connections = 1'000;
    std::uint32_t m_max_body_bytes = 1U << 20U;
    // Of an answer, which a node holds whole: a server that never ends one must not cost more than
    // this for each of its slots.
    std::uint32_t m_max_answer_bytes = 1U << 20U;
    std::uint32_t m_max_header_bytes = 16U << 10U;
    milliseconds m_behind_wait{250};
    std::uint32_t m_retry_budget_percent = 10;
    std::uint32_t m_retry_burst = 10; // retries to a service before its calls have earned any
    // [results]
    milliseconds m_result_retention{600'000};
    std::uint32_t m_result_entries = 10'000;
    std::uint32_t m_result_bytes = 64U << 10U;
    // [shutdown]
    milliseconds m_drain_timeout{30'000};
    // A leaving node still takes new work for this long, until the others have heard of its leave.
    // Without it, calls were refused twice when four of six instances left at the same time.
    milliseconds m_announce_time{300};
    // [log]
    bool m_trace_spans = true;
    // Recorded inputs of decisions that may wait to be written; 0 = not recorded.
    std::uint32_t m_record_lines = 0;
    // Log lines are written together at this interval; 0: each at once.
    milliseconds m_flush_interval{0};
    // [random]
    std::uint64_t m_seed = 0; // 0 = from the random device at start
    // Not in the file: set by the deployment's adapter.
    edge_headers m_edge_headers;
    friend bool operator==(const node_settings&, const node_settings&) = default;
};

// Parses and checks settings. On failure returns nothing and fills faults with every fault found.
std::optional<node_settings> parse_settings(std::string_view text, std::vector<text_fault>& faults);

} // namespace caraway
