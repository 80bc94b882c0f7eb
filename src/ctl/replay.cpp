#include "ctl/replay.hpp"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>

#include <boost/json.hpp>
#include <fmt/format.h>
#include <zstd.h>

#include "base/hash.hpp"
#include "ctl/replay_outcomes.hpp"
#include "ctl/replay_player.hpp"
#include "observe/recorder.hpp"

namespace caraway {
namespace {

// Traces are committed to the repository, so their size matters more than the compression time.
constexpr int compression_level = 19;
// Upper bound of a file's decompressed size. A trace of one minute has about 10 MB.
constexpr std::size_t max_trace_bytes = 256U << 20U;

std::vector<std::string_view> split_lines(std::string_view text) {
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        lines.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

std::optional<std::string> read_file(const std::string& file, error& reason) {
    std::ifstream in(file, std::ios::binary);
    if (!in) {
        return fail(reason, error_kind::usage, fmt::format("{}: the file can't be read", file));
    }
    return std::string(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
}

// Reads a log file and decompresses it if its name ends in .zst.
std::optional<std::string> read_log(const std::string& file, error& reason) {
    auto bytes = read_file(file, reason);
    if (!bytes || !file.ends_with(".zst")) {
        return bytes;
    }
    const unsigned long long size = ZSTD_getFrameContentSize(bytes->data(), bytes->size());
    if (size > max_trace_bytes) { // covers the return values for an unknown size and an error
        return fail(reason, error_kind::invalid_text,
                    fmt::format("{}: no zstd frame of a known and permitted size", file));
    }
    std::string text(static_cast<std::size_t>(size), '\0');
    const std::size_t decompressed_size =
        ZSTD_decompress(text.data(), text.size(), bytes->data(), bytes->size());
    if (ZSTD_isError(decompressed_size) != 0 || decompressed_size != text.size()) {
        return fail(reason, error_kind::invalid_text,
                    fmt::format("{}: the compressed data are damaged", file));
    }
    return text;
}

void add_fault(replay_report& report, std::string text) {
    if (report.m_faults.size() < max_replay_faults) {
        report.m_faults.push_back(std::move(text));
    }
}

// Replays one line. After dropped lines the state of the instance is unknown, so all its further
// lines count as breaches until it restarts.
void replay_line(const replay_input& input, std::uint64_t line, outcome_checker& checker,
                 outcome_checker::process_map& processes, replay_report& report) {
    if (input.m_component == "node") {
        replayed_process process;
        process.m_instance = input.m_instance;
        process.m_service = input.text("service");
        process.m_version = input.text("version");
        processes[input.m_instance] = std::move(process);
    }
    const auto found = processes.find(input.m_instance);
    if (input.m_component == dropped_decisions_event || found == processes.end()) {
        ++report.m_breaches;
        add_fault(report, fmt::format("line {}: decisions of {} are missing before this line", line,
                                      input.m_instance));
        processes.erase(input.m_instance);
        return;
    }
    const std::string action = replay(found->second, input);
    ++report.m_inputs;
    report.m_signature = hash_bytes(
        fmt::format("{} {} {} {}", input.m_instance, input.m_component, input.m_input_name, action),
        report.m_signature);
    if (action != input.m_action) {
        ++report.m_differing_actions;
        add_fault(report, fmt::format("line {}: {} {} {}: recorded \"{}\", replayed \"{}\"", line,
                                      input.m_instance, input.m_component, input.m_input_name,
                                      input.m_action, action));
    }
    checker.observe(processes, found->second, input, action);
    if (input.is_damaged() || !found->second.m_suspension_matches) {
        ++report.m_breaches;
        add_fault(report,
                  fmt::format("line {}: {} {} {}: {}", line, input.m_instance, input.m_component,
                              input.m_input_name,
                              input.is_damaged()
                                  ? "a field is missing or has the wrong type"
                                  : "the recorded suspension flag differs from the replayed one"));
    }
}

// A line with its merge time, which is the latest time in its file up to this line. The line's own
// time is not used because lines of different threads may be some microseconds out of order.
struct timed_line {
    time_point m_time;
    std::string_view m_text;
};

// Appends the decision lines of one log.
void append_decisions(std::string_view log, std::vector<timed_line>& lines) {
    time_point latest{};
    for (const std::string_view line : split_lines(log)) {
        if (const auto input = replay_input::parse(line)) {
            latest = std::max(latest, input->m_now);
            lines.push_back({latest, line});
        }
    }
}

} // namespace

std::optional<replay_report> replay_trace(std::string_view trace, std::string_view outcomes,
                                          error& reason) {
    const auto expected = parse_outcomes(outcomes, reason);
    if (!expected) {
        return std::nullopt;
    }
    milliseconds cold_hold{0};
    for (const expected_outcome& outcome : *expected) {
        cold_hold = outcome.m_check == "cold_start_share" ? outcome.m_limit : cold_hold;
    }
    replay_report report;
    outcome_checker checker(cold_hold);
    outcome_checker::process_map processes;
    std::uint64_t line = 0;
    for (const std::string_view text : split_lines(trace)) {
        ++line;
        if (const auto input = replay_input::parse(text)) {
            replay_line(*input, line, checker, processes, report);
        } else {
            ++report.m_breaches;
            add_fault(report, fmt::format("line {}: not a decision line", line));
        }
    }
    for (const expected_outcome& outcome : *expected) {
        const outcome_checker::check_result result = checker.check(outcome);
        report.m_outcomes.push_back((result.m_passed ? "kept   " : "BROKEN ") + result.m_text);
        report.m_breaches += result.m_passed ? 0 : 1;
    }
    return report;
}

std::optional<std::string> read_trace(std::span<const std::string> files, error& reason) {
    std::vector<std::string> logs;
    for (const std::string& file : files) {
        auto log = read_log(file, reason);
        if (!log) {
            return std::nullopt;
        }
        logs.push_back(std::move(*log));
    }
    std::vector<timed_line> lines;
    for (const std::string& log : logs) {
        append_decisions(log, lines);
    }
    std::stable_sort(lines.begin(), lines.end(),
                     [](const timed_line& a, const timed_line& b) { return a.m_time < b.m_time; });
    std::string trace;
    for (const timed_line& line : lines) {
        trace += line.m_text;
        trace += '\n';
    }
    return trace;
}

std::string trim_trace(std::string_view trace, const std::set<std::string>& admission_instances) {
    std::string trimmed;
    for (const std::string_view line : split_lines(trace)) {
        boost::json::value parsed =
            boost::json::parse(boost::json::string_view(line.data(), line.size()));
        boost::json::object& object = parsed.as_object();
        const auto* part = object.if_contains("part");
        const auto& instance = object.at("instance").as_string();
        if (part != nullptr && part->as_string() == "admission" &&
            !admission_instances.contains(std::string(instance.data(), instance.size()))) {
            continue;
        }
        for (const std::string_view unused : {"level", "data_centre", "config_version"}) {
            object.erase(unused);
        }
        trimmed += boost::json::serialize(parsed);
        trimmed += '\n';
    }
    return trimmed;
}

bool write_compressed(const std::string& file, std::string_view text, error& reason) {
    std::string frame(ZSTD_compressBound(text.size()), '\0');
    const std::size_t size =
        ZSTD_compress(frame.data(), frame.size(), text.data(), text.size(), compression_level);
    std::ofstream out(file, std::ios::binary);
    if (ZSTD_isError(size) == 0) {
        out.write(frame.data(), static_cast<std::streamsize>(size));
    }
    out.close();
    if (ZSTD_isError(size) != 0 || !out) {
        fail(reason, error_kind::usage, fmt::format("{}: the file can't be written", file));
        return false;
    }
    return true;
}

std::optional<folder_report> replay_folder(const std::string& folder, error& reason) {
    std::vector<std::filesystem::path> files;
    std::error_code failed;
    for (const auto& entry : std::filesystem::directory_iterator(folder, failed)) {
        if (entry.path().extension() == ".zst") {
            files.push_back(entry.path());
        }
    }
    if (failed || files.empty()) {
        return fail(reason, error_kind::usage,
                    fmt::format("{}: the folder can't be read or contains no .zst file", folder));
    }
    std::sort(files.begin(), files.end());
    folder_report folder_result;
    for (std::filesystem::path& file : files) {
        const std::array<std::string, 1> name{file.string()};
        const auto trace = read_trace(name, reason);
        const auto outcomes = read_file(file.replace_extension(".json").string(), reason);
        if (!trace || !outcomes) {
            return std::nullopt;
        }
        auto report = replay_trace(*trace, *outcomes, reason);
        if (!report) {
            return std::nullopt;
        }
        folder_result.m_signature =
            hash_bytes(fmt::format("{} {:016x}", file.stem().string(), report->m_signature),
                       folder_result.m_signature);
        folder_result.m_traces.push_back({file.stem().string(), std::move(*report)});
    }
    return folder_result;
}

} // namespace caraway
