// carawayctl: command-line tool for operators and auditors. Parses the command line and runs a
// command of src/ctl.
#include <array>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>
#include <popt.h>

#include "config/mesh.hpp"
#include "config/settings.hpp"
#include "ctl/commands.hpp"

namespace {

using namespace caraway;

constexpr std::string_view program_version = "0.1.0";

constexpr const char* command_help =
    "COMMAND [ARGUMENT...]\n\n"
    "Commands:\n"
    "  check FILE             validate a text offline (--previous)\n"
    "  diff FILE              show the changes from the accepted text (--store)\n"
    "  diff OLD NEW           show the changes from one file to another\n"
    "  fetch FILE             write the current text and FILE.revision (--store)\n"
    "  apply FILE             submit a text (--store, --from, --by, --wait, --timeout)\n"
    "  status                 show accepted version, refusal, moves, verdict, leases (--store)\n"
    "  verdicts               show final verdicts (--store, --follow, --service, --timeout)\n"
    "  audit LOG...           check the guarantees against log files\n\n"
    "Exit codes: 0 done, 1 refused, 2 usage, 3 store unreachable, 4 negative verdict\n\n"
    "Options:";

// Identifiers of the options; they start at 1 because popt does not return an option with value 0.
enum option : std::uint8_t {
    option_store = 1,
    option_json,
    option_from,
    option_by,
    option_wait,
    option_timeout,
    option_previous,
    option_follow,
    option_service,
    option_version,
};

// The parsed command line.
struct command_line {
    std::vector<std::string> m_positionals; // command and arguments
    std::set<int> m_given_options;          // values of enum option
    std::vector<ip_endpoint> m_store;
    std::optional<std::uint64_t> m_from_revision;
    std::string m_author;
    std::string m_previous_file;
    std::string m_service;
    std::optional<milliseconds> m_timeout;
};

// The number of arguments and the options that a command accepts.
struct command_rule {
    std::string_view m_name;
    std::size_t m_min_arguments = 0;
    std::size_t m_max_arguments = 0;
    std::set<int> m_options; // values of enum option
};

const std::array<command_rule, 7>& command_rules() {
    static const std::array<command_rule, 7> rules{{
        {"check", 1, 1, {option_json, option_previous}},
        {"diff", 1, 2, {option_json}},
        {"fetch", 1, 1, {option_json}},
        {"apply", 1, 1, {option_json, option_from, option_by, option_wait, option_timeout}},
        {"status", 0, 0, {option_json}},
        {"verdicts", 0, 0, {option_json, option_follow, option_service, option_timeout}},
        {"audit", 1, 1'000'000, {option_json}},
    }};
    return rules;
}

// Prints a usage error and returns its exit code.
int report_usage_error(std::string_view text) {
    fmt::print(stderr, "carawayctl: {}; see carawayctl --help\n", text);
    return exit_usage;
}

// Parses a positive integer with the unit ms, s or m.
std::optional<milliseconds> parse_timeout(std::string_view text) {
    std::uint32_t count = 0;
    const auto [number_end, failure] =
        std::from_chars(text.data(), text.data() + text.size(), count);
    const std::string_view unit(number_end,
                                static_cast<std::size_t>(text.data() + text.size() - number_end));
    if (failure != std::errc{} || count == 0) {
        return std::nullopt;
    }
    if (unit == "ms") {
        return milliseconds(count);
    }
    if (unit == "s") {
        return std::chrono::seconds(count);
    }
    return unit == "m" ? std::optional<milliseconds>(std::chrono::minutes(count)) : std::nullopt;
}

// Parses a revision; the whole text must be a decimal number.
std::optional<std::uint64_t> parse_revision(std::string_view text) {
    std::uint64_t value = 0;
    const auto [number_end, failure] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    const bool complete = failure == std::errc{} && number_end == text.data() + text.size();
    return complete ? std::optional(value) : std::nullopt;
}

// Stores an option and its argument in the command line. Returns an error message, which is empty
// on success.
std::string apply_option(command_line& parsed_command, int option_id, const std::string& argument) {
    parsed_command.m_given_options.insert(option_id);
    switch (option_id) {
    case option_store: {
        const auto endpoint = parse_endpoint(argument);
        if (!endpoint || endpoint->m_port == 0) {
            return fmt::format("--store {}: expected an IP address with a port", argument);
        }
        parsed_command.m_store.push_back(*endpoint);
        break;
    }
    case option_from:
        parsed_command.m_from_revision = parse_revision(argument);
        if (!parsed_command.m_from_revision) {
            return fmt::format("--from {}: expected a revision", argument);
        }
        break;
    case option_timeout:
        parsed_command.m_timeout = parse_timeout(argument);
        if (!parsed_command.m_timeout) {
            return fmt::format("--timeout {}: expected a duration such as 90s", argument);
        }
        break;
    case option_by:
        parsed_command.m_author = argument;
        break;
    case option_previous:
        parsed_command.m_previous_file = argument;
        break;
    case option_service:
        parsed_command.m_service = argument;
        break;
    default:
        break;
    }
    return {};
}

// Runs a command whose arguments and options were checked; returns the exit code.
int run(const command_line& parsed_command) {
    const console out{[](std::string_view text) {
                          fmt::print("{}\n", text);
                          // Flushes each line, so that a reader of a pipe receives it immediately.
                          std::fflush(stdout);
                      },
                      [](std::string_view text) { fmt::print(stderr, "{}\n", text); },
                      parsed_command.m_given_options.contains(option_json)};
    const std::string& command = parsed_command.m_positionals.front();
    const std::vector<std::string> arguments(parsed_command.m_positionals.begin() + 1,
                                             parsed_command.m_positionals.end());
    const wall_time now = std::chrono::system_clock::now();
    if (command == "check") {
        return check_text(out, arguments[0], parsed_command.m_previous_file, now);
    }
    if (command == "diff" && arguments.size() == 2) {
        return diff_files(out, arguments[0], arguments[1], now);
    }
    if (command == "audit") {
        return audit_files(out, arguments);
    }
    if (parsed_command.m_store.empty()) {
        return report_usage_error(fmt::format("{} needs --store IP:PORT", command));
    }
    constexpr milliseconds call_timeout{3'000};
    const store_interface store = open_store(parsed_command.m_store, call_timeout);
    if (command == "diff") {
        return diff_accepted(out, store, arguments[0], now);
    }
    if (command == "fetch") {
        return fetch_text(out, store, arguments[0]);
    }
    if (command == "status") {
        return show_status(out, store);
    }
    if (command == "verdicts") {
        return show_verdicts(out, store,
                             {parsed_command.m_given_options.contains(option_follow),
                              parsed_command.m_service,
                              parsed_command.m_timeout.value_or(milliseconds(0))});
    }
    apply_options options;
    options.m_file = arguments[0];
    options.m_from_revision = parsed_command.m_from_revision;
    options.m_author = parsed_command.m_author;
    options.m_wait = parsed_command.m_given_options.contains(option_wait);
    options.m_timeout = parsed_command.m_timeout.value_or(options.m_timeout);
    return apply_text(out, store, options, now);
}

// Validates the command, its arguments and its options, then runs it. Returns the exit code.
int check_and_run(command_line& parsed_command) {
    if (parsed_command.m_given_options.contains(option_version)) {
        fmt::print("carawayctl {}, text format {}\n", program_version, mesh_format);
        return exit_done;
    }
    if (parsed_command.m_positionals.empty()) {
        return report_usage_error("no command");
    }
    for (const command_rule& rule : command_rules()) {
        if (rule.m_name != parsed_command.m_positionals.front()) {
            continue;
        }
        const std::size_t argument_count = parsed_command.m_positionals.size() - 1;
        if (argument_count < rule.m_min_arguments || argument_count > rule.m_max_arguments) {
            return report_usage_error(fmt::format("wrong number of arguments for {}", rule.m_name));
        }
        // Every command accepts --store, since scripts set it before they choose the command.
        for (const int option_id : parsed_command.m_given_options) {
            if (option_id != option_store && !rule.m_options.contains(option_id)) {
                return report_usage_error(
                    fmt::format("{} does not accept one of the given options", rule.m_name));
            }
        }
        if (parsed_command.m_author.empty()) {
            const char* user = std::getenv("USER");
            parsed_command.m_author = user != nullptr ? user : "";
        }
        return run(parsed_command);
    }
    return report_usage_error(
        fmt::format("unknown command {}", parsed_command.m_positionals.front()));
}

} // namespace

int main(int argc, char** argv) {
    const poptOption options[] = {
        {"store", 0, POPT_ARG_STRING, nullptr, option_store, "address of the store; repeatable",
         "IP:PORT"},
        {"json", 0, POPT_ARG_NONE, nullptr, option_json, "print JSON objects, one per line",
         nullptr},
        {"from", 0, POPT_ARG_STRING, nullptr, option_from,
         "revision that FILE was edited from (default: FILE.revision)", "REVISION"},
        {"by", 0, POPT_ARG_STRING, nullptr, option_by,
         "name to record in the text's last line (default: $USER)", "NAME"},
        {"wait", 0, POPT_ARG_NONE, nullptr, option_wait,
         "wait until the text is refused, or accepted and in force", nullptr},
        {"timeout", 0, POPT_ARG_STRING, nullptr, option_timeout,
         "time limit of --wait (default 60s) and --follow (default none)", "DURATION"},
        {"previous", 0, POPT_ARG_STRING, nullptr, option_previous,
         "text in force, whose moves may be past their deadlines", "FILE"},
        {"follow", 0, POPT_ARG_NONE, nullptr, option_follow,
         "continue with new verdicts and the progress of moves", nullptr},
        {"service", 0, POPT_ARG_STRING, nullptr, option_service,
         "show only this service's moves; --follow ends with its verdict", "NAME"},
        {"version", 0, POPT_ARG_NONE, nullptr, option_version, "print the version", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context =
        poptGetContext("carawayctl", argc, const_cast<const char**>(argv), options, 0);
    poptSetOtherOptionHelp(context, command_help);
    command_line parsed_command;
    std::string problem;
    int option_id = 0;
    while (problem.empty() && (option_id = poptGetNextOpt(context)) > 0) {
        char* argument = poptGetOptArg(context);
        problem = apply_option(parsed_command, option_id, argument != nullptr ? argument : "");
        std::free(argument);
    }
    if (problem.empty() && option_id < -1) {
        problem = fmt::format("{}: {}", poptBadOption(context, POPT_BADOPTION_NOALIAS),
                              poptStrerror(option_id));
    }
    while (const char* positional = poptGetArg(context)) {
        parsed_command.m_positionals.emplace_back(positional);
    }
    poptFreeContext(context);
    if (!problem.empty()) {
        return report_usage_error(problem);
    }
    try {
        return check_and_run(parsed_command);
    } catch (const std::exception& failure) {
        fmt::print(stderr, "carawayctl: {}\n", failure.what());
        return exit_usage;
    }
}
