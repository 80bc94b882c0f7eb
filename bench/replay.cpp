// Replays recorded decisions, checks them against their expected outcomes, and trims recordings.
// usage: replay FOLDER                    replays all traces of a folder and prints their signature
//        replay check OUTCOMES LOG...     replays the logs of one run and checks OUTCOMES
//        replay trim TARGET [--admission-of INSTANCE]... LOG...
//                                         writes the inputs needed for a replay to TARGET; keeps
//                                         the admission decisions of the named instances only
// The logs are those of all nodes of one run with log.record_lines above 0, plain or compressed
// with zstd. Exits with 1 if an action differs, an expected outcome isn't met or lines are missing
// or damaged, with 2 if a file is unusable or the arguments are invalid.
#include <cstdio>
#include <fstream>
#include <iterator>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "ctl/replay.hpp"

namespace {

using namespace caraway;

// Prints the error and returns the exit status for unusable files.
int report_error(const error& reason) {
    fmt::print(stderr, "{}\n", reason.m_text);
    return 2;
}

// Prints the report and returns whether all actions and outcomes are as expected.
bool print_report(std::string_view name, const replay_report& report) {
    fmt::print("{}: {} inputs, {} actions differ, {} breaches, signature {:016x}\n", name,
               report.m_inputs, report.m_differing_actions, report.m_breaches, report.m_signature);
    for (const std::string& outcome : report.m_outcomes) {
        fmt::print("  {}\n", outcome);
    }
    for (const std::string& fault : report.m_faults) {
        fmt::print("  {}\n", fault);
    }
    return report.m_differing_actions == 0 && report.m_breaches == 0;
}

int replay_all(const std::string& folder) {
    error reason;
    const auto result = replay_folder(folder, reason);
    if (!result) {
        return report_error(reason);
    }
    bool passed = true;
    for (const trace_report& trace : result->m_traces) {
        passed = print_report(trace.m_name, trace.m_report) && passed;
    }
    fmt::print("signature {:016x}\n", result->m_signature);
    return passed ? 0 : 1;
}

int check_logs(const std::string& outcomes_file, const std::vector<std::string>& logs) {
    error reason;
    std::ifstream in(outcomes_file);
    const std::string outcomes((std::istreambuf_iterator<char>(in)),
                               std::istreambuf_iterator<char>());
    const auto trace = read_trace(logs, reason);
    const auto report = trace ? replay_trace(*trace, outcomes, reason) : std::nullopt;
    if (!report) {
        return report_error(reason);
    }
    return print_report(outcomes_file, *report) ? 0 : 1;
}

int trim_logs(const std::string& target, const std::vector<std::string>& arguments) {
    std::set<std::string> admission_instances;
    std::vector<std::string> logs;
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        if (arguments[i] == "--admission-of" && i + 1 < arguments.size()) {
            admission_instances.insert(arguments[++i]);
        } else {
            logs.push_back(arguments[i]);
        }
    }
    error reason;
    const auto trace = read_trace(logs, reason);
    if (!trace || !write_compressed(target, trim_trace(*trace, admission_instances), reason)) {
        return report_error(reason);
    }
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    const std::vector<std::string> arguments_given(argv + std::min(argc, 1), argv + argc);
    if (arguments_given.size() == 1) {
        return replay_all(arguments_given[0]);
    }
    if (arguments_given.size() >= 3 && arguments_given[0] == "check") {
        return check_logs(arguments_given[1], {arguments_given.begin() + 2, arguments_given.end()});
    }
    if (arguments_given.size() >= 3 && arguments_given[0] == "trim") {
        return trim_logs(arguments_given[1], {arguments_given.begin() + 2, arguments_given.end()});
    }
    fmt::print(stderr, "usage: replay FOLDER | check OUTCOMES LOG... | trim TARGET "
                       "[--admission-of INSTANCE]... LOG...\n");
    return 2;
}
