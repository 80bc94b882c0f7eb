// Facts about version moves, which nodes exchange directly so that they spread while the store is
// unreachable. Facts merge in any order: suspensions by union, move records by the higher store
// revision.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "config/mesh.hpp"

namespace caraway {

// State of a version move. taken_back means that the old version receives all calls again.
enum class move_state : std::uint8_t { running, done, taken_back };

// Returns the name of a state in the store, in logs and in reports.
std::string_view move_state_name(move_state value);

// The store's record of one version move. Only the holder of the move's lease writes it, by
// compare-and-swap.
struct move_record {
    std::string m_move_id;
    std::string m_service;
    std::string m_from; // old version, whose calls the move transfers
    std::string m_to;   // new version
    move_state m_state = move_state::running;
    std::uint32_t m_stage = 0;
    // Share of the service's calls that the new version receives.
    std::uint32_t m_weight_permille = 0;
    std::int64_t m_started_ms = 0;  // Unix milliseconds
    std::int64_t m_raised_ms = 0;   // when the weight was last raised, Unix milliseconds
    std::int64_t m_deadline_ms = 0; // Unix milliseconds
    std::string m_holder;           // instance that wrote the record last
    std::string m_reason;           // reason for the state and weight
    // Targets of earlier moves of the service that were not completed, oldest first. They get no
    // calls until a move to them is ordered again.
    std::vector<std::string> m_excluded_versions;
    // Version of this record: the store's era when it was written, and its revision. Only the era
    // is part of the stored value.
    std::uint64_t m_revision = 0;
    friend bool operator==(const move_record&, const move_record&) = default;
};

// A version that must receive no calls. Any node that detects failures or high latency of the
// version sets it; it is never unset.
struct suspension {
    std::string m_move_id;
    std::string m_service;
    std::string m_version;
    std::string m_instance; // the node that detected the fault first
    std::string m_reason;
    std::int64_t m_at_ms = 0; // Unix milliseconds
    friend bool operator==(const suspension&, const suspension&) = default;
};

// The facts that a node knows.
struct fact_table {
    std::map<std::string, suspension, std::less<>> m_suspensions; // by move id
    std::map<std::string, move_record, std::less<>> m_records;    // by service
    // Service of each record by move id, so that is_suspended doesn't scan m_records.
    std::map<std::string, std::string, std::less<>> m_service_by_move;
    // Targets of orders that were replaced or deleted before this node knew a record of their move,
    // by service. Nodes don't exchange them; the first record of the next move states them.
    std::map<std::string, std::vector<std::string>, std::less<>> m_unrecorded_targets;
};

// Upper bound of the number of suspensions and of records.
constexpr std::size_t max_facts = 10'000;
// Upper bound of the number of records kept for services that the configuration doesn't list.
constexpr std::size_t max_unlisted_records = 1'000;
// Upper bound of the versions that a record excludes; the oldest ones are dropped.
constexpr std::size_t max_excluded_versions = 32;

// Merges a suspension into the table and returns whether the table changed. Of two for the same
// move the one with the smaller (time, instance) is kept, so that every order of arrival gives the
// same table. A new move is dropped if the table holds max_facts suspensions.
bool merge_suspension(fact_table& facts, const suspension& value);

// Merges a move record into the table and returns whether the table changed. The record with the
// higher revision is kept. A new service is dropped if the table holds max_facts records.
bool merge_record(fact_table& facts, const move_record& value);

// Returns a digest of the suspended moves and of the records' revisions. Equal tables have equal
// digests.
std::uint64_t facts_digest(const fact_table& facts);

// Returns the new version's share of a service's calls in permille, as far as this node knows: 0
// for a version that is suspended, taken back or unknown, 1000 for a finished move.
std::uint32_t new_version_weight_permille(const fact_table& facts, std::string_view service,
                                          std::string_view move_id);

// Returns whether the version of this move is suspended or taken back.
bool is_suspended(const fact_table& facts, std::string_view move_id);

// Returns the versions that the record excludes from the calls of its service, oldest first: those
// of earlier moves, and its own target unless its move is done.
std::vector<std::string> excluded_versions(const move_record& record);

// Returns the versions of a service that get no calls, because a move to them was ordered and not
// completed, and no later move to them was. The target of the move in force may be among them.
std::vector<std::string> excluded_versions(const fact_table& facts, std::string_view service);

// Notes the targets of the orders in force before that are not in force after, unless a record from
// after the order says what became of them. Orders of services whose serving version is configured
// are left out.
void note_replaced_orders(fact_table& facts, const mesh& before, const mesh& after);

// Returns the versions that the first record of a move to this version states as excluded: those
// that are excluded before it, without the target and at most the latest max_excluded_versions.
std::vector<std::string> inherit_exclusions(std::vector<std::string> excluded,
                                            std::string_view target);

// Returns whether a service is listed in the configuration.
using service_filter = std::function<bool(std::string_view service)>;

// Drops what a configuration no longer needs: suspensions of moves that are neither among
// move_ids, the moves in force, nor named by a record, and of the records of services that are not
// listed all but the latest max_unlisted_records. What is known of a service's versions therefore
// outlives the order that led to it, and the service's absence from a configuration.
void prune_facts(fact_table& facts, const std::vector<std::string>& move_ids,
                 const service_filter& is_listed);

} // namespace caraway
