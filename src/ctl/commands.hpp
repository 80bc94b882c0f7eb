// The commands of carawayctl. Each command prints readable text or, if console::m_json is set, one
// JSON object per line, and returns the exit code. A verdict is the stored result of a version
// move or of the distribution of a configuration version.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "ctl/store_session.hpp"

namespace caraway {

// Exit codes of all commands. They are documented in docs/operators.md.
constexpr int exit_done = 0;
constexpr int exit_refused = 1;
constexpr int exit_usage = 2;
constexpr int exit_unreachable = 3;
constexpr int exit_negative = 4; // negative verdict, no verdict in time, or breaches found

// Output of a command. Each call passes one line without its line break.
struct console {
    std::function<void(std::string_view line)> m_out;
    std::function<void(std::string_view line)> m_err;
    bool m_json = false; // print JSON objects instead of readable text
};

// Validates a file without access to the store. previous, if not empty, is the file of the text in
// force: a version move that this text already contains may be past its deadline.
int check_text(const console& out, const std::string& file, const std::string& previous,
               wall_time now);

// Prints the changes from one file to another.
int diff_files(const console& out, const std::string& before, const std::string& after,
               wall_time now);

// Prints the changes from the accepted text to a file.
int diff_accepted(const console& out, const store_interface& store, const std::string& file,
                  wall_time now);

// Writes the latest submitted text to a file and its store revision to FILE.revision.
int fetch_text(const console& out, const store_interface& store, const std::string& file);

struct apply_options {
    std::string m_file;
    std::optional<std::uint64_t> m_from_revision; // if absent, read from FILE.revision
    std::string m_author;                         // name of the operator in the attribution line
    bool m_wait = false;                          // wait for the verdict
    milliseconds m_timeout{60'000};               // upper bound of the wait
};

// Validates a file and writes it to the store as the submitted text, unless the store's text has
// changed since the revision that the file was edited from.
int apply_text(const console& out, const store_interface& store, const apply_options& options,
               wall_time now);

// Prints the state of the mesh as recorded in the store: the accepted version and its verdict,
// the refusal of the submitted text (not that of an earlier one), the moves and the leases.
int show_status(const console& out, const store_interface& store);

struct verdict_options {
    bool m_follow = false; // keep printing new verdicts and the progress of moves
    // If not empty, only this service's moves are printed and following ends with its verdict.
    std::string m_service;
    milliseconds m_timeout{0}; // time limit of following; 0: no limit
};

// Prints the final verdicts. With m_follow it then prints new verdicts and the progress of moves
// until the timeout.
int show_verdicts(const console& out, const store_interface& store, const verdict_options& options);

// Checks the guarantees against the log files of any number of processes (see audit_logs) and
// prints the breaches.
int audit_files(const console& out, const std::vector<std::string>& files);

} // namespace caraway
