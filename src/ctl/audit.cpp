#include "ctl/audit.hpp"

#include <algorithm>
#include <fstream>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <tuple>
#include <unordered_map>
#include <utility>

#include <boost/json.hpp>
#include <fmt/format.h>

#include "base/hash.hpp"
#include "ctl/commands.hpp"
#include "ctl/records.hpp"

namespace caraway {
namespace {

namespace json = boost::json;

// Bytes read from a file at a time. The file is closed after each read, so that the number of logs
// may exceed the limit of open files.
constexpr std::size_t chunk_bytes = 64U << 10U;

// Longest line that is read whole. A longer line is cut and counted as unreadable.
constexpr std::size_t max_line_bytes = 1U << 20U;

// Position of a log line.
struct line_position {
    std::uint32_t m_file = 0; // index of the file
    std::uint64_t m_line = 0; // line number, starting at 1
};

// A parsed log line with an event and a valid time.
struct log_line {
    line_position m_position;
    std::int64_t m_time = 0; // Unix milliseconds
    json::object m_fields;
};

// Reads one file line by line.
class log_file {
public:
    explicit log_file(std::string path) : m_path(std::move(path)) {}

    // Returns the next line without its line break, or nothing at the end of the file. The view is
    // valid until the next call.
    std::optional<std::string_view> next() {
        for (;;) {
            const std::size_t end = m_buffer.find('\n', m_begin);
            if (end != std::string::npos) {
                const std::string_view line(m_buffer.data() + m_begin, end - m_begin);
                m_begin = end + 1;
                ++m_line;
                return line;
            }
            if (m_at_end) {
                if (m_begin >= m_buffer.size()) {
                    return std::nullopt;
                }
                const std::string_view line = std::string_view(m_buffer).substr(m_begin);
                m_begin = m_buffer.size();
                ++m_line;
                return line;
            }
            read_chunk();
        }
    }

    // Returns the number of the line that next() returned last.
    std::uint64_t line_number() const { return m_line; }
    // Returns whether the file could not be read.
    bool failed() const { return m_failed; }
    const std::string& path() const { return m_path; }

private:
    // Appends the next chunk of the file to the buffer.
    void read_chunk() {
        m_buffer.erase(0, m_begin);
        m_begin = 0;
        // Replaces the start of an overlong line by a character that makes the line invalid JSON.
        if (m_buffer.size() > max_line_bytes) {
            m_buffer.assign(1, '?');
        }
        std::ifstream file(m_path, std::ios::binary);
        file.seekg(m_offset);
        if (!file) {
            m_failed = true;
            m_at_end = true;
            return;
        }
        const std::size_t kept = m_buffer.size();
        m_buffer.resize(kept + chunk_bytes);
        file.read(m_buffer.data() + kept, chunk_bytes);
        const std::streamsize count = file.gcount();
        m_buffer.resize(kept + static_cast<std::size_t>(count));
        m_offset += count;
        m_at_end = count < static_cast<std::streamsize>(chunk_bytes);
    }

