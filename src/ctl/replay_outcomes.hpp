// Checks the outcomes expected of a trace against the actions of the replayed decision code.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.hpp"
#include "ctl/replay_player.hpp"

namespace caraway {

// One expected outcome. replay_trace describes the checks and their bounds.
struct expected_outcome {
    std::string m_check;        // name of the check
    std::string m_state;        // move_ends: final state that every move must reach
    std::string m_quantity;     // at_least: what is counted (field "of")
    bool m_by_deadline = false; // move_ends: whether every move must end by its deadline
    milliseconds m_limit{0};    // suspended_within: field "ms"; cold_start_share: field "hold_ms"
    std::size_t m_count = 0;    // suspended_within: field "failed_calls"; at_least: field "count"
};

// Parses a JSON array of outcomes. Returns nothing and sets reason if a check or a field is
// unknown.
std::optional<std::vector<expected_outcome>> parse_outcomes(std::string_view text, error& reason);

// Collects figures while a trace is replayed and evaluates the expected outcomes at its end.
class outcome_checker {
public:
    // cold_hold is the time after a process's first answer during which check cold_start_share
    // limits its running calls.
    explicit outcome_checker(milliseconds cold_hold) : m_cold_hold(cold_hold) {}

    using process_map = std::map<std::string, replayed_process>; // by instance
    // Updates the figures after each input. process is the one that received the input. process and
    // processes hold the state after the input. action is the replayed action.
    void observe(const process_map& processes, const replayed_process& process,
                 const replay_input& input, std::string_view action);

    struct check_result {
        bool m_passed = false;
        std::string m_text; // name of the check and its figures
    };
    // Evaluates one outcome. A check that saw no relevant input fails.
    check_result check(const expected_outcome& outcome) const;

private:
    struct call_state {
        std::size_t m_running = 0; // calls running now
        std::size_t m_max_running = 0;
        std::size_t m_max_running_cold = 0;
        std::optional<time_point> m_first_answer;
    };
    struct move_history {
        std::map<std::uint64_t, move_record> m_records; // by revision
        // Time when a node first received the record, Unix milliseconds, by revision.
        std::map<std::uint64_t, std::int64_t> m_received_ms;
    };

    void observe_lease(const process_map& processes, const replayed_process& process,
                       const replay_input& input);
    void observe_admission(const replayed_process& process, const replay_input& input);
    void observe_distribution(const replayed_process& process);
    void observe_facts(const replayed_process& process, const replay_input& input,
                       std::string_view action);
    void observe_move(const replayed_process& process, const replay_input& input);

    check_result check_final_states() const;
    check_result check_move_ends(const expected_outcome& outcome) const;
    check_result check_suspension_time(const expected_outcome& outcome) const;
    check_result check_count(const expected_outcome& outcome) const;

    milliseconds m_cold_hold;
    std::map<std::string, std::string> m_last_holder; // by lease key
    std::size_t m_holder_changes = 0;
    std::size_t m_lease_overlaps = 0;
    std::size_t m_store_errors = 0; // lease calls that failed or whose outcome is unknown
    std::size_t m_steps = 0;
    std::size_t m_steps_without_lease = 0;
    std::map<std::string, call_state> m_calls; // by instance, reset at restart
    std::size_t m_call_starts = 0;
    std::size_t m_calls_over_slots = 0;
    std::size_t m_calls_over_cold_share = 0;
    std::size_t m_max_running = 0;
    std::size_t m_max_running_cold = 0;
    std::map<std::string, std::uint64_t> m_highest_applied; // by instance, kept over restarts
    std::size_t m_apply_count = 0;
    std::size_t m_version_decreases = 0;
    // Number of process starts after which the instance became ready, by instance.
    std::map<std::string, std::size_t> m_ready_counts;
    std::map<std::string, move_history> m_moves;                        // by move id
    std::map<std::string, std::vector<time_point>> m_failed_call_times; // by version
    std::map<std::string, time_point> m_suspension_times; // of the first suspension, by version
    // Evaluations of a new version's weight after its suspension, and how many of them were not 0.
    std::size_t m_weight_checks = 0;
    std::size_t m_nonzero_weights_after_suspension = 0;
};

} // namespace caraway
