// The commands check, diff, fetch and apply, which read and write the configuration text.
#include "ctl/commands.hpp"

#include <array>
#include <charconv>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <span>
#include <utility>

#include <boost/json.hpp>
#include <fmt/format.h>

#include "base/hash.hpp"
#include "config/mesh.hpp"
#include "ctl/current_text.hpp"
#include "ctl/records.hpp"
#include "peer/wire.hpp"

namespace caraway {
namespace {

namespace json = boost::json;

constexpr std::string_view text_key = "caraway/text";
constexpr std::string_view text_delta_key = "caraway/text-delta";
constexpr std::string_view accepted_key = "caraway/state/accepted";
constexpr std::string_view refused_key = "caraway/state/refused";
constexpr std::string_view config_verdict_prefix = "caraway/verdict/config/";

// Start of the last line of a submitted text. The store records no author, so apply writes the
// author into the text. An operator who loses a race is then told who won it.
constexpr std::string_view attribution_prefix = "# carawayctl: applied by ";

// Upper bound of the author's name in the attribution line, in bytes.
constexpr std::size_t max_author_bytes = 64;

std::optional<std::string> read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    if (file.bad()) {
        return std::nullopt;
    }
    return text;
}

// Writes to a temporary file and renames it, so that an interrupted command leaves no partial file.
// Returns false on failure.
bool write_file(const std::string& path, std::string_view text) {
    const std::string partial = path + ".partial";
    {
        std::ofstream file(partial, std::ios::binary | std::ios::trunc);
        file.write(text.data(), static_cast<std::streamsize>(text.size()));
        file.flush();
        if (!file) {
            return false;
        }
    }
    std::error_code failure;
    std::filesystem::rename(partial, path, failure);
    return !failure;
}

json::array to_json(std::span<const text_fault> faults) {
    json::array array;
    for (const text_fault& fault : faults) {
        array.push_back(json::object{{"line", fault.m_line},
                                     {"column", fault.m_column},
                                     {"found", fault.m_found},
                                     {"expected", fault.m_expected}});
    }
    return array;
}

json::array to_json(std::span<const std::string> lines) {
    json::array array;
    for (const std::string& line : lines) {
        array.push_back(json::string(line));
    }
    return array;
}

// Prints one failure and returns the exit code.
int report_failure(const console& out, int code, std::string_view result, std::string_view text) {
    if (out.m_json) {
        out.m_out(json::serialize(json::object{{"result", result}, {"text", text}}));
    } else {
        out.m_err(text);
    }
    return code;
}

int report_faults(const console& out, std::string_view file, std::span<const text_fault> faults) {
    if (out.m_json) {
        out.m_out(json::serialize(
            json::object{{"result", "refused"}, {"file", file}, {"faults", to_json(faults)}}));
        return exit_refused;
    }
    for (const text_fault& fault : faults) {
        out.m_err(format_fault(file, fault));
    }
    out.m_err(
        fmt::format("{}: refused, {} fault{}", file, faults.size(), faults.size() == 1 ? "" : "s"));
    return exit_refused;
}

int report_changes(const console& out, std::span<const std::string> lines) {
    if (out.m_json) {
        out.m_out(json::serialize(json::object{{"result", "done"}, {"changes", to_json(lines)}}));
        return exit_done;
    }
    for (const std::string& line : lines) {
        out.m_out(line);
    }
    if (lines.empty()) {
        out.m_out("no change");
    }
    return exit_done;
}

int report_store_failure(const console& out, const store_reply& reply) {
    return report_failure(
        out, exit_unreachable, "unreachable",
        fmt::format("store: {} ({})", error_info_for(reply.m_kind).m_name, reply.m_text));
}

int report_unreadable(const console& out, const std::string& file) {
    return report_failure(out, exit_usage, "usage",
                          fmt::format("{}: the file can't be read", file));
}

// Returns the last attribution of a text, without attribution_prefix, or an empty view if it has
// none.
std::string_view attribution_of(std::string_view text) {
    const std::size_t line_begin = text.rfind(attribution_prefix);
    if (line_begin == std::string_view::npos || (line_begin > 0 && text[line_begin - 1] != '\n')) {
        return {};
    }
    const std::string_view line = text.substr(line_begin, text.find('\n', line_begin) - line_begin);
    return line.substr(attribution_prefix.size());
}

// Appends an attribution line, which replaces an existing one at the end of the text. All other
// lines keep their numbers, so that faults refer to lines of the operator's file.
std::string add_attribution(std::string_view text, std::string_view by, wall_time now,
                            std::uint64_t from_revision) {
    const std::size_t line_begin = text.rfind(attribution_prefix);
    if (line_begin != std::string_view::npos && (line_begin == 0 || text[line_begin - 1] == '\n') &&
        text.find('\n', line_begin) >= text.size() - 1) {
        text = text.substr(0, line_begin);
    }
    std::string author;
    for (const char c : by.substr(0, max_author_bytes)) {
        author += c >= ' ' && c < 0x7f ? c : '?';
    }
    return fmt::format("{}{}{}{} at {} from revision {}\n", text,
                       text.empty() || text.ends_with('\n') ? "" : "\n", attribution_prefix,
                       author.empty() ? "unknown" : author, format_unix_ms(unix_ms(now)),
                       from_revision);
}

// Returns the name of the file that stores the revision of a fetched or applied text.
std::string revision_file(const std::string& file) {
    return file + ".revision";
}

// Reads the revision stored for a file. Returns nothing if there is none or it is malformed.
std::optional<std::uint64_t> read_revision(const std::string& file) {
    const auto text = read_file(revision_file(file));
    if (!text) {
        return std::nullopt;
    }
    std::uint64_t revision = 0;
    const auto [rest, failure] =
        std::from_chars(text->data(), text->data() + text->size(), revision);
    const bool ends = rest == text->data() + text->size() || *rest == '\n';
    return failure == std::errc{} && ends ? std::optional(revision) : std::nullopt;
}

// Reports a lost race: who won it, and how the file differs from the winner's text.
int report_lost_race(const console& out, const apply_options& options, std::uint64_t from_revision,
                     const write_result& result, const mesh& submitted) {
    std::vector<text_fault> faults;
    std::vector<std::string> changes;
    if (const auto winner = parse_mesh(result.m_value, wall_time{}, nullptr, faults)) {
        changes = diff_mesh(*winner, submitted);
    }
    std::string_view by = attribution_of(result.m_value);
    by = by.empty() ? "an unknown writer" : by;
    if (out.m_json) {
        out.m_out(json::serialize(json::object{{"result", "lost"},
                                               {"from", from_revision},
                                               {"revision", result.m_revision},
                                               {"by", by},
                                               {"may_have_run", result.m_may_have_been_stored},
                                               {"changes", to_json(changes)}}));
        return exit_refused;
    }
    out.m_err(fmt::format("{}: edited from revision {}, but the text is at revision {}, applied by "
                          "{}",
                          options.m_file, from_revision, result.m_revision, by));
    out.m_err(result.m_may_have_been_stored
                  ? "a reply of the store was lost: this text may have stood before the winner's"
                  : "nothing was changed; fetch the text, edit it and apply it again");
    for (const std::string& line : changes) {
        out.m_err(fmt::format("change from the winner's text to this file: {}", line));
    }
    return exit_refused;
}

// Progress of waiting for the verdict on a submitted text.
struct wait_state {
    std::uint64_t m_revision = 0;         // of the submitted text
    std::uint64_t m_accepted_version = 0; // version that it was accepted as; 0 until then
    std::optional<int> m_exit_code;       // set once the wait is over
};

// Prints one step in the processing of a submitted text, such as its acceptance.
void report_progress(const console& out, std::string_view result, std::uint64_t version,
                     std::string_view text) {
    if (out.m_json) {
        out.m_out(json::serialize(
            json::object{{"result", result}, {"version", version}, {"text", text}}));
    } else {
        out.m_out(text);
    }
}

// Handles the verdict on a version. If a later version is in force everywhere, no instance is
// behind the submitted one either, so the wait ends successfully. When the text changes every few
// seconds, many versions are superseded before they get a verdict of their own.
void handle_verdict(const console& out, const stored_config_verdict& verdict, wait_state& state) {
    if (state.m_accepted_version == 0 || verdict.m_version < state.m_accepted_version) {
        return;
    }
    if (is_in_force(verdict)) {
        report_progress(out, "in_force", verdict.m_version, describe(verdict));
        state.m_exit_code = exit_done;
    } else if (verdict.m_final && verdict.m_version == state.m_accepted_version) {
        report_progress(out, "not_in_force", verdict.m_version, describe(verdict));
        state.m_exit_code = exit_negative;
    }
}

// Handles an acceptance, of the submitted text or of a later one.
void handle_accepted(const console& out, const stored_acceptance& accepted, wait_state& state) {
    if (state.m_accepted_version != 0) {
        return;
    }
    if (accepted.m_source_revision == state.m_revision) {
        state.m_accepted_version = accepted.m_version;
        report_progress(out, "accepted", state.m_accepted_version, describe(accepted));
    } else if (accepted.m_source_revision > state.m_revision) {
        report_progress(
            out, "superseded", accepted.m_version,
            fmt::format("a later text was accepted in its place: {}", describe(accepted)));
        state.m_exit_code = exit_refused;
    }
}

// Handles one changed record while waiting. file names the submitted file in messages.
void handle_record(const console& out, const std::string& file, std::string_view key,
                   std::string_view value, wait_state& state) {
    if (key == accepted_key) {
        if (const auto accepted = parse_accepted(value)) {
            handle_accepted(out, *accepted, state);
        }
    } else if (key == refused_key) {
        const auto refused = parse_refused(value);
        if (refused && refused->m_source_revision == state.m_revision) {
            state.m_exit_code = report_faults(out, file, refused->m_faults);
        }
    } else if (key.starts_with(config_verdict_prefix)) {
        if (const auto verdict = parse_config_verdict(value)) {
            handle_verdict(out, *verdict, state);
        }
    }
}

// Waits until a submitted text is refused, superseded or has a verdict, and returns the exit code.
// All relevant records are written after the text, so watching from the text's revision misses
// none.
int wait_for_verdict(const console& out, const store_interface& store, const apply_options& options,
                     std::uint64_t revision) {
    wait_state state;
    state.m_revision = revision;
    const std::array<std::string, 2> prefixes{"caraway/state/", std::string(config_verdict_prefix)};
    const auto deadline = std::chrono::steady_clock::now() + options.m_timeout;
    while (!state.m_exit_code) {
        const auto time_left =
            std::chrono::duration_cast<milliseconds>(deadline - std::chrono::steady_clock::now());
        const bool version_unknown = state.m_accepted_version == 0;
        const change_handler handler = [&](const store_entry& entry) {
            if (!entry.m_deleted) {
                handle_record(out, options.m_file, entry.m_key, entry.m_value, state);
            }
            // Stops the watch once the version is known. The loop watches again from the text's
            // revision, because verdicts on the version may have arrived before it was known.
            return !state.m_exit_code && !(version_unknown && state.m_accepted_version != 0);
        };
        if (time_left.count() <= 0 ||
            store.m_follow(prefixes, revision, time_left, handler) != error_kind::none) {
            return report_failure(out, exit_negative, "no_verdict",
                                  fmt::format("no verdict on revision {} within {} s", revision,
                                              options.m_timeout.count() / 1000));
        }
    }
    return *state.m_exit_code;
}

// Writes the delta from the accepted text to the submitted text, so that the node that accepts the
// text need not read all of it. The delta contains the store revision of the text, so it can't be
// mistaken for the delta of another writer's text. A failure is not reported, because without a
// delta that node reads the whole text after a short wait.
void submit_delta(const store_interface& store, const accepted_config& current,
                  std::string_view text, std::uint64_t text_revision,
                  std::uint64_t delta_revision) {
    const std::uint64_t base = current.m_accepted ? current.m_accepted->m_version : 0;
    const std::string value =
        encode_stored_text(pack_text(text_revision, hash_bytes(text), text, base, current.m_text));
    if (value.size() < text.size()) {
        store.m_put(text_delta_key, value, delta_revision);
    }
}

} // namespace

