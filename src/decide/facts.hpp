// Facts that spread between nodes while the store is unreachable. Each kind merges in any order:
// suspensions by union, move records by the higher store revision.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"

namespace caraway {

enum class move_state : std::uint8_t { running, done, taken_back };

// Returns the word for a state in the store, logs and reports.
std::string_view move_state_name(move_state value);

// The store's record of one move. Only the holder writes it, by compare-and-swap.
struct move_record {
    std::string m_move_id;
    std::string m_service;
    std::string m_from;
    std::string m_to;
    move_state m_state = move_state::running;
    std::uint32_t m_stage = 0;
    std::uint32_t m_weight_permille = 0; // share of the service's calls that the new version gets
    std::int64_t m_started_ms = 0;       // Unix milliseconds
    std::int64_t m_raised_ms = 0;        // when the weight was last raised
    std::int64_t m_deadline_ms = 0;
    std::string m_holder;         // instance that wrote it last
    std::string m_reason;         // why the state or weight is what it is
    std::uint64_t m_revision = 0; // store revision of this record; not part of the stored value
    friend bool operator==(const move_record&, const move_record&) = default;
};

// A version that must receive nothing for now. Set by any node that sees badness; never unset.
struct suspension {
    std::string m_move_id;
    std::string m_service;
    std::string m_version;
    std::string m_instance; // the node that saw it first
    std::string m_reason;
    std::int64_t m_at_ms = 0; // Unix milliseconds
    friend bool operator==(const suspension&, const suspension&) = default;
};

struct fact_table {
    std::map<std::string, suspension, std::less<>> m_suspensions; // by move id
    std::map<std::string, move_record, std::less<>> m_records;    // by service
    // Service of each record by move id, so that is_suspended needs no scan.
    std::map<std::string, std::string, std::less<>> m_service_by_move;
};

// Upper bound of either map; the entries of moves that left the text are dropped by prune_facts.
constexpr std::size_t max_facts = 10'000;

// Adds a suspension. Of two for the same move the one with the smaller (time, instance) is kept, so
// that every order of arrival gives the same table. Returns whether the table changed.
bool merge_suspension(fact_table& facts, const suspension& value);

// Adds a move record; the higher revision wins. Returns whether the table changed.
bool merge_record(fact_table& facts, const move_record& value);

// Digest of the suspended moves and of the records' revisions; equal tables have equal digests.
std::uint64_t facts_digest(const fact_table& facts);

// The version's share of a service's calls in permille, as far as this node knows: 0 for a version
// under suspension or taken back, 1000 for one that is done.
std::uint32_t move_weight(const fact_table& facts, std::string_view service,
                          std::string_view move_id);

// True when the version of this move is suspended or taken back.
bool is_suspended(const fact_table& facts, std::string_view move_id);

// Drops facts of moves that are not in keep_move_ids (those of the mesh in force).
void prune_facts(fact_table& facts, const std::vector<std::string>& keep_move_ids);

} // namespace caraway
