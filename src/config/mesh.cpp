#include "config/mesh.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <unordered_map>
#include <utility>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include "base/hash.hpp"
#include "config/text_check.hpp"

namespace caraway {
namespace {

using text_check::fault_sink;
using text_check::format_duration;
using text_check::position;
using text_check::presence;
using text_check::quote;
using text_check::table_reader;

// Limits of the operators' text. The counts are several times the target scale of 8 data centres
// and 2,600 services, so that only a mistake exceeds them.
constexpr std::size_t max_data_centres = 64;
constexpr std::size_t max_services = 10'000;
constexpr std::size_t max_routes = 20'000;
constexpr std::size_t max_dependencies = 256;
constexpr std::size_t max_path_bytes = 256;
constexpr std::uint32_t max_slots = 10'000;
constexpr std::uint32_t max_connections = 100'000;
constexpr std::uint32_t max_queue = 100'000;
constexpr milliseconds max_timeout{300'000};

// Maximum number of unknown names for which the nearest known name is suggested. The search
// compares a name with every service and would take seconds for a text with a thousand unknown
// names.
constexpr std::size_t max_name_hints = 20;

constexpr std::array<std::string_view, 5> root_keys{"format", "name", "data_centre", "service",
                                                    "route"};
constexpr std::array<std::string_view, 1> data_centre_keys{"out"};
constexpr std::array<std::string_view, 7> service_keys{
    "version", "depends_on", "slots", "connections", "queue", "latency_limit", "move"};
constexpr std::array<std::string_view, 2> move_keys{"to", "deadline"};
constexpr std::array<std::string_view, 6> route_keys{"path",       "service", "timeout",
                                                     "idempotent", "urgency", "large_answers"};
constexpr std::array<std::string_view, 3> urgency_names{"urgent", "normal", "background"};

constexpr std::string_view expected_path =
    "a path that begins with / and has no empty, . or .. "
    "segment, no trailing / and only visible ASCII without ? #";

// Returns true for a valid path of a route. Only the normalised spelling of a path is valid, so
// that a string comparison finds duplicates.
bool is_route_path(std::string_view path) {
    if (path.empty() || path[0] != '/' || path.size() > max_path_bytes) {
        return false;
    }
    if (path == "/") {
        return true;
    }
    std::size_t begin = 1;
    while (begin <= path.size()) {
        const std::size_t end = std::min(path.find('/', begin), path.size());
        const std::string_view segment = path.substr(begin, end - begin);
        if (segment.empty() || segment == "." || segment == "..") {
            return false;
        }
        begin = end + 1;
    }
    return std::all_of(path.begin(), path.end(),
                       [](char c) { return c > ' ' && c < 0x7f && c != '?' && c != '#'; });
}

// Formats a time as ISO 8601 in UTC, with milliseconds only if they are not zero.
std::string format_time(wall_time at) {
    const auto whole_seconds = std::chrono::floor<std::chrono::seconds>(at);
    const auto fraction_ms = std::chrono::duration_cast<milliseconds>(at - whole_seconds).count();
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}{}Z", whole_seconds,
                       fraction_ms == 0 ? "" : fmt::format(".{:03}", fraction_ms));
}

// A dependency on a service and its position in the text.
struct dependency {
    std::string m_name;
    position m_position;
};
using dependency_map = std::map<std::string, std::vector<dependency>, std::less<>>;

// State shared by the functions that read and check one text.
struct parse_context {
    fault_sink m_faults;
    bool m_complete = true; // false if lines with syntax errors were left out
    wall_time m_now;
    const mesh* m_previous = nullptr;
    mesh m_mesh;
    dependency_map m_dependencies;
    // Services that have a table, even one with faults.
    std::set<std::string, std::less<>> m_declared_services;
    std::size_t m_name_hints = 0;
};

void read_data_centres(parse_context& context, const table_reader& root) {
    const auto tables = root.read_named_tables("data_centre", presence::required, max_data_centres);
    bool any_in_service = false;
    position last_out_position;
    for (const auto& [name, at, table] : tables) {
        const table_reader reader(*table, fmt::format("data_centre.{}", name), data_centre_keys,
                                  context.m_complete, context.m_faults);
        data_centre_spec spec;
        spec.m_name = name;
        const bool valid = !reader.has("out") ||
                           reader.read_bool("out", presence::optional, spec.m_out_of_service);
        if (spec.m_out_of_service) {
            last_out_position = reader.entry_position("out");
        }
        any_in_service = any_in_service || !spec.m_out_of_service || !valid;
        context.m_mesh.m_data_centres.emplace(name, std::move(spec));
    }
    if (!tables.empty() && !any_in_service && context.m_complete) {
        context.m_faults.add(last_out_position, "every data centre out",
                             "at least one data centre with out = false");
    }
}

void read_move(parse_context& context, const table_reader& service, service_spec& spec) {
    if (!service.has("move")) {
        return;
    }
    const toml::table* table = service.read_table("move", presence::optional);
    if (table == nullptr) {
        return;
    }
    const std::string label = fmt::format("service.{}.move", spec.m_name);
    const table_reader reader(*table, label, move_keys, context.m_complete, context.m_faults);
    move_spec move;
    const bool has_to = reader.read_name("to", presence::required, move.m_to);
    const bool has_deadline = reader.read_time("deadline", presence::required, move.m_deadline);
    if (has_to && move.m_to == spec.m_version) {
        reader.add_fault("to", fmt::format("a move to {}, the version served", quote(move.m_to)),
                         "another version than the service's");
    }
    if (!has_to || !has_deadline) {
        return;
    }
    bool is_previous_move = false;
    if (context.m_previous != nullptr) {
        const auto before = context.m_previous->m_services.find(spec.m_name);
        is_previous_move =
            before != context.m_previous->m_services.end() && before->second.m_move == move;
    }
    if (!is_previous_move && move.m_deadline <= context.m_now) {
        reader.add_fault("deadline", fmt::format("the deadline {}", format_time(move.m_deadline)),
                         fmt::format("a time after {}", format_time(context.m_now)));
    }
    spec.m_move = std::move(move);
}

void read_services(parse_context& context, const table_reader& root) {
    const auto tables = root.read_named_tables("service", presence::required, max_services);
    for (const auto& [name, at, table] : tables) {
        const table_reader reader(*table, fmt::format("service.{}", name), service_keys,
                                  context.m_complete, context.m_faults);
        service_spec spec;
        spec.m_name = name;
        reader.read_name("version", presence::required, spec.m_version);
        reader.read_integer("slots", presence::optional, 1U, max_slots, spec.m_slots);
        reader.read_integer("connections", presence::optional, 1U, max_connections,
                            spec.m_connections);
        reader.read_integer("queue", presence::optional, 0U, max_queue, spec.m_queue);
        reader.read_duration("latency_limit", presence::optional, milliseconds(1), max_timeout,
                             spec.m_latency_limit);
        std::vector<table_reader::string_element> elements;
        reader.read_strings("depends_on", presence::optional, max_dependencies, elements);
        if (!elements.empty()) {
            std::vector<dependency>& dependencies = context.m_dependencies[name];
            for (table_reader::string_element& element : elements) {
                const bool is_duplicate =
                    std::find(spec.m_depends_on.begin(), spec.m_depends_on.end(), element.m_text) !=
                    spec.m_depends_on.end();
                if (is_duplicate) {
                    context.m_faults.add(element.m_position,
                                         fmt::format("{} twice", quote(element.m_text)),
                                         "each dependency once");
                    continue;
                }
                spec.m_depends_on.push_back(element.m_text);
                dependencies.push_back({std::move(element.m_text), element.m_position});
            }
        }
        read_move(context, reader, spec);
        context.m_mesh.m_services.emplace(name, std::move(spec));
    }
    // Entries that are not tables or have invalid names are missing here; they already have a
    // fault.
    for (const auto& [name, spec] : context.m_mesh.m_services) {
        context.m_declared_services.insert(name);
    }
}

// Returns the expected part of a fault about an unknown service, with the nearest declared service
// while the limit of suggestions allows it.
std::string expected_service(parse_context& context, std::string_view name) {
    if (context.m_name_hints++ < max_name_hints) {
        const std::vector<std::string_view> names(context.m_declared_services.begin(),
                                                  context.m_declared_services.end());
        if (const auto suggestion = text_check::find_nearest(name, names, (name.size() + 1) / 2)) {
            return fmt::format("a service of this text; the nearest is \"{}\"", *suggestion);
        }
    }
    return "a service of this text";
}

void read_routes(parse_context& context, const table_reader& root) {
    const auto tables = root.read_table_array("route", presence::optional, max_routes);
    std::unordered_map<std::string, position> paths;
    context.m_mesh.m_routes.reserve(tables.size());
    for (const auto& [name, at, table] : tables) {
        const table_reader reader(*table, "route", route_keys, context.m_complete,
                                  context.m_faults);
        route_spec route;
        std::string path;
        if (reader.read_text("path", presence::required, expected_path, path)) {
            if (!is_route_path(path)) {
                reader.add_fault(
                    "path", fmt::format("{} for route.path", quote(path)),
                    fmt::format("at most {} bytes, {}", max_path_bytes, expected_path));
            } else if (const auto [first, added] =
                           paths.emplace(path, reader.entry_position("path"));
                       !added) {
                reader.add_fault("path",
                                 fmt::format("{}, the path of the route in line {}", quote(path),
                                             first->second.m_line),
                                 "each path once");
            }
        }
        route.m_path = std::move(path);
        if (reader.read_name("service", presence::required, route.m_service) &&
            context.m_complete && !context.m_declared_services.contains(route.m_service)) {
            reader.add_fault(
                "service", fmt::format("a route to the unknown service {}", quote(route.m_service)),
                expected_service(context, route.m_service));
        }
        reader.read_duration("timeout", presence::optional, milliseconds(1), max_timeout,
                             route.m_timeout);
        reader.read_bool("idempotent", presence::optional, route.m_idempotent);
        reader.read_bool("large_answers", presence::optional, route.m_large_answers);
        std::string urgency_word;
        constexpr std::string_view expected_urgency = "\"urgent\", \"normal\" or \"background\"";
        if (reader.read_text("urgency", presence::optional, expected_urgency, urgency_word)) {
            const auto* const found =
                std::find(urgency_names.begin(), urgency_names.end(), urgency_word);
            if (found == urgency_names.end()) {
                reader.add_fault("urgency",
                                 fmt::format("{} for route.urgency", quote(urgency_word)),
                                 std::string(expected_urgency));
            } else {
                route.m_urgency = static_cast<urgency>(found - urgency_names.begin());
            }
        }
        context.m_mesh.m_routes.push_back(std::move(route));
    }
    sort_routes(context.m_mesh.m_routes);
}

// Adds a fault for each dependency on an unknown service and for each dependency that closes a
// cycle. The depth-first search uses an explicit stack, since a chain can be as long as the list of
// services.
void check_dependencies(parse_context& context) {
    enum class visit_state : std::uint8_t { unvisited, in_progress, done };
    struct frame {
        std::string_view m_name;
        const std::vector<dependency>* m_edges;
        std::size_t m_next = 0;
    };
    static const std::vector<dependency> no_dependencies;
    const auto edges_of = [&](std::string_view name) {
        const auto found = context.m_dependencies.find(name);
        return found == context.m_dependencies.end() ? &no_dependencies : &found->second;
    };
    std::unordered_map<std::string_view, visit_state> states;
    for (const auto& [root, edges] : context.m_dependencies) {
        if (states[root] != visit_state::unvisited) {
            continue;
        }
        std::vector<frame> stack{{root, &edges}};
        states[root] = visit_state::in_progress;
        while (!stack.empty()) {
            frame& top = stack.back();
            if (top.m_next == top.m_edges->size()) {
                states[top.m_name] = visit_state::done;
                stack.pop_back();
                continue;
            }
            const dependency& edge = (*top.m_edges)[top.m_next++];
            if (!context.m_declared_services.contains(edge.m_name)) {
                context.m_faults.add(edge.m_position,
                                     fmt::format("a dependency of {} on the unknown service {}",
                                                 quote(top.m_name), quote(edge.m_name)),
                                     expected_service(context, edge.m_name));
                continue;
            }
            visit_state& state = states[edge.m_name];
            if (state == visit_state::unvisited) {
                state = visit_state::in_progress;
                stack.push_back({edge.m_name, edges_of(edge.m_name)});
            } else if (state == visit_state::in_progress) {
                auto cycle_entry =
                    std::find_if(stack.begin(), stack.end(),
                                 [&](const frame& entry) { return entry.m_name == edge.m_name; });
                std::string cycle;
                // A long cycle is truncated to keep the message readable.
                for (std::size_t shown_count = 0; cycle_entry != stack.end() && shown_count < 20;
                     ++cycle_entry, ++shown_count) {
                    cycle += fmt::format("{} -> ", cycle_entry->m_name);
                }
                cycle += cycle_entry == stack.end() ? edge.m_name
                                                    : fmt::format("... -> {}", edge.m_name);
                context.m_faults.add(edge.m_position, fmt::format("the dependency cycle {}", cycle),
                                     "dependencies without a cycle");
            }
        }
    }
}

// Calls visit for each key of either map in ascending order, with pointers to the two values. The
// pointer is null if the map lacks the key.
template <typename map_type, typename visitor>
void visit_merged_keys(const map_type& before, const map_type& after, visitor visit) {
    auto left = before.begin();
    auto right = after.begin();
    while (left != before.end() || right != after.end()) {
        if (right == after.end() || (left != before.end() && left->first < right->first)) {
            visit(&left->second, nullptr);
            ++left;
        } else if (left == before.end() || right->first < left->first) {
            visit(nullptr, &right->second);
            ++right;
        } else {
            visit(&left->second, &right->second);
            ++left;
            ++right;
        }
    }
}

std::string describe_move(const std::optional<move_spec>& move) {
    return move ? fmt::format("to {} by {}", move->m_to, format_time(move->m_deadline))
                : std::string("none");
}

std::string format_limit(milliseconds limit) {
    return limit.count() == 0 ? std::string("none") : format_duration(limit);
}

// Appends "LABEL: KEY OLD -> NEW" to lines if the values differ.
template <typename value_type>
void diff_value(std::string_view label, std::string_view key, const value_type& before,
                const value_type& after, std::vector<std::string>& lines) {
    if (before != after) {
        lines.push_back(fmt::format("{}: {} {} -> {}", label, key, before, after));
    }
}

void diff_service(const service_spec* before, const service_spec* after,
                  std::vector<std::string>& lines) {
    if (after == nullptr) {
        lines.push_back(fmt::format("service {}: removed", before->m_name));
        return;
    }
    const std::string label = fmt::format("service {}", after->m_name);
    if (before == nullptr) {
        lines.push_back(fmt::format("{}: added with version {}", label, after->m_version));
        if (after->m_move) {
            lines.push_back(fmt::format("{}: move {}", label, describe_move(after->m_move)));
        }
        return;
    }
    diff_value(label, "version", before->m_version, after->m_version, lines);
    diff_value(label, "move", describe_move(before->m_move), describe_move(after->m_move), lines);
    diff_value(label, "depends_on", fmt::format("[{}]", fmt::join(before->m_depends_on, ", ")),
               fmt::format("[{}]", fmt::join(after->m_depends_on, ", ")), lines);
    diff_value(label, "slots", before->m_slots, after->m_slots, lines);
    diff_value(label, "connections", before->m_connections, after->m_connections, lines);
    diff_value(label, "queue", before->m_queue, after->m_queue, lines);
    diff_value(label, "latency_limit", format_limit(before->m_latency_limit),
               format_limit(after->m_latency_limit), lines);
}

void diff_route(const route_spec* before, const route_spec* after,
                std::vector<std::string>& lines) {
    if (after == nullptr) {
        lines.push_back(fmt::format("route {}: removed", before->m_path));
        return;
    }
    const std::string label = fmt::format("route {}", after->m_path);
    if (before == nullptr) {
        lines.push_back(fmt::format("{}: added to service {}", label, after->m_service));
        return;
    }
    diff_value(label, "service", before->m_service, after->m_service, lines);
    diff_value(label, "timeout", format_duration(before->m_timeout),
               format_duration(after->m_timeout), lines);
    diff_value(label, "idempotent", before->m_idempotent, after->m_idempotent, lines);
    diff_value(label, "large_answers", before->m_large_answers, after->m_large_answers, lines);
    diff_value(label, "urgency", urgency_name(before->m_urgency), urgency_name(after->m_urgency),
               lines);
}

} // namespace

