// Replays recorded inputs through the decision code of one node process.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "decide/configuration/distribution.hpp"
#include "decide/leases/lease.hpp"
#include "decide/traffic/admission.hpp"
#include "decide/versions/facts.hpp"
#include "decide/versions/version_move.hpp"

namespace caraway {

// One decision line. Fields are read by name. A field that is missing or has the wrong type reads
// as empty or zero and marks the input as damaged.
class replay_input {
public:
    // Parses a decision line or a line that reports dropped lines. For the latter, m_component is
    // dropped_decisions_event. Returns nothing for any other line.
    static std::optional<replay_input> parse(std::string_view line);

    std::string m_instance;
    std::string m_component;      // component of the decision code (field "part")
    std::string m_input_name;     // kind of input (field "input")
    std::string m_action;         // recorded action
    time_point m_now;             // time that was passed to the decision
    std::int64_t m_logged_ms = 0; // time of the log line, Unix milliseconds

    std::string text(std::string_view name) const;
    std::int64_t number(std::string_view name) const;
    std::uint64_t count(std::string_view name) const;
    bool flag(std::string_view name) const;
    // Returns whether a field read so far was missing or had the wrong type.
    bool is_damaged() const { return m_damaged; }

private:
    std::map<std::string, std::string, std::less<>> m_texts;
    std::map<std::string, std::int64_t, std::less<>> m_numbers;
    mutable bool m_damaged = false;
};

// Decision state of one node process. A line with the component "node", which reports a process
// start, creates a new one.
struct replayed_process {
    std::string m_instance;
    std::string m_version; // version of its backend server
    std::string m_service;
    std::map<std::string, lease_keeper> m_leases; // by lease key
    distribution_state m_distribution;
    admission_state m_admission = make_admission({});
    move_evidence m_evidence;               // of all instances, for the holder of the move's lease
    move_evidence m_local_evidence;         // of the own server only, for the local test
    std::vector<evidence_report> m_reports; // received since the last evaluation
    fact_table m_facts;
    std::string m_move_id;
    // Results of the last input, used to check outcomes.
    std::vector<distribution_action> m_actions;
    std::size_t m_started_calls = 0; // calls that were admitted to run
    std::optional<move_record> m_written_record;
    bool m_suspension_matches = true; // the recorded suspension flag equals the replayed one
};

// Passes one input to the decision code and returns the resulting action as text, in the form of
// the recorded one.
std::string replay(replayed_process& process, const replay_input& input);

} // namespace caraway
