// Idempotency keys: a non-idempotent request runs at most once although it is sent again. The
// executing node claims the key at its registrars before the request runs.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/clock.hpp"
#include "base/error.hpp"

namespace caraway {

constexpr std::size_t registrar_count = 3;
// Difference allowed between the clocks of a caller and a node.
constexpr milliseconds clock_skew_allowance{2'000};
// A new name is a registrar only for keys first sent at least this much later than its start, so
// that every ready node knows the name by then. Executing nodes that differ in the names they know
// could take different registrars for the same key, and both get a majority. In schedules of up to
// 1,000 nodes, 4.5 s passed until all knew 20 instances that started at once.
constexpr milliseconds membership_convergence_allowance{5'000};
// A name counts this much later still, so that a partition that hid it from others has shown itself
// as the suspicion of a member by the time the name counts.
constexpr milliseconds suspicion_allowance{5'000};
// The member table before a loss is taken this much earlier than the first suspicion: by then every
// node on either side of a partition knew the same names, although each noticed it at another time.
// In a schedule of 400 nodes cut in halves, 54 s passed until each suspected all of the other half.
constexpr milliseconds loss_detection_allowance{75'000};
// Names first started within this time before the key was sent need the majority of the earlier
// ones besides, since a partition may not have been noticed yet.
constexpr milliseconds recent_join_window{60'000};
// Views of the start of one loss differ by less than this; it is a part of the allowance above.
constexpr milliseconds max_loss_start_difference{10'000};
// After a lost member is back, names of the other side are known everywhere within this time: two
// rounds of the comparison of member tables.
constexpr milliseconds heal_convergence_allowance{60'000};
constexpr std::size_t max_key_bytes = 256;

// An instance of a service as a possible registrar.
struct known_instance {
    std::string m_instance;
    // Unix milliseconds of the start of the first process seen under this name.
    std::uint64_t m_first_incarnation = 0;
    friend bool operator==(const known_instance&, const known_instance&) = default;
};

// A time in which a member of the service was suspected or dead, in Unix milliseconds. It may have
// been cut off with others, and names first started meanwhile may be known on one side only.
struct member_loss {
    std::int64_t m_from_ms = 0;
    std::optional<std::int64_t> m_until_ms; // absent: still lost
    friend bool operator==(const member_loss&, const member_loss&) = default;
};

// Names first started before the returned time (Unix milliseconds) are known on both sides of every
// partition that a caller's key may have met: before the earliest loss that was in effect when the
// key was first sent or later. Nothing without such a loss. Without a first-sent time all losses
// count.
std::optional<std::int64_t> loss_cutoff_ms(std::optional<std::int64_t> first_sent_ms,
                                           std::span<const member_loss> losses);

// The first registrars of a key: of the known instances of the service (dead ones included until
// they are forgotten) those with the highest rendezvous weights. With a first-sent time, only names
// first started before it minus both allowances count, so that instances that join under new names
// leave the registrars of earlier keys as they are; the result may be empty.
std::vector<std::string> select_registrars(std::string_view service, std::string_view key,
                                           std::span<const known_instance> instances,
                                           std::optional<std::int64_t> first_sent_ms);

// The nodes to ask for a key. Without a loss there is one set, the present registrars. After a loss
// the sets are those as of every time from before the loss up to now, and a majority of each must
// grant: the two sides of a partition share the set as of its start, whenever each noticed it, and
// attempts before and after a loss share the present one.
struct registrar_sets {
    std::vector<std::string> m_names;
    std::vector<std::vector<std::size_t>> m_sets; // places in m_names; the last one is the present
    std::optional<std::int64_t> m_cutoff_ms;      // of the loss
};
registrar_sets select_registrar_sets(std::string_view service, std::string_view key,
                                     std::span<const known_instance> instances,
                                     std::optional<std::int64_t> first_sent_ms,
                                     std::span<const member_loss> losses);

// One key as its registrar knows it.
struct claim_entry {
    std::string m_claimant;       // instance that may run the request
    std::uint64_t m_claim_id = 0; // the claimant's number for this attempt
    time_point m_expires;
};

// The registrar's table.
struct claim_table {
    std::unordered_map<std::string, claim_entry> m_entries; // by service and key
    time_point m_started;                                   // table complete from here on
    wall_time m_started_wall;
    milliseconds m_retention{600'000};
    std::size_t m_max_entries = 100'000;
    std::size_t m_next_bucket = 0; // where expire_claims goes on
};

struct claim_request {
    std::string m_service;
    std::string m_key;
    std::string m_claimant;
    std::uint64_t m_claim_id = 0;
    std::optional<std::int64_t> m_first_sent_ms; // Unix milliseconds of the caller's first try
    std::optional<std::int64_t> m_cutoff_ms = std::nullopt; // of the loss allowed for
};

// dead: known dead by the member table, not asked. unreachable: believed alive, no reply.
enum class claim_status : std::uint8_t { granted, held, full, unreachable, dead };

struct claim_reply {
    claim_status m_status = claim_status::unreachable;
    std::string m_claimant; // held: who has it
    std::uint64_t m_claim_id = 0;
    bool m_history_complete = false; // no claim of this key can have been forgotten here
};

// A member that left by itself and when this node learned of it; kept for the retention time.
struct departure {
    known_instance m_instance;
    wall_time m_left;
};

// When this instance became a registrar of the key because registrars before it left: its table
// can't know claims made earlier. Nothing if it was one all along.
std::optional<wall_time> promotion_time(std::string_view service, std::string_view key,
                                        std::optional<std::int64_t> first_sent_ms,
                                        std::string_view self,
                                        std::span<const known_instance> instances,
                                        std::span<const departure> departures);
// The same for all sets of registrars since the loss that the claimant allowed for; the latest
// time.
std::optional<wall_time> promotion_time(const claim_request& request, std::string_view self,
                                        std::span<const known_instance> instances,
                                        std::span<const departure> departures);

// False if nodes with this registrar's view would not ask it, or if its own name may be unknown on
// the other side of a partition that the claimant has not allowed for: the claim could then be
// granted on both sides.
bool is_partition_safe(const claim_request& request, std::string_view self,
                       std::span<const known_instance> instances,
                       std::span<const member_loss> losses);

// The registrar's answer. The same claimant and claim id is granted again (a lost reply). promoted
// is the result of promotion_time.
claim_reply grant_claim(claim_table& table, const claim_request& request, time_point now,
                        wall_time wall_now, std::optional<wall_time> promoted = std::nullopt);

// Withdraws a claim that did not run; only the claim with the same claimant and id is removed.
void withdraw_claim(claim_table& table, const claim_request& request);

// Drops expired entries; bounded work per call.
void expire_claims(claim_table& table, time_point now);

// What the executing node does with the replies of all registrars.
struct claim_decision {
    enum class kind : std::uint8_t {
        run,          // all live ones granted, a majority did, a majority's history is complete
        ask_claimant, // another node has the key: ask it for the result
        refuse,       // not claimed anywhere for sure: withdraw and answer not run (m_reason)
        unknown,      // may have run before: withdraw own grants and answer unknown (m_reason)
    };
    kind m_kind = kind::unknown;
    std::string m_claimant;
    std::uint64_t m_claim_id = 0;
    error_kind m_reason = error_kind::none;
};
claim_decision decide_claim(std::span<const claim_reply> replies);
// The same for several sets of registrars: all must allow the run.
claim_decision decide_claim(const registrar_sets& registrars, std::span<const claim_reply> replies);

// Results kept by the claimant for requests sent again.
enum class result_state : std::uint8_t { running, stored, too_large, withdrawn };
struct stored_result {
    result_state m_state = result_state::running;
    std::uint64_t m_claim_id = 0;
    std::uint16_t m_status = 0;
    std::string m_content_type;
    std::string m_body;
    time_point m_expires;
};
struct result_table {
    std::unordered_map<std::string, stored_result> m_results; // by service and key
    milliseconds m_retention{600'000};
    std::size_t m_max_entries = 10'000;
    std::size_t m_max_bytes = 64U << 10U;       // of one stored body
    std::size_t m_max_total_bytes = 64U << 20U; // of all; above it, answers are not kept
    std::size_t m_total_bytes = 0;
};

// The combined key of both tables.
std::string claim_key(std::string_view service, std::string_view key);

// Reserves a place before the claim; false when the table is full (answer: queue_full, not run) or
// when this node already has the key (look it up with find_result).
bool reserve_result(result_table& table, std::string_view combined_key, std::uint64_t claim_id,
                    time_point now);
// Stores the whole answer, or that it was too large to keep.
void store_result(result_table& table, std::string_view combined_key, std::uint16_t status,
                  std::string_view content_type, std::string_view body, time_point now);
// The request did not run; the key is free again.
void withdraw_result(result_table& table, std::string_view combined_key);
const stored_result* find_result(const result_table& table, std::string_view combined_key);
void expire_results(result_table& table, time_point now);

} // namespace caraway
