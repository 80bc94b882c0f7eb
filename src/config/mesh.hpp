// Typed form of the operators' configuration text, with its parser, comparison and route lookup. A
// mesh is immutable once parsed, so that all threads can share it.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "base/error.hpp"

namespace caraway {

// Newest format number of the operators' text that this program supports.
constexpr int mesh_format = 1;
// Maximum size of a text, which is the largest value that the store holds.
constexpr std::size_t max_text_bytes = 1U << 20U;
// Maximum number of faults reported for one text; the last one counts those that were left out. The
// limit keeps the record of a refusal within one store value.
constexpr std::size_t max_text_faults = 500;

// Priority of queued calls on the backend side; urgent calls are served first.
enum class urgency : std::uint8_t { urgent, normal, background };
constexpr std::size_t urgency_levels = 3;

// Returns the name of an urgency as used in texts, headers and logs.
std::string_view urgency_name(urgency value);

// A move of a service's traffic to another version, as ordered by the operators.
struct move_spec {
    std::string m_to;     // version that receives the traffic
    wall_time m_deadline; // time by which the move is done or taken back
    // For a move that is ordered with a duration instead of a deadline: the store revision of the
    // order, which distinguishes it from other orders. 0 if m_deadline applies.
    std::uint64_t m_order_revision = 0;
    milliseconds m_duration{0}; // from when the node that starts the move first saw the order
    friend bool operator==(const move_spec&, const move_spec&) = default;
};

// A service and the limits that its nodes enforce for each backend server.
struct service_spec {
    std::string m_name;
    // Version that serves while no move is running. If empty, every version serves except the
    // targets of the move and of earlier moves that were not completed.
    std::string m_version;
    std::vector<std::string> m_depends_on;
    std::optional<move_spec> m_move;
    std::uint32_t m_slots = 12;        // maximum number of concurrent calls
    std::uint32_t m_connections = 110; // maximum number of connections
    std::uint32_t m_queue = 48;        // maximum number of calls that wait for a slot
    milliseconds m_latency_limit{0};   // slower answers count as failures; 0 = no limit
    // Calls per second that a backend server can handle while it reports that it is cold; 0 if
    // unknown.
    double m_warmup_calls_per_second = 0;
    friend bool operator==(const service_spec&, const service_spec&) = default;
};

// A service that receives a share of a split route's calls.
struct weighted_service {
    std::string m_service;
    std::uint32_t m_weight = 1; // share relative to the sum of the route's weights
    friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

// A rule that routes the calls with a given host and path prefix to a service.
struct route_spec {
    std::string m_path; // prefix
    std::string m_service;
    milliseconds m_timeout{1000};
    bool m_idempotent = false;
    urgency m_urgency = urgency::normal;
    std::string m_host{};                    // empty: any host
    std::vector<weighted_service> m_split{}; // replaces m_service if not empty
    std::uint32_t m_attempts = 2;            // maximum number of backend servers tried
    // Latency up to which an answer has its full value for the caller; 0 = not set.
    milliseconds m_target_latency{0};
    // Answers are much larger than those of other routes, such as downloads.
    bool m_large_answers = false;
    friend bool operator==(const route_spec&, const route_spec&) = default;
};

// A data centre. One that is out of service receives no new calls.
struct data_centre_spec {
    std::string m_name;
    bool m_out_of_service = false;
    friend bool operator==(const data_centre_spec&, const data_centre_spec&) = default;
};

// Limits of callers, as stated by the operators. Callers inside them are served. 0: not stated.
struct client_limits {
    std::uint32_t m_max_header_bytes = 0;
    std::uint64_t m_max_body_bytes = 0;
    milliseconds m_header_timeout{0}; // from the first byte of a request to the end of its head
    milliseconds m_idle_timeout{0};   // between two requests of a connection
    friend bool operator==(const client_limits&, const client_limits&) = default;
};

// The complete configuration of one text. Routes are sorted by descending path length, then by path
// and host, so that the first match is the longest and match_route can use a binary search.
struct mesh {
    std::string m_name;
    std::map<std::string, data_centre_spec, std::less<>> m_data_centres;
    std::map<std::string, service_spec, std::less<>> m_services;
    std::vector<route_spec> m_routes;
    // If false, data centres that are not listed receive calls, too.
    bool m_lists_data_centres = true;
    // Descriptions of values that this program doesn't know, each with what applies instead.
    std::vector<std::string> m_unknown_values{};
    // Descriptions of operators' items that were left out because they can't be used, each with the
    // reason.
    std::vector<std::string> m_unusable_items{};
    client_limits m_limits{};
    friend bool operator==(const mesh&, const mesh&) = default;
};

// A fault in a text: its position (line and column from 1, 0 if unknown), what was found and what
// was expected.
struct text_fault {
    std::uint32_t m_line = 0;
    std::uint32_t m_column = 0;
    std::string m_found;
    std::string m_expected;
};

// Parses and validates a text. On failure, returns nothing and fills faults with every fault found
// in one pass, ordered by line. Rejects a move whose deadline is not after now. A move that
// previous (the mesh in force, may be null) also contains is allowed, since the text may still list
// a move that has ended. For a text that has been accepted, pass wall_time{} as now, since its
// deadlines were checked at acceptance.
std::optional<mesh> parse_mesh(std::string_view text, wall_time now, const mesh* previous,
                               std::vector<text_fault>& faults);

// Formats a fault as "file:line:column: found ...; expected ...". The position is left out if the
// line is unknown.
std::string format_fault(std::string_view file, const text_fault& fault);

// Describes the differences between two meshes, one line per changed value.
std::vector<std::string> diff_mesh(const mesh& before, const mesh& after);

// Sorts routes into the order that match_route requires.
void sort_routes(std::vector<route_spec>& routes);

// Returns the host's route with the longest path prefix that ends at a path segment boundary, or
// null if there is none. Of two routes with the same prefix, prefers the one that names the host.
const route_spec* match_route(const mesh& config, std::string_view host, std::string_view path);

// Considers only the routes that apply to any host.
const route_spec* match_route(const mesh& config, std::string_view path);

// Returns true if the version serves the calls that the service's move has not shifted to its
// target version. If the configuration doesn't name that version, every version does but the
// target and the excluded ones, which an earlier move left incomplete.
bool is_old_version(const service_spec& service, std::string_view version,
                    std::span<const std::string> excluded);

// Returns the identifier of a move: a hash of the service, the target version and the deadline, so
// that it is the same in every text with these values. For a move ordered with a duration, the
// order revision replaces the deadline.
std::string move_id(std::string_view service, const move_spec& move);

} // namespace caraway