int check_text(const console& out, const std::string& file, const std::string& previous,
               wall_time now) {
    std::optional<mesh> before;
    std::vector<text_fault> faults;
    if (!previous.empty()) {
        const auto text = read_file(previous);
        if (!text) {
            return report_unreadable(out, previous);
        }
        before = parse_mesh(*text, wall_time{}, nullptr, faults);
        if (!before) {
            return report_faults(out, previous, faults);
        }
    }
    const auto text = read_file(file);
    if (!text) {
        return report_unreadable(out, file);
    }
    const auto parsed = parse_mesh(*text, now, before ? &*before : nullptr, faults);
    if (!parsed) {
        return report_faults(out, file, faults);
    }
    if (out.m_json) {
        out.m_out(json::serialize(json::object{{"result", "done"},
                                               {"file", file},
                                               {"data_centres", parsed->m_data_centres.size()},
                                               {"services", parsed->m_services.size()},
                                               {"routes", parsed->m_routes.size()}}));
    } else {
        out.m_out(fmt::format("{}: valid, {} data centres, {} services, {} routes", file,
                              parsed->m_data_centres.size(), parsed->m_services.size(),
                              parsed->m_routes.size()));
    }
    return exit_done;
}

int diff_files(const console& out, const std::string& before, const std::string& after,
               wall_time now) {
    const auto old_text = read_file(before);
    if (!old_text) {
        return report_unreadable(out, before);
    }
    const auto new_text = read_file(after);
    if (!new_text) {
        return report_unreadable(out, after);
    }
    std::vector<text_fault> faults;
    const auto old_mesh = parse_mesh(*old_text, wall_time{}, nullptr, faults);
    if (!old_mesh) {
        return report_faults(out, before, faults);
    }
    const auto new_mesh = parse_mesh(*new_text, now, &*old_mesh, faults);
    if (!new_mesh) {
        return report_faults(out, after, faults);
    }
    return report_changes(out, diff_mesh(*old_mesh, *new_mesh));
}