std::string_view urgency_name(urgency value) {
    return urgency_names[static_cast<std::size_t>(value)];
}

std::optional<mesh> parse_mesh(std::string_view text, wall_time now, const mesh* previous,
                               std::vector<text_fault>& faults) {
    faults.clear();
    if (text.size() > max_text_bytes) {
        faults.push_back({0, 0, fmt::format("a text of {} bytes", text.size()),
                          fmt::format("at most {} bytes", max_text_bytes)});
        return std::nullopt;
    }
    parse_context context;
    context.m_now = now;
    context.m_previous = previous;
    const text_check::document parsed = text_check::parse_document(text, context.m_faults);
    context.m_complete = parsed.m_complete;

    // The format is checked first. A newer one may have keys that are unknown here, so faults other
    // than that of the format would be misleading; format_faults is discarded.
    fault_sink format_faults;
    const table_reader format_reader(*parsed.m_root, "", root_keys, parsed.m_complete,
                                     format_faults);
    std::uint64_t format = 0;
    if (format_reader.read_integer("format", presence::optional, std::uint64_t{1},
                                   std::uint64_t{INT64_MAX}, format) &&
        format > mesh_format) {
        context.m_faults.add(
            format_reader.entry_position("format"), fmt::format("format {}", format),
            fmt::format("a format up to {}, the newest that this program knows", mesh_format));
        faults = context.m_faults.take_sorted();
        return std::nullopt;
    }

    const table_reader root(*parsed.m_root, "", root_keys, parsed.m_complete, context.m_faults);
    root.read_integer("format", presence::required, std::uint64_t{1}, std::uint64_t{mesh_format},
                      format);
    root.read_name("name", presence::required, context.m_mesh.m_name);
    read_data_centres(context, root);
    read_services(context, root);
    read_routes(context, root);
    if (parsed.m_complete) {
        check_dependencies(context);
    }
    if (!context.m_faults.empty()) {
        faults = context.m_faults.take_sorted();
        return std::nullopt;
    }
    return std::move(context.m_mesh);
}

