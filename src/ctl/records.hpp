// Parsers of the store's JSON records. Unknown keys are ignored and missing keys read as empty or
// zero, so that an older program can show a newer record. The parsers return nothing if the value
// is not a JSON object with the record's identifying key.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/mesh.hpp"

namespace caraway {

// The record of the accepted configuration, stored at caraway/state/accepted.
struct stored_acceptance {
    std::uint64_t m_version = 0;
    std::uint64_t m_source_revision = 0; // store revision of the submitted text
    std::string m_hash;                  // content hash of the text, in hex
    std::string m_accepter;              // instance that accepted the text
    std::int64_t m_accepted_ms = 0;      // Unix milliseconds
    // The text that the stored delta is based on. Version 0 means that the text is stored whole.
    std::uint64_t m_base_version = 0;
    std::string m_base_hash;
};
std::optional<stored_acceptance> parse_accepted(std::string_view value);

// The record of the last refused text, stored at caraway/state/refused.
struct stored_refusal {
    std::uint64_t m_source_revision = 0;
    std::vector<text_fault> m_faults;
};
std::optional<stored_refusal> parse_refused(std::string_view value);

// The record of a version move, stored at caraway/state/move/SERVICE and, once final, at
// caraway/verdict/move/SERVICE/MOVEID.
struct stored_move {
    std::string m_move_id;
    std::string m_service;
    std::string m_from;
    std::string m_to;
    std::string m_state; // running, done or taken_back
    std::uint64_t m_stage = 0;
    std::uint64_t m_weight_permille = 0;
    std::int64_t m_deadline_ms = 0; // Unix milliseconds
    std::string m_holder;           // instance that wrote the record last
    std::string m_reason;
};
std::optional<stored_move> parse_move(std::string_view value);
// Returns whether the move has ended. A move without a state counts as not ended.
bool is_final(const stored_move& move);

// The record of how widely a version is applied, stored at caraway/verdict/config/VERSION.
struct stored_config_verdict {
    std::uint64_t m_version = 0;
    std::uint64_t m_in_force = 0;       // members that have the version in force
    std::uint64_t m_members = 0;        // number of members
    std::vector<std::string> m_missing; // instances without the version, at most 20
    bool m_final = false;
};
std::optional<stored_config_verdict> parse_config_verdict(std::string_view value);
// Returns whether every member has the version in force.
bool is_in_force(const stored_config_verdict& verdict);

// These return one line of readable text without a line break.
std::string describe(const stored_acceptance& accepted);
std::string describe(const stored_move& move);
std::string describe(const stored_config_verdict& verdict);

// Latest valid time in records and logs, in the year 2262: the system clock counts nanoseconds in
// 64 bits. Converting or subtracting times outside [0, max_unix_ms] would overflow, so they are
// treated as damaged.
constexpr std::int64_t max_unix_ms = 9'223'372'036'853;

// Formats Unix milliseconds as a UTC date and time, or as a number if they are out of range.
std::string format_unix_ms(std::int64_t unix_milliseconds);

} // namespace caraway