int diff_accepted(const console& out, const store_interface& store, const std::string& file,
                  wall_time now) {
    const auto text = read_file(file);
    if (!text) {
        return report_unreadable(out, file);
    }
    accepted_config current;
    if (const auto failure = read_accepted_config(store, current)) {
        return report_store_failure(out, *failure);
    }
    if (current.m_accepted && !current.m_mesh) {
        return report_failure(
            out, exit_refused, "unreadable",
            fmt::format("the text of accepted version {} is missing from the store "
                        "or can't be parsed by this program",
                        current.m_accepted->m_version));
    }
    std::vector<text_fault> faults;
    const auto after = parse_mesh(*text, now, current.m_mesh ? &*current.m_mesh : nullptr, faults);
    if (!after) {
        return report_faults(out, file, faults);
    }
    return report_changes(out, diff_mesh(current.m_mesh.value_or(mesh{}), *after));
}

int fetch_text(const console& out, const store_interface& store, const std::string& file) {
    const store_reply reply = store.m_get(text_key);
    if (reply.m_kind == error_kind::store_not_found) {
        return report_failure(out, exit_refused, "absent",
                              "the store has no text yet; apply the first one with --from 0");
    }
    if (reply.m_kind != error_kind::none) {
        return report_store_failure(out, reply);
    }
    // The text is written before the revision. A new revision beside an old text would allow that
    // old text to overwrite the newer one.
    if (!write_file(file, reply.m_value) ||
        !write_file(revision_file(file), fmt::format("{}\n", reply.m_revision))) {
        return report_failure(out, exit_usage, "usage",
                              fmt::format("{}: the file can't be written", file));
    }
    if (out.m_json) {
        out.m_out(json::serialize(
            json::object{{"result", "done"}, {"file", file}, {"revision", reply.m_revision}}));
    } else {
        const std::string_view by = attribution_of(reply.m_value);
        out.m_out(fmt::format("{}: revision {}{}{}", file, reply.m_revision,
                              by.empty() ? "" : ", applied by ", by));
    }
    return exit_done;
}

