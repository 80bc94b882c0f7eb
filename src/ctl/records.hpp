// The store's records as carawayctl reads them: JSON objects, in which unknown keys are ignored
// and missing ones read as empty, so that an older program can show a newer record.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/mesh.hpp"

namespace caraway {

// caraway/state/accepted.
struct accepted_view {
    std::uint64_t m_version = 0;
    std::uint64_t m_source_revision = 0; // of the submitted text
    std::string m_hash;                  // content hash, as a hex string
    std::string m_accepter;
    std::int64_t m_accepted_ms = 0;
    // The whole text that this one's delta in the store was made from; version 0: stored whole.
    std::uint64_t m_base_version = 0;
    std::string m_base_hash;
};
std::optional<accepted_view> parse_accepted(std::string_view value);

// caraway/state/refused.
struct refused_view {
    std::uint64_t m_source_revision = 0;
    std::vector<text_fault> m_faults;
};
std::optional<refused_view> parse_refused(std::string_view value);

// caraway/state/move/SERVICE and caraway/verdict/move/SERVICE/MOVEID.
struct move_view {
    std::string m_move_id;
    std::string m_service;
    std::string m_from;
    std::string m_to;
    std::string m_state; // running, done or taken_back
    std::uint64_t m_stage = 0;
    std::uint64_t m_weight_permille = 0;
    std::int64_t m_deadline_ms = 0;
    std::string m_holder;
    std::string m_reason;
};
std::optional<move_view> parse_move(std::string_view value);
// True for the states done and taken_back.
bool is_final(const move_view& move);

// caraway/verdict/config/VERSION.
struct config_verdict_view {
    std::uint64_t m_version = 0;
    std::uint64_t m_in_force = 0; // members that have the version in force
    std::uint64_t m_members = 0;
    std::vector<std::string> m_missing; // at most 20 names
    bool m_final = false;
};
std::optional<config_verdict_view> parse_config_verdict(std::string_view value);
// True when every member has the version in force.
bool is_in_force(const config_verdict_view& verdict);

// One line for a person.
std::string describe(const accepted_view& accepted);
std::string describe(const move_view& move);
std::string describe(const config_verdict_view& verdict);

// Latest time in records and logs, in the year 2262: the system clock counts nanoseconds in 64
// bits. Numbers outside [0, max_unix_ms] are damaged; converting or subtracting them would
// overflow.
constexpr std::int64_t max_unix_ms = 9'223'372'036'853;

// Writes Unix milliseconds as a UTC date-time, or as a number if they are out of range.
std::string format_unix_ms(std::int64_t at);

} // namespace caraway
