// Settings of a node process, parsed from TOML and validated at start and on reload.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "base/endpoint.hpp"
#include "config/mesh.hpp"

namespace caraway {

// Names of the HTTP headers that callers, nodes and backend servers exchange. A deployment's
// adapter may replace them; a header with an empty name is not used.
struct edge_headers {
    std::string m_request_number = "x-request-number";
    // Whether every answer of a backend server repeats the number of its request. If so, an answer
    // without it can't be told from a late one to an earlier request on the connection.
    bool m_servers_echo_number = false;
    // Character before which the number of an onward call repeats that of the call that it serves;
    // 0 if onward calls can't be recognised by their numbers.
    char m_onward_separator = '.';
    std::string m_deadline_ms = "x-caraway-deadline-ms";
    std::string m_not_run = "x-caraway-backend-shed"; // set by a server that did not run the call
    std::string m_expected_server; // identity of the only server that may run the call
    std::string m_server_identity; // in an answer: identity of the server that sent it
    std::string m_caller_service;  // service of the instance where the call entered the mesh
    std::string m_server_marker;   // present on every answer that a backend server itself produced
    friend bool operator==(const edge_headers&, const edge_headers&) = default;
};

// All settings of carawayd, grouped by section of the file. docs/operators.md documents the unit,
// the default and the bounds of each.
struct node_settings {
    // [instance]
    std::string m_instance;    // required; unique name of the instance
    std::string m_data_centre; // required
    std::string m_service;     // required; service of the backend server beside this node
    std::string m_version;     // version of the backend server; required unless m_reports is set
    // Memory of the instance, from which the limit of held bytes is derived.
    std::uint64_t m_memory_bytes = 160'000'000;
    // [listen]
    ip_endpoint m_traffic;   // required; calls of callers and of other nodes
    ip_endpoint m_peer_udp;  // required; membership probes and gossip
    ip_endpoint m_peer_bulk; // required; nng request/reply
    ip_endpoint m_admin;     // required; metrics, health, readiness
    // Separate endpoint for callers, where headers reserved for nodes are not trusted. With port 0,
    // callers use m_traffic.
    ip_endpoint m_callers;
    // Endpoint for the backend server's reports. With port 0, the settings describe the server.
    ip_endpoint m_reports;
    // Addresses advertised to other nodes. They differ from the ones above only behind a proxy.
    ip_endpoint m_announce_traffic;
    ip_endpoint m_announce_udp;
    ip_endpoint m_announce_bulk;
    // Source IP address of TCP connections to other nodes. If empty, the system chooses it.
    std::string m_source_address;
    // [backend_server]
    ip_endpoint m_backend_server; // required
    // Interval of health probes; 0 = no probes. Each probe takes up time of the server.
    milliseconds m_health_interval{10'000};
    milliseconds m_report_interval{1'500}; // expected time between two reports
    // [store]
    std::vector<ip_endpoint> m_store; // required, at least one
    milliseconds m_store_timeout{2'000};
    milliseconds m_lease_period{5'000};
    // [peers]
    // Bulk endpoints of nodes through which to join while the store is unreachable.
    std::vector<ip_endpoint> m_seeds;
    milliseconds m_probe_interval{1'000};
    milliseconds m_probe_timeout{300};
    milliseconds m_fetch_timeout{2'000}; // of each bulk request to another node
    milliseconds m_join_backoff_max{5'000};
    std::uint32_t m_joins_per_second = 20;
    // [traffic]
    std::uint32_t m_threads = 2;
    std::uint32_t m_max_connections = 1'000;
    std::uint32_t m_max_body_bytes = 1U << 20U;
    // Maximum body size of an answer. A node buffers whole answers, so this limits the memory per
    // slot even if a server sends an endless answer.
    std::uint32_t m_max_answer_bytes = 1U << 20U;
    std::uint32_t m_max_header_bytes = 16U << 10U;
    // Maximum number of bytes held for clients, over all connections; 0: half of m_memory_bytes.
    std::uint64_t m_max_held_bytes = 0;
    // Maximum time for which a call that was routed by a newer configuration waits until this node
    // has that configuration.
    milliseconds m_behind_wait{250};
    std::uint32_t m_retry_budget_percent = 10; // retries in percent of a service's calls
    std::uint32_t m_retry_burst = 10;          // retries in the budget at the start
    double m_link_mbps = 0;                    // rate of the instance's link in Mbit/s; 0 = unknown
    // Whether backend servers are chosen by the expected time until the answer, and answers report
    // the speed of the own backend server. Otherwise they are chosen by load and mean latency.
    bool m_choose_by_expected_time = false;
    // [results]
    milliseconds m_result_retention{600'000};
    std::uint32_t m_result_entries = 10'000;
    std::uint32_t m_result_bytes = 64U << 10U;
    // [shutdown]
    milliseconds m_drain_timeout{30'000};
    // Time for which a leaving node still accepts new calls, so that the other nodes can receive
    // its leave first. Without it, calls were refused twice when four of six instances left at the
    // same time.
    milliseconds m_announce_time{300};
    // [log]
    bool m_trace_spans = true;
    // Maximum number of recorded decision inputs that wait to be written; 0 = no recording.
    std::uint32_t m_record_lines = 0;
    // Interval at which buffered log lines are written; 0 = each line is written immediately.
    milliseconds m_flush_interval{0};
    // [random]
    std::uint64_t m_seed = 0; // 0 = seeded from the random device at start
    // Not part of the file; the program sets it to match the deployment's adapter.
    edge_headers m_edge_headers;
    friend bool operator==(const node_settings&, const node_settings&) = default;
};

// Parses and validates settings. On failure, returns nothing and fills faults with every fault
// found.
std::optional<node_settings> parse_settings(std::string_view text, std::vector<text_fault>& faults);

} // namespace caraway
