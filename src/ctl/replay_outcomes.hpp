// The outcomes stated for a trace, checked on what the replayed decision code did.
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

struct expected_outcome {
    std::string m_check;
    std::string m_state;    // move_ends
    std::string m_quantity; // at_least
    bool m_by_deadline = false;
    milliseconds m_limit{0}; // ms or hold_ms
    std::size_t m_count = 0; // failed_calls or count
};

// Reads a JSON array of outcomes; nothing with a reason if a check or a field is unknown.
std::optional<std::vector<expected_outcome>> parse_outcomes(std::string_view text, error& reason);

// Gathers figures while a trace is replayed.
class outcome_checker {
public:
    explicit outcome_checker(milliseconds cold_hold) : m_cold_hold(cold_hold) {}

    using process_map = std::map<std::string, replayed_process>; // by instance
    // Called after each input with the state after it.
    void observe(const process_map& processes, const replayed_process& process,
                 const replay_input& input, std::string_view action);

    struct check_result {
        bool m_passed = false;
        std::string m_text; // the check with its figures
    };
    check_result check(const expected_outcome& outcome) const;

private:
    struct call_state {
        std::size_t m_running = 0;
        std::size_t m_max_running = 0;
        std::size_t m_max_running_cold = 0;
        std::optional<time_point> m_first_answer;
    };
    struct move_history {
        std::map<std::uint64_t, move_record> m_records; // by revision
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
    std::size_t m_store_errors = 0;
    std::size_t m_steps = 0;
    std::size_t m_steps_without_lease = 0;
    std::map<std::string, call_state> m_calls; // by instance, of the present process
    std::size_t m_call_starts = 0;
    std::size_t m_calls_over_slots = 0;
    std::size_t m_calls_over_cold_share = 0;
    std::size_t m_max_running = 0;
    std::size_t m_max_running_cold = 0;
    std::map<std::string, std::uint64_t> m_applied; // by instance, over restarts
    std::size_t m_apply_count = 0;
    std::size_t m_version_decreases = 0;
    std::map<std::string, std::size_t> m_ready_counts; // by instance
    std::map<std::string, move_history> m_moves;
    std::map<std::string, std::vector<time_point>> m_failed; // calls, by version
    std::map<std::string, time_point> m_suspended;           // first time, by version
    std::size_t m_weight_checks = 0;
    std::size_t m_nonzero_weights_after_suspension = 0;
};

} // namespace caraway