int apply_text(const console& out, const store_interface& store, const apply_options& options,
               wall_time now) {
    const auto text = read_file(options.m_file);
    if (!text) {
        return report_unreadable(out, options.m_file);
    }
    const auto from_revision =
        options.m_from_revision ? options.m_from_revision : read_revision(options.m_file);
    if (!from_revision) {
        return report_failure(out, exit_usage, "usage",
                              fmt::format("{}: no --from and no revision in {}; fetch the text "
                                          "first, or use --from 0 for the first one",
                                          options.m_file, revision_file(options.m_file)));
    }
    accepted_config current;
    if (const auto failure = read_accepted_config(store, current)) {
        return report_store_failure(out, *failure);
    }
    const std::string submitted = add_attribution(*text, options.m_author, now, *from_revision);
    std::vector<text_fault> faults;
    const auto parsed =
        parse_mesh(submitted, now, current.m_mesh ? &*current.m_mesh : nullptr, faults);
    if (!parsed) {
        return report_faults(out, options.m_file, faults);
    }
    // The delta's revision is read before the text is written, so that this delta doesn't replace
    // the delta of a later text.
    const store_reply old_delta = store.m_get(text_delta_key);
    const write_result result = write_if_unchanged(store, text_key, submitted, *from_revision);
    switch (result.m_kind) {
    case write_result::kind::written:
        break;
    case write_result::kind::lost_race:
        return report_lost_race(out, options, *from_revision, result, *parsed);
    case write_result::kind::too_large:
        return report_failure(out, exit_refused, "refused",
                              "the store refused the text because it is too large");
    case write_result::kind::unreachable:
        return report_failure(out, exit_unreachable, "unreachable",
                              fmt::format("store: the text was not written ({})", result.m_text));
    case write_result::kind::unknown:
        return report_failure(out, exit_unreachable, "unknown",
                              fmt::format("store: the answer to the write was lost and the text "
                                          "can't be read back ({}); it may have been written",
                                          result.m_text));
    }
    submit_delta(store, current, submitted, result.m_revision, old_delta.m_revision);
    // The next edit of the same file is based on the revision that was just written.
    if (!write_file(revision_file(options.m_file), fmt::format("{}\n", result.m_revision))) {
        out.m_err(fmt::format("{}: the file can't be written", revision_file(options.m_file)));
    }
    report_progress(out, "submitted", 0,
                    fmt::format("{}: submitted as revision {}", options.m_file, result.m_revision));
    return options.m_wait ? wait_for_verdict(out, store, options, result.m_revision) : exit_done;
}

} // namespace caraway
