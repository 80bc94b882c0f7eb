// The operators' text as typed data. A mesh is immutable once parsed and shared by all threads.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "base/error.hpp"

namespace caraway {

// The newest format number of the operators' text that this program understands.
constexpr int mesh_format = 1;
// Largest text in bytes: the largest value that the store holds.
constexpr std::size_t max_text_bytes = 1U << 20U;
// Faults reported for one text; more are counted in the last one. The record of a refusal must fit
// into one value of the store.
constexpr std::size_t max_text_faults = 500;

// Order in which the backend side serves queued calls.
enum class urgency : std::uint8_t { urgent, normal, background };
constexpr std::size_t urgency_levels = 3;

// Returns the word for an urgency in texts, headers and logs.
std::string_view urgency_name(urgency value);

// A change of a service's version with its deadline.
struct move_spec {
    std::string m_to;     // version that traffic moves to
    wall_time m_deadline; // done or taken back by this time
    // A move ordered with a duration instead of a deadline: the order's revision tells it from
    // other orders, and the deadline follows from the time at which the holder begins it.
    std::uint64_t m_order_revision = 0; // 0: m_deadline counts
    milliseconds m_duration{0};
    friend bool operator==(const move_spec&, const move_spec&) = default;
};

// One service and the limits that its nodes enforce for each backend server.
struct service_spec {
    std::string m_name;
    // Version that serves when no move is running; empty: every one but the target of a move.
    std::string m_version;
    std::vector<std::string> m_depends_on;
    std::optional<move_spec> m_move;
    std::uint32_t m_slots = 12;        // concurrent calls of one backend server
    std::uint32_t m_connections = 110; // connections of one backend server
    std::uint32_t m_queue = 48;        // calls that wait for a slot
    milliseconds m_latency_limit{0};   // answers slower than this count as failures; 0 = none
    // Calls that a backend server bears in a second while it says that it is cold; 0: not known.
    double m_warmup_calls_per_second = 0;
    friend bool operator==(const service_spec&, const service_spec&) = default;
};

// A service's part of a route that is split.
struct weighted_service {
    std::string m_service;
    std::uint32_t m_weight = 1; // relative to the sum of the route's weights
    friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

// One route: calls to the host whose path has the prefix go to the service.
struct route_spec {
    std::string m_path;
    std::string m_service;
    milliseconds m_timeout{1000};
    bool m_idempotent = false;
    urgency m_urgency = urgency::normal;
    std::string m_host{};                    // empty: any
    std::vector<weighted_service> m_split{}; // if not empty, instead of m_service
    std::uint32_t m_attempts = 2;            // backend servers that one call may be sent to
    milliseconds m_target_latency{0}; // an answer within it is worth most to the caller; 0 = none
    friend bool operator==(const route_spec&, const route_spec&) = default;
};

// One data centre; an out data centre gets no new work.
struct data_centre_spec {
    std::string m_name;
    bool m_out_of_service = false;
    friend bool operator==(const data_centre_spec&, const data_centre_spec&) = default;
};

// A whole accepted text. Routes are sorted by descending path length, then by path and host, so
// that the first match is the longest and match_route can search by bisection.
struct mesh {
    std::string m_name;
    std::map<std::string, data_centre_spec, std::less<>> m_data_centres;
    std::map<std::string, service_spec, std::less<>> m_services;
    std::vector<route_spec> m_routes;
    // False: data centres that are not listed take work, too.
    bool m_lists_data_centres = true;
    friend bool operator==(const mesh&, const mesh&) = default;
};

// One fault of a text: where it stands (line and column from 1, 0 if unknown), what was found and
// what was expected.
struct text_fault {
    std::uint32_t m_line = 0;
    std::uint32_t m_column = 0;
    std::string m_found;
    std::string m_expected;
};

// Parses and validates a text. On failure returns nothing and fills faults with every fault found
// in one pass, ordered by line. now decides whether a move's deadline lies in the past; a move
// that equals one of previous (the mesh in force, may be null) is allowed to be past its deadline,
// since an old move stays in the text after its verdict. Pass wall_time{} as now for a text that
// was accepted already: its deadlines were judged at acceptance.
std::optional<mesh> parse_mesh(std::string_view text, wall_time now, const mesh* previous,
                               std::vector<text_fault>& faults);

// Writes "file:line:column: found ...; expected ..." for one fault.
std::string format_fault(std::string_view file, const text_fault& fault);

// Describes what changes from one mesh to another, one plain line each.
std::vector<std::string> diff_mesh(const mesh& before, const mesh& after);

// Sorts routes as match_route expects them.
void sort_routes(std::vector<route_spec>& routes);

// Finds the route of the host with the longest path prefix that ends at a path segment boundary;
// null if none. Of two with the same prefix, the one that names the host is found.
const route_spec* match_route(const mesh& config, std::string_view host, std::string_view path);

// The same for a call whose host doesn't matter.
const route_spec* match_route(const mesh& config, std::string_view path);

// True for a version that serves calls which are not part of the service's move.
bool is_old_version(const service_spec& service, std::string_view version);

// Identifies a move: the same service, target and deadline give the same identity in every text.
std::string move_id(std::string_view service, const move_spec& move);

} // namespace caraway