    std::string m_path;
    std::string m_buffer;
    std::size_t m_begin = 0;     // start of the next line in m_buffer
    std::streamoff m_offset = 0; // file offset of the next chunk
    std::uint64_t m_line = 0;
    bool m_at_end = false;
    bool m_failed = false;
};

// Returns a string field, or an empty view if it is absent or of another type.
std::string_view text_at(const json::object& object, json::string_view key) {
    const json::value* value = object.if_contains(key);
    if (value == nullptr || !value->is_string()) {
        return {};
    }
    return {value->get_string().data(), value->get_string().size()};
}

// Returns a numeric field as an integer, or nothing if it is absent or not an integer in range.
std::optional<std::int64_t> number_at(const json::object& object, json::string_view key) {
    const json::value* value = object.if_contains(key);
    if (value == nullptr || !value->is_number()) {
        return std::nullopt;
    }
    json::error_code failure;
    const auto number = value->to_number<std::int64_t>(failure);
    return failure ? std::nullopt : std::optional(number);
}

std::optional<bool> flag_at(const json::object& object, json::string_view key) {
    const json::value* value = object.if_contains(key);
    return value != nullptr && value->is_bool() ? std::optional(value->get_bool()) : std::nullopt;
}

// Returns a request number or idempotency key as text. Request numbers may be logged as numbers.
std::string identity_at(const json::object& object, json::string_view key) {
    const json::value* value = object.if_contains(key);
    if (value == nullptr || value->is_null()) {
        return {};
    }
    if (value->is_string()) {
        return std::string(text_at(object, key));
    }
    return std::string(json::serialize(*value));
}

// The logged starts and outcomes of one request, or of one idempotency key, at one service.
// Idempotence and outcome are logged after the starts, so the record is checked only at the end of
// the logs.
struct request_record {
    std::uint32_t m_start_count = 0;
    // Number of starts after which the backend server reported that it did not run the request.
    std::uint32_t m_shed_count = 0;
    line_position m_first_start;
    line_position m_last_start; // latest start after the first
    std::uint64_t m_route = 0;  // hash of route and service
    std::optional<bool> m_idempotent;
    bool m_ended_not_run = false;   // the entry side logged an outcome that means not run
    bool m_ended_otherwise = false; // the entry side logged another outcome
    line_position m_not_run_position;
};

struct instance_record {
    std::int64_t m_version = 0;            // highest applied version
    std::optional<std::int64_t> m_left_at; // Unix milliseconds; unset again by a restart
};

// Latest known state of a data centre. m_version is the highest configuration version for which a
// line reported the state. Nodes log a change at different times, so a late line of an older
// version is ignored.
struct data_centre_record {
    std::int64_t m_version = -1;
    std::optional<std::int64_t> m_out_at; // time when it was taken out, Unix milliseconds
};

struct tracked_move {
    std::string m_service;
    std::optional<std::int64_t> m_final_revision;
    std::string m_final_state;
};

struct audit_state {
    audit_report m_report;
    std::vector<std::string> m_files;
    std::map<std::string, instance_record, std::less<>> m_instances;
    std::map<std::string, data_centre_record, std::less<>> m_data_centres;
    std::map<std::string, tracked_move, std::less<>> m_moves;
    // Time of the first suspension, Unix milliseconds, by service and version.
    std::map<std::pair<std::string, std::string>, std::int64_t> m_suspension_times;
    // By identity_hash of the request number, of the idempotency key and of the route.
    std::unordered_map<std::uint64_t, request_record> m_requests;
    std::unordered_map<std::uint64_t, request_record> m_idempotency_keys;
    std::unordered_map<std::uint64_t, bool> m_route_idempotent;
};

void add_breach(audit_state& state, line_position position, std::string_view kind,
                std::string text) {
    ++state.m_report.m_breach_count;
    if (state.m_report.m_breaches.size() < max_audit_breaches) {
        state.m_report.m_breaches.push_back(
            {state.m_files[position.m_file], position.m_line, std::string(kind), std::move(text)});
    }
}

// Returns the hash that identifies a request, key or route at a service. The service is part of it
// because a call chain may pass the same request number to several services.
std::uint64_t identity_hash(std::string_view identity, std::string_view service) {
    return hash_bytes(identity, hash_bytes(service));
}

std::string format_position(const audit_state& state, line_position position) {
    return fmt::format("{}:{}", state.m_files[position.m_file], position.m_line);
}

// Counts one start and stores its position.
void count_start(request_record& record, line_position position, std::uint64_t route) {
    if (++record.m_start_count == 1) {
        record.m_first_start = position;
    } else {
        record.m_last_start = position;
    }
    record.m_route = route;
}

// Records a call that started at a backend server. Reports a start after the grace period on an
// instance that left, in a data centre that was taken out or on a suspended version.
void check_call_start(audit_state& state, const log_line& line) {
    ++state.m_report.m_start_count;
    const std::string_view service = text_at(line.m_fields, "service");
    const std::uint64_t route = identity_hash(text_at(line.m_fields, "route"), service);
    const auto idempotent = flag_at(line.m_fields, "idempotent");
    const std::string request = identity_at(line.m_fields, "request");
    if (!request.empty()) {
        request_record& record = state.m_requests[identity_hash(request, service)];
        count_start(record, line.m_position, route);
        record.m_idempotent = idempotent ? idempotent : record.m_idempotent;
    }
    const std::string key = identity_at(line.m_fields, "key");
    if (!key.empty()) {
        request_record& record = state.m_idempotency_keys[identity_hash(key, service)];
        count_start(record, line.m_position, route);
        record.m_idempotent = idempotent ? idempotent : record.m_idempotent;
    }

    const std::string_view instance = text_at(line.m_fields, "instance");
    const auto found = state.m_instances.find(instance);
    if (found != state.m_instances.end() && found->second.m_left_at &&
        line.m_time - *found->second.m_left_at > audit_grace_period.count()) {
        add_breach(state, line.m_position, "work-after-leaving",
                   fmt::format("a call started on {} {} ms after the instance began to leave",
                               instance, line.m_time - *found->second.m_left_at));
    }
    const std::string_view data_centre = text_at(line.m_fields, "data_centre");
    const auto centre = state.m_data_centres.find(data_centre);
    if (centre != state.m_data_centres.end() && centre->second.m_out_at &&
        line.m_time - *centre->second.m_out_at > audit_grace_period.count()) {
        add_breach(state, line.m_position, "work-in-data-centre-out",
                   fmt::format("a call started on {} {} ms after {} was taken out", instance,
                               line.m_time - *centre->second.m_out_at, data_centre));
    }
    const auto suspended = state.m_suspension_times.find(
        {std::string(service), std::string(text_at(line.m_fields, "version"))});
    if (suspended != state.m_suspension_times.end() &&
        line.m_time - suspended->second > audit_grace_period.count()) {
        add_breach(state, line.m_position, "work-on-suspended-version",
                   fmt::format("a call started on {} {} {} ms after its suspension", service,
                               suspended->first.second, line.m_time - suspended->second));
    }
}

// Records the outcome of a call. Reports a call that counts as not run although it was sent.
void check_call_end(audit_state& state, const log_line& line) {
    const std::string_view service = text_at(line.m_fields, "service");
    const std::string_view outcome = text_at(line.m_fields, "outcome");
    // Both outcomes state to the caller that its request did not run.
    const bool not_run = outcome == "not-run" || outcome == "deadline";
    const auto sent = flag_at(line.m_fields, "sent");
    if (not_run && sent.value_or(false)) {
        add_breach(
            state, line.m_position, "not-run-but-sent",
            fmt::format("the outcome is {} although a byte reached the backend server", outcome));
    }
    const auto idempotent = flag_at(line.m_fields, "idempotent");
    const bool entry = text_at(line.m_fields, "side") == "entry";
    if (entry) {
        ++state.m_report.m_end_count;
    }
    if (idempotent) {
        state.m_route_idempotent[identity_hash(text_at(line.m_fields, "route"), service)] =
            *idempotent;
    }
    const bool shed = !entry && text_at(line.m_fields, "reason") == "backend-shed";
    const std::string key = identity_at(line.m_fields, "key");
    if (shed && !key.empty()) {
        ++state.m_idempotency_keys[identity_hash(key, service)].m_shed_count;
    }
    const std::string request = identity_at(line.m_fields, "request");
    if (request.empty()) {
        return;
    }
    request_record& record = state.m_requests[identity_hash(request, service)];
    record.m_idempotent = idempotent ? idempotent : record.m_idempotent;
    record.m_shed_count += shed ? 1 : 0;
    if (entry && not_run) {
        record.m_ended_not_run = true;
        record.m_not_run_position = line.m_position;
    } else if (entry) {
        record.m_ended_otherwise = true;
    }
}

// Reports an instance that applies a lower version than before, also across restarts.
void check_applied_version(audit_state& state, const log_line& line) {
    const auto version = number_at(line.m_fields, "version");
    if (!version) {
        return;
    }
    const std::string_view instance = text_at(line.m_fields, "instance");
    instance_record& record = state.m_instances[std::string(instance)];
    if (*version < record.m_version) {
        add_breach(state, line.m_position, "version-fell",
                   fmt::format("{} applied version {} after version {}", instance, *version,
                               record.m_version));
    }
    record.m_version = std::max(record.m_version, *version);
}

// Records that a data centre was taken out or put back in.
void track_data_centre(audit_state& state, const log_line& line, bool out) {
    const auto version = number_at(line.m_fields, "version");
    // The field data_centre is that of the node that logged the line.
    const std::string_view subject = text_at(line.m_fields, "of");
    data_centre_record& record = state.m_data_centres[std::string(
        subject.empty() ? text_at(line.m_fields, "data_centre") : subject)];
    if (version && *version <= record.m_version && record.m_out_at.has_value() != out) {
        return;
    }
    record.m_version = std::max(record.m_version, version.value_or(record.m_version));
    if (!out) {
        record.m_out_at.reset();
    } else if (!record.m_out_at) {
        record.m_out_at = line.m_time;
    }
}

// Records the state of a move. Reports a move whose final state is overwritten.
void check_move_record(audit_state& state, const log_line& line) {
    const std::string id(text_at(line.m_fields, "move"));
    const std::string service(text_at(line.m_fields, "service"));
    const std::string_view new_state = text_at(line.m_fields, "state");
    const std::int64_t revision = number_at(line.m_fields, "revision").value_or(0);
    const auto [found, added] = state.m_moves.try_emplace(id);
    tracked_move& move = found->second;
    move.m_service = service;
    if (added) {
        // A new move may retry a version that was suspended in an older move.
        std::erase_if(state.m_suspension_times,
                      [&](const auto& entry) { return entry.first.first == service; });
    }
    // A record that is read back after a lost reply is logged again with the same revision.
    if (move.m_final_revision && revision != *move.m_final_revision) {
        add_breach(
            state, line.m_position, "final-state-rewritten",
            fmt::format("move {} of {} was written as {} at revision {} after its final state "
                        "{} at revision {}",
                        id, service, new_state, revision, move.m_final_state,
                        *move.m_final_revision));
    } else if (new_state != "running" && !new_state.empty()) {
        move.m_final_revision = revision;
        move.m_final_state = new_state;
    }
}

// Records when a version was first suspended.
void track_suspension(audit_state& state, const log_line& line) {
    std::string service(text_at(line.m_fields, "service"));
    if (service.empty()) {
        const auto move = state.m_moves.find(text_at(line.m_fields, "move"));
        if (move == state.m_moves.end()) {
            return;
        }
        service = move->second.m_service;
    }
    state.m_suspension_times.try_emplace(
        {std::move(service), std::string(text_at(line.m_fields, "version"))}, line.m_time);
}

void check_line(audit_state& state, const log_line& line) {
    const std::string_view event = text_at(line.m_fields, "event");
    if (event == "backend_call_started") {
        check_call_start(state, line);
    } else if (event == "call_ended") {
        check_call_end(state, line);
    } else if (event == "config_applied") {
        check_applied_version(state, line);
    } else if (event == "data_centre_out" || event == "data_centre_in") {
        track_data_centre(state, line, event == "data_centre_out");
    } else if (event == "move_written") {
        check_move_record(state, line);
    } else if (event == "version_suspended") {
        track_suspension(state, line);
    } else if (event == "leaving") {
        state.m_instances[std::string(text_at(line.m_fields, "instance"))].m_left_at = line.m_time;
    } else if (event == "node_started") {
        state.m_instances[std::string(text_at(line.m_fields, "instance"))].m_left_at.reset();
    }
}

// Returns false if the request is known to be idempotent from its own lines or, if these don't say,
// from its route's lines. Requests of unknown idempotence must run at most once, since the logs
// don't show that repeating them is safe.
bool must_run_at_most_once(const audit_state& state, const request_record& record) {
    if (record.m_idempotent) {
        return !*record.m_idempotent;
    }
    const auto route = state.m_route_idempotent.find(record.m_route);
    return route == state.m_route_idempotent.end() || !route->second;
}

// Reports non-idempotent requests or keys that ran more than once, and requests that ran although
// every outcome that the entry side logged says that they did not. what names the kind of record in
// messages.
void check_start_counts(audit_state& state,
                        const std::unordered_map<std::uint64_t, request_record>& records,
                        std::string_view what) {
    for (const auto& [hash, record] : records) {
        const std::uint32_t runs =
            record.m_start_count - std::min(record.m_start_count, record.m_shed_count);
        if (runs > 1 && must_run_at_most_once(state, record)) {
            add_breach(state, record.m_last_start, "started-twice",
                       fmt::format("a non-idempotent {} started {} times, first in {}", what, runs,
                                   format_position(state, record.m_first_start)));
        }
        if (runs > 0 && record.m_ended_not_run && !record.m_ended_otherwise) {
            add_breach(
                state, record.m_not_run_position, "not-run-but-started",
                fmt::format("the outcome is not-run or deadline although the {} started in {}",
                            what, format_position(state, record.m_first_start)));
        }
    }
}

// Returns the next line that can be checked, or nothing at the end of the file. Skips and counts
// unreadable lines.
std::optional<log_line> next_line(audit_state& state, log_file& file, std::uint32_t index) {
    while (const auto text = file.next()) {
        ++state.m_report.m_lines;
        json::error_code failure;
        json::value parsed = json::parse(json::string_view(text->data(), text->size()), failure);
        const json::object* object = failure ? nullptr : parsed.if_object();
        const auto time = object != nullptr ? number_at(*object, "time") : std::nullopt;
        if (!time || *time < 0 || *time > max_unix_ms || text_at(*object, "event").empty()) {
            ++state.m_report.m_unreadable_lines;
            continue;
        }
        return log_line{{index, file.line_number()}, *time, std::move(parsed.get_object())};
    }
    return std::nullopt;
}

} // namespace

audit_report audit_logs(const std::vector<std::string>& files) {
    audit_state state;
    state.m_files = files;
    std::vector<log_file> readers(files.begin(), files.end());
    // The next line of each file. The earliest of these lines is checked first.
    std::vector<log_line> next_lines(readers.size());
    using time_and_file = std::pair<std::int64_t, std::uint32_t>;
    std::priority_queue<time_and_file, std::vector<time_and_file>, std::greater<>> order;
    const auto advance = [&](std::uint32_t file) {
        if (auto line = next_line(state, readers[file], file)) {
            order.emplace(line->m_time, file);
            next_lines[file] = std::move(*line);
        }
    };
    for (std::uint32_t file = 0; file < readers.size(); ++file) {
        advance(file);
    }
    while (!order.empty()) {
        const std::uint32_t file = order.top().second;
        order.pop();
        check_line(state, next_lines[file]);
        advance(file);
    }
    check_start_counts(state, state.m_requests, "request");
    check_start_counts(state, state.m_idempotency_keys, "key");
    for (const log_file& file : readers) {
        if (file.failed()) {
            state.m_report.m_unreadable_files.push_back(file.path());
        }
    }
    std::sort(state.m_report.m_breaches.begin(), state.m_report.m_breaches.end(),
              [](const auto& a, const auto& b) {
                  return std::tie(a.m_file, a.m_line, a.m_kind) <
                         std::tie(b.m_file, b.m_line, b.m_kind);
              });
    return std::move(state.m_report);
}

int audit_files(const console& out, const std::vector<std::string>& files) {
    const audit_report report = audit_logs(files);
    for (const audit_breach& breach : report.m_breaches) {
        if (out.m_json) {
            out.m_out(json::serialize(json::object{{"file", breach.m_file},
                                                   {"line", breach.m_line},
                                                   {"kind", breach.m_kind},
                                                   {"text", breach.m_text}}));
        } else {
            out.m_out(fmt::format("{}:{}: {}: {}", breach.m_file, breach.m_line, breach.m_kind,
                                  breach.m_text));
        }
    }
    for (const std::string& file : report.m_unreadable_files) {
        out.m_err(fmt::format("{}: the file can't be read", file));
    }
    const std::uint64_t breaches = report.m_breach_count;
    if (out.m_json) {
        out.m_out(json::serialize(json::object{{"result", breaches == 0 ? "done" : "breaches"},
                                               {"files", files.size()},
                                               {"lines", report.m_lines},
                                               {"unreadable", report.m_unreadable_lines},
                                               {"starts", report.m_start_count},
                                               {"ends", report.m_end_count},
                                               {"breaches", breaches}}));
    } else {
        out.m_out(fmt::format("{} files, {} lines ({} unreadable), {} calls ended, {} started at "
                              "backend servers, {} breaches",
                              files.size(), report.m_lines, report.m_unreadable_lines,
                              report.m_end_count, report.m_start_count, breaches));
    }
    if (!report.m_unreadable_files.empty()) {
        return exit_usage;
    }
    return breaches == 0 ? exit_done : exit_negative;
}

} // namespace caraway
