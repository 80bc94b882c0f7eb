// Replay of recorded decisions. Passes the inputs of "decision" log lines to the decision code,
// without sockets or clocks, compares each action with the recorded one and checks the outcomes
// that are expected of the trace.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.hpp"

namespace caraway {

// Upper bound of the number of messages stored for printing. Further differences and breaches are
// only counted.
constexpr std::size_t max_replay_faults = 20;

struct replay_report {
    std::uint64_t m_inputs = 0;            // replayed decision lines
    std::uint64_t m_differing_actions = 0; // actions that differ from the recorded ones
    // Unmet outcomes, lines that are damaged or contradict the replayed suspension, and the lines
    // of an instance from a loss of lines to its next process start.
    std::uint64_t m_breaches = 0;
    std::uint64_t m_signature = 0;       // hash of all replayed actions
    std::vector<std::string> m_faults;   // messages about the first differences and breaches
    std::vector<std::string> m_outcomes; // one line per expected outcome, with its figures
};

// Replays one trace, the text of its log lines in the order that read_trace returns. outcomes is a
// JSON array of objects, each with "check" and the bounds of the check:
//   one_holder               no two nodes hold a lease at the same time
//   steps_under_lease        nodes take steps of a move only while they hold the move's lease
//   running_within_slots     no call starts while all slots are taken
//   cold_start_share         hold_ms: until this time after its first successful answer, a process
//                            uses at most a quarter of its slots, but at least one
//   version_never_falls      the applied version of an instance never decreases, not even over
//                            restarts
//   one_final_state          a move's final state is written once and never changed
//   no_weight_after_suspension  a suspended version receives no calls
//   move_ends                state: the final state of all moves; by_deadline: whether they must
//                            end before their deadlines
//   suspended_within         failed_calls, ms: the new version is suspended at most ms after this
//                            number of its calls failed
//   at_least                 of: takeovers, restarts, store_errors or calls; count: their minimum
//                            number
// Returns nothing and sets reason if the outcomes can't be parsed.
std::optional<replay_report> replay_trace(std::string_view trace, std::string_view outcomes,
                                          error& reason);

// Reads log files, which may be compressed with zstd (.zst), and returns their decision lines
// merged by the time that was passed to the decisions. Lines of the same file keep their order.
// Returns nothing and sets reason if a file can't be read.
std::optional<std::string> read_trace(std::span<const std::string> files, error& reason);

// Drops the lines of the component "admission" of all instances except admission_instances, and the
// fields that a replay doesn't use. trace must come from read_trace; other lines make it throw.
std::string trim_trace(std::string_view trace, const std::set<std::string>& admission_instances);

// Writes a text to a file, compressed with zstd. Returns false and sets reason on failure.
bool write_compressed(const std::string& file, std::string_view text, error& reason);

// The report of one trace of a folder.
struct trace_report {
    std::string m_name; // file name without its extension
    replay_report m_report;
};
struct folder_report {
    std::vector<trace_report> m_traces;
    std::uint64_t m_signature = 0; // hash of the names and signatures of all traces
};

// Replays every NAME.zst in a folder against the outcomes in NAME.json, in the order of the names.
// Returns nothing and sets reason if a file can't be read or the folder contains no trace.
std::optional<folder_report> replay_folder(const std::string& folder, error& reason);

} // namespace caraway
