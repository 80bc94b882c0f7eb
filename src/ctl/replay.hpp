// Replay of recorded decisions: drives the decision code with the inputs of "decision" log lines,
// without sockets or clocks, compares each action with the recorded one, and checks the outcomes
// that are stated for the trace.
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

// Differences and breaches kept for printing; more are only counted.
constexpr std::size_t max_replay_faults = 20;

struct replay_report {
    std::uint64_t m_inputs = 0;            // decision lines replayed
    std::uint64_t m_differing_actions = 0; // actions that differ from the recorded ones
    std::uint64_t m_breaches = 0;          // breaches of stated outcomes, damaged lines and gaps
    std::uint64_t m_signature = 0;         // hash over all actions as replayed
    std::vector<std::string> m_faults;
    std::vector<std::string> m_outcomes; // one line for each stated outcome, with figures
};

// Replays one trace, the text of its log lines in the order of read_trace. outcomes is a JSON array
// of objects, each with "check" and its bounds:
//   one_holder               no two nodes hold a lease at the same time
//   steps_under_lease        the holder of a move decides only under the move's lease
//   running_within_slots     no call starts while the slots are taken
//   cold_start_share         hold_ms: a quarter of the slots at most until then from the first
//                            answer of a process
//   version_never_falls      over the restarts of an instance, too
//   one_final_state          a move's final state is written once and stays
//   no_weight_after_suspension
//   move_ends                state, and by_deadline if it must be in time
//   suspended_within         ms after the failed call with the number failed_calls of the new
//   version at_least                 of: takeovers, restarts, store_errors, calls; count
// Returns nothing with a reason when the outcomes can't be read.
std::optional<replay_report> replay_trace(std::string_view trace, std::string_view outcomes,
                                          error& reason);

// Reads log files, compressed by zstd or not, and returns their decision lines merged by the time
// that the decisions saw; lines of one file keep their order.
std::optional<std::string> read_trace(std::span<const std::string> files, error& reason);

// Drops the calls' lines (part admission) of instances that are not named, and the fields that a
// replay doesn't use.
std::string trim_trace(std::string_view trace, const std::set<std::string>& admission_instances);

// Writes a text compressed by zstd.
bool write_compressed(const std::string& file, std::string_view text, error& reason);

// Replays every NAME.zst in a folder against NAME.json, in the order of the names. The signature is
// a hash over the signatures of all.
struct trace_report {
    std::string m_name;
    replay_report m_report;
};
struct folder_report {
    std::vector<trace_report> m_traces;
    std::uint64_t m_signature = 0;
};
std::optional<folder_report> replay_folder(const std::string& folder, error& reason);

} // namespace caraway
