// The decision code of one node process, driven by recorded inputs.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "decide/admission.hpp"
#include "decide/distribution.hpp"
#include "decide/facts.hpp"
#include "decide/lease.hpp"
#include "decide/version_move.hpp"

namespace caraway {

// One decision line. The fields are read by name; a missing or mistyped one reads as empty or zero
// and marks the input as damaged.
class replay_input {
public:
    // Nothing if the line is no decision line.
    static std::optional<replay_input> parse(std::string_view line);

    std::string m_instance;
    std::string m_component;
    std::string m_input_name;
    std::string m_action; // recorded
    time_point m_now;
    std::int64_t m_logged_ms = 0;

    std::string text(std::string_view name) const;
    std::int64_t number(std::string_view name) const;
    std::uint64_t count(std::string_view name) const;
    bool flag(std::string_view name) const;
    bool is_damaged() const { return m_damaged; }

private:
    std::map<std::string, std::string, std::less<>> m_texts;
    std::map<std::string, std::int64_t, std::less<>> m_numbers;
    mutable bool m_damaged = false;
};

// What one process knew. A new one is made at each start line.
struct replayed_process {
    std::string m_instance;
    std::string m_version; // of its backend server
    std::string m_service;
    std::map<std::string, lease_keeper> m_leases; // by key
    distribution_state m_distribution;
    admission_state m_admission = make_admission({});
    move_evidence m_evidence;
    move_evidence m_local_evidence;
    std::vector<evidence_report> m_reports; // since the last weighing
    fact_table m_facts;
    std::string m_move_id;
    // What the last input gave, for the checks of outcomes.
    std::vector<distribution_action> m_actions;
    std::size_t m_started_calls = 0; // calls that may run now
    std::optional<move_record> m_written_record;
    bool m_suspension_matches = true; // the recorded suspension flag agrees with the replayed facts
};

// Applies one input and returns the action's text, to be compared with the recorded one.
std::string replay(replayed_process& process, const replay_input& input);

} // namespace caraway
