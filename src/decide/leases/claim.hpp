// Idempotency keys make a non-idempotent request run at most once although the caller may retry it.
// Before the request runs, the executing node claims the key at the key's registrars.
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

// Number of registrars of a key.
constexpr std::size_t registrar_count = 3;
// Largest tolerated difference between the clocks of a caller and a node.
constexpr milliseconds clock_skew_allowance{2'000};
// A new instance becomes a registrar only for keys first sent at least this long after its start,
// so that every ready node knows it by then. Executing nodes with different views of the membership
// could otherwise select different registrars for the same key, and both obtain a majority. In
// schedules of up to 1,000 nodes, all nodes knew 20 simultaneously started instances after 4.5 s.
constexpr milliseconds membership_convergence_allowance{5'000};
// Added to membership_convergence_allowance. If a partition hides a new instance from other nodes,
// a member has been suspected by the time that the instance counts as a registrar.
constexpr milliseconds suspicion_allowance{5'000};
// Instances first started at least this long before the first suspicion of a loss count as known on
// both sides of a partition, although nodes detect the partition at different times. In a schedule
// of 400 nodes split into halves, it took 54 s until each node suspected all members of the other
// half.
constexpr milliseconds loss_detection_allowance{75'000};
// If instances started within this time before the key was first sent, a majority of the registrars
// without them is required as well, since a partition may not have been detected yet.
constexpr milliseconds recent_join_window{60'000};
// Upper bound of the difference between two nodes' estimates of the start of the same loss. It is
// part of loss_detection_allowance.
constexpr milliseconds max_loss_start_difference{10'000};
// After a lost member returns, instances of the other side are known everywhere within this time,
// which covers two rounds of member table comparison.
constexpr milliseconds heal_convergence_allowance{60'000};
// Maximum length of an idempotency key.
constexpr std::size_t max_key_bytes = 256;

// An instance of a service that can be a registrar.
struct known_instance {
    std::string m_instance;
    // Start time of the first process known under this name, in Unix milliseconds; 0 if unknown.
    std::uint64_t m_first_incarnation = 0;
    friend bool operator==(const known_instance&, const known_instance&) = default;
};

// A period during which a member of the service was suspected or dead, in Unix milliseconds. The
// member may have been partitioned together with others, and instances first started during the
// period may be known on one side only.
struct member_loss {
    std::int64_t m_from_ms = 0;
    std::optional<std::int64_t> m_until_ms; // absent while the member is still lost
    friend bool operator==(const member_loss&, const member_loss&) = default;
};

// Returns the cutoff, in Unix milliseconds, before which an instance must have first started to be
// known on both sides of every partition that can affect the key. The cutoff lies before the
// earliest loss that was in effect when the key was first sent or later. Returns nothing if there
// is no such loss. Without a first-sent time, all losses count.
std::optional<std::int64_t> loss_cutoff_ms(std::optional<std::int64_t> first_sent_ms,
                                           std::span<const member_loss> losses);

// Selects the registrars of a key: the known instances of the service with the highest rendezvous
// weights. Dead instances are included until they are forgotten. With a first-sent time, only
// instances first started before that time minus clock_skew_allowance,
// membership_convergence_allowance and suspicion_allowance count, so that instances joining under
// new names don't change the registrars of earlier keys. The result may be empty.
std::vector<std::string> select_registrars(std::string_view service, std::string_view key,
                                           std::span<const known_instance> instances,
                                           std::optional<std::int64_t> first_sent_ms);

// The nodes to ask for a key; a majority of each set must grant the claim. Without a loss there is
// usually one set, the current registrars; instances that started within recent_join_window add the
// sets without them. After a loss the sets cover every time from before the loss up to now: the two
// sides of a partition share the set as of its start, although they detect it at different times,
// and attempts before and after a loss share the current set.
struct registrar_sets {
    std::vector<std::string> m_names;
    // Indices into m_names; the last set is the current one.
    std::vector<std::vector<std::size_t>> m_sets;
    std::optional<std::int64_t> m_cutoff_ms; // see loss_cutoff_ms
};

// Selects the registrar sets of a key, given the losses that this node knows.
registrar_sets select_registrar_sets(std::string_view service, std::string_view key,
                                     std::span<const known_instance> instances,
                                     std::optional<std::int64_t> first_sent_ms,
                                     std::span<const member_loss> losses);

// A claim stored by a registrar.
struct claim_entry {
    std::string m_claimant;       // instance that may run the request
    std::uint64_t m_claim_id = 0; // the claimant's id of this attempt
    time_point m_expires;
};

// The claims stored by one registrar.
struct claim_table {
    std::unordered_map<std::string, claim_entry> m_entries; // by claim_key
    time_point m_started; // no claim made since this time is missing
    wall_time m_started_wall;
    milliseconds m_retention{600'000};
    std::size_t m_max_entries = 100'000;
    std::size_t m_next_bucket = 0; // bucket at which expire_claims continues
};

// A claim as the executing node sends it to a registrar.
struct claim_request {
    std::string m_service;
    std::string m_key;
    std::string m_claimant;
    std::uint64_t m_claim_id = 0;
    // First attempt of the caller, in Unix milliseconds.
    std::optional<std::int64_t> m_first_sent_ms;
    // Cutoff of the losses that the claimant took into account, see loss_cutoff_ms.
    std::optional<std::int64_t> m_cutoff_ms = std::nullopt;
};

// dead: the member table says that the registrar is dead, so it isn't asked. unreachable: the
// registrar is listed as live but didn't reply.
enum class claim_status : std::uint8_t { granted, held, full, unreachable, dead };

// A registrar's reply to a claim.
struct claim_reply {
    claim_status m_status = claim_status::unreachable;
    std::string m_claimant; // held: the instance that holds the claim
    std::uint64_t m_claim_id = 0;
    bool m_history_complete = false; // no claim of this key can have been forgotten here
};

// A member that left voluntarily, with the time at which this node was informed of it. Departures
// are kept for the retention time.
struct departure {
    known_instance m_instance;
    wall_time m_left;
};

// Returns the time at which this instance became a registrar of the key because an earlier
// registrar left. Its table can't contain claims made before that time. Returns nothing if it has
// been a registrar all along.
std::optional<wall_time> promotion_time(std::string_view service, std::string_view key,
                                        std::optional<std::int64_t> first_sent_ms,
                                        std::string_view self,
                                        std::span<const known_instance> instances,
                                        std::span<const departure> departures);
// As above, for all registrar sets since the loss that the claimant took into account. Returns the
// latest time.
std::optional<wall_time> promotion_time(const claim_request& request, std::string_view self,
                                        std::span<const known_instance> instances,
                                        std::span<const departure> departures);

// Returns whether a grant by this registrar is safe under partitions. In two cases the claim could
// be granted on both sides and the function returns false: by its own table and losses this node is
// not a registrar of the key, so nodes with the same view would not ask it; or this node did not
// first start before the cutoff of these losses, so that the other side may not know it, and the
// claimant did not take the same loss into account.
bool is_partition_safe(const claim_request& request, std::string_view self,
                       std::span<const known_instance> instances,
                       std::span<const member_loss> losses);

// Handles a claim at the registrar. A repeated request with the same claimant and claim id is
// granted again, since the reply may have been lost. promoted is the result of promotion_time.
claim_reply grant_claim(claim_table& table, const claim_request& request, time_point now,
                        wall_time wall_now, std::optional<wall_time> promoted = std::nullopt);

// Withdraws the claim of a request that did not run. Only a claim with the same claimant and id is
// removed.
void withdraw_claim(claim_table& table, const claim_request& request);

// Drops expired entries. Each call does a bounded amount of work.
void expire_claims(claim_table& table, time_point now);

// What the executing node does after it has the replies of all registrars.
struct claim_decision {
    enum class kind : std::uint8_t {
        run, // all live registrars, and a majority of all, granted the claim, and a majority of all
             // has a complete history
        ask_claimant, // another node holds the key: ask it for the result
        refuse,       // the request has certainly not run: withdraw the claim and refuse the
                      // request as not run, with m_reason
        unknown,      // an earlier attempt may have run: withdraw the claim where it was granted
                      // and answer that the outcome is unknown, with m_reason
    };
    kind m_kind = kind::unknown;
    std::string m_claimant;
    std::uint64_t m_claim_id = 0;
    error_kind m_reason = error_kind::none;
};
// Decides on a claim from one reply for each registrar of a set.
claim_decision decide_claim(std::span<const claim_reply> replies);
// As above, for several registrar sets. All of them must allow the run.
claim_decision decide_claim(const registrar_sets& registrars, std::span<const claim_reply> replies);

// State of a request's result, which the claimant keeps to answer retries.
enum class result_state : std::uint8_t { running, stored, too_large, withdrawn };
// The result of one request.
struct stored_result {
    result_state m_state = result_state::running;
    std::uint64_t m_claim_id = 0;
    std::uint16_t m_status = 0;
    std::string m_content_type;
    std::string m_body;
    time_point m_expires;
};
// The results kept by one claimant.
struct result_table {
    std::unordered_map<std::string, stored_result> m_results; // by claim_key
    milliseconds m_retention{600'000};
    std::size_t m_max_entries = 10'000;
    std::size_t m_max_bytes = 64U << 10U;       // limit of one stored body
    std::size_t m_max_total_bytes = 64U << 20U; // limit of all bodies; further ones are not kept
    std::size_t m_total_bytes = 0;
};

// Returns the key under which both tables store a service's idempotency key.
std::string claim_key(std::string_view service, std::string_view key);

// Reserves an entry before the key is claimed. Returns false if the table is full, in which case
// the request is answered with queue_full and was not run, or if this node already has the key, in
// which case find_result returns its entry.
bool reserve_result(result_table& table, std::string_view combined_key, std::uint64_t claim_id,
                    time_point now);
// Stores the complete response, or records that it was too large to keep. Does nothing unless the
// request is running.
void store_result(result_table& table, std::string_view combined_key, std::uint16_t status,
                  std::string_view content_type, std::string_view body, time_point now);
// Marks a running request as not run. The key can be reserved again at once.
void withdraw_result(result_table& table, std::string_view combined_key);
// Returns the entry of a key, or null. The pointer is valid until the entry is removed.
const stored_result* find_result(const result_table& table, std::string_view combined_key);
// Drops expired results. Entries of running requests are kept.
void expire_results(result_table& table, time_point now);

} // namespace caraway
