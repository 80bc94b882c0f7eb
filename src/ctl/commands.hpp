// The commands of carawayctl. Each prints for a person or, with m_json, one JSON object a line, and
// returns the exit code.
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

// Exit codes, the same for every command; the reference is docs/operators.md.
constexpr int exit_done = 0;
constexpr int exit_refused = 1;
constexpr int exit_usage = 2;
constexpr int exit_unreachable = 3;
constexpr int exit_negative = 4;

// Where a command writes; each call is one line without its end.
struct console {
    std::function<void(std::string_view line)> m_out;
    std::function<void(std::string_view line)> m_err;
    bool m_json = false;
};

// Validates a file offline. previous names the file of the text in force, if not empty: a move that
// stands there may be past its deadline.
int check_text(const console& out, const std::string& file, const std::string& previous,
               wall_time now);

// Prints what would change from one file to another.
int diff_files(const console& out, const std::string& before, const std::string& after,
               wall_time now);

// Prints what would change from the accepted text to a file.
int diff_accepted(const console& out, const store_interface& store, const std::string& file,
                  wall_time now);

// Writes the submitted text to a file and its revision to FILE.revision.
int fetch_text(const console& out, const store_interface& store, const std::string& file);

struct apply_options {
    std::string m_file;
    std::optional<std::uint64_t> m_from_revision; // else from FILE.revision
    std::string m_author;                         // who applies, for the attribution line
    bool m_wait = false;
    milliseconds m_timeout{60'000}; // of the wait
};

// Validates a file and writes it as the submitted text, if that is still at the revision that the
// file was edited from.
int apply_text(const console& out, const store_interface& store, const apply_options& options,
               wall_time now);

// Prints the state of the mesh as the store has it.
int show_status(const console& out, const store_interface& store);

struct verdict_options {
    bool m_follow = false;
    std::string m_service;     // only the moves of this service; following ends with its verdict
    milliseconds m_timeout{0}; // of following; 0: none
};

// Prints the final verdicts, and while following also the progress of moves.
int show_verdicts(const console& out, const store_interface& store, const verdict_options& options);

// Checks the guarantees against the log files of any number of processes.
int audit_files(const console& out, const std::vector<std::string>& files);

} // namespace caraway