std::string format_fault(std::string_view file, const text_fault& fault) {
    if (fault.m_line == 0) {
        return fmt::format("{}: found {}; expected {}", file, fault.m_found, fault.m_expected);
    }
    return fmt::format("{}:{}:{}: found {}; expected {}", file, fault.m_line, fault.m_column,
                       fault.m_found, fault.m_expected);
}

std::vector<std::string> diff_mesh(const mesh& before, const mesh& after) {
    std::vector<std::string> lines;
    if (before.m_name != after.m_name) {
        lines.push_back(fmt::format("name: {} -> {}", before.m_name, after.m_name));
    }
    visit_merged_keys(
        before.m_data_centres, after.m_data_centres,
        [&](const data_centre_spec* old_spec, const data_centre_spec* new_spec) {
            if (new_spec == nullptr) {
                lines.push_back(fmt::format("data_centre {}: removed", old_spec->m_name));
            } else if (old_spec == nullptr) {
                lines.push_back(fmt::format("data_centre {}: added{}", new_spec->m_name,
                                            new_spec->m_out_of_service ? ", out of service" : ""));
            } else if (old_spec->m_out_of_service != new_spec->m_out_of_service) {
                lines.push_back(fmt::format("data_centre {}: {}", new_spec->m_name,
                                            new_spec->m_out_of_service ? "taken out of service"
                                                                       : "returned to service"));
            }
        });
    visit_merged_keys(before.m_services, after.m_services,
                      [&](const service_spec* old_spec, const service_spec* new_spec) {
                          diff_service(old_spec, new_spec, lines);
                      });
    std::map<std::string_view, route_spec> old_routes;
    std::map<std::string_view, route_spec> new_routes;
    for (const route_spec& route : before.m_routes) {
        old_routes.emplace(route.m_path, route);
    }
    for (const route_spec& route : after.m_routes) {
        new_routes.emplace(route.m_path, route);
    }
    visit_merged_keys(old_routes, new_routes,
                      [&](const route_spec* old_route, const route_spec* new_route) {
                          diff_route(old_route, new_route, lines);
                      });
    return lines;
}

namespace {

// Returns true if the route sorts before the path and host in the order of mesh::m_routes.
bool precedes(const route_spec& route, std::string_view path, std::string_view host) {
    if (route.m_path.size() != path.size()) {
        return route.m_path.size() > path.size();
    }
    return route.m_path != path ? route.m_path < path : route.m_host < host;
}

// Returns the route with exactly this host and path, or null.
const route_spec* find_route(const mesh& config, std::string_view host, std::string_view path) {
    const auto at = std::lower_bound(config.m_routes.begin(), config.m_routes.end(), path,
                                     [host](const route_spec& route, std::string_view wanted_path) {
                                         return precedes(route, wanted_path, host);
                                     });
    const bool found = at != config.m_routes.end() && at->m_path == path && at->m_host == host;
    return found ? &*at : nullptr;
}

// Returns the route with exactly this prefix for the host, otherwise the one for any host, or null.
const route_spec* find_exact_prefix(const mesh& config, std::string_view host,
                                    std::string_view path) {
    if (!host.empty()) {
        if (const route_spec* route = find_route(config, host, path)) {
            return route;
        }
    }
    return find_route(config, {}, path);
}

} // namespace

void sort_routes(std::vector<route_spec>& routes) {
    std::sort(routes.begin(), routes.end(), [](const route_spec& left, const route_spec& right) {
        return precedes(left, right.m_path, right.m_host);
    });
}

const route_spec* match_route(const mesh& config, std::string_view host, std::string_view path) {
    path = path.substr(0, path.find_first_of("?#"));
    if (path.empty() || path[0] != '/' || config.m_routes.empty()) {
        return nullptr;
    }
    // A prefix ends at the end of the path, before a slash or after one. Prefixes longer than the
    // longest route are skipped, which bounds the work for a long path.
    std::size_t end = path.size();
    const std::size_t longest = config.m_routes.front().m_path.size();
    while (end > 0) {
        const std::size_t after_slash = std::min(end + 1, path.size());
        for (const std::size_t length : {after_slash, end}) {
            if (length > longest) {
                continue;
            }
            if (const route_spec* route = find_exact_prefix(config, host, path.substr(0, length))) {
                return route;
            }
        }
        end = path.rfind('/', end - 1);
    }
    return find_exact_prefix(config, host, "/");
}

const route_spec* match_route(const mesh& config, std::string_view path) {
    return match_route(config, {}, path);
}

bool is_old_version(const service_spec& service, std::string_view version,
                    std::span<const std::string> excluded) {
    if (!service.m_version.empty()) {
        return version == service.m_version;
    }
    const bool is_target = service.m_move && version == service.m_move->m_to;
    return !is_target && std::find(excluded.begin(), excluded.end(), version) == excluded.end();
}

std::string move_id(std::string_view service, const move_spec& move) {
    const std::string key =
        move.m_order_revision != 0
            ? fmt::format("{}\n{}\norder {}", service, move.m_to, move.m_order_revision)
            : fmt::format("{}\n{}\n{}", service, move.m_to, unix_ms(move.m_deadline));
    return fmt::format("{:016x}", hash_bytes(key));
}

} // namespace caraway
