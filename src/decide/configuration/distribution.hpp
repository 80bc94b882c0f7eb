// Decides which configuration version a node fetches, applies and announces. Pure state machine:
// the applied version only rises, in whatever order and from whichever peer updates arrive.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "base/random.hpp"

namespace caraway {

// One accepted text, complete and immutable.
struct config_text {
    std::uint64_t m_version = 0;
    std::uint64_t m_hash = 0; // content hash of the text, computed by the accepter
    std::shared_ptr<const std::string> m_text;
};

// In all functions below, live_members is the number of other members that are alive or suspect.

// Number of texts kept to send deltas to peers. The text in force is kept in addition.
constexpr std::size_t max_kept_texts = 8;
// Number of other members that must hold a text before a node applies it, unless the node read it
// from the store. A restarted node can then find the text while the store is down.
constexpr std::size_t replicas_before_apply = 2;
// If too few members are reachable, a text read from the store is applied without replicas only
// after this wait, because a node that restarts while the store is down should find the text at
// other members.
constexpr milliseconds store_replica_wait{1'000};
// Number of members that must have replied to the join request before a node applies a version
// without the store: their replies give the minimum version. If fewer members are known, all of
// them must have replied.
constexpr std::size_t join_replies_before_apply = 3;
// Upper bound of the number of peers whose versions are kept. Further names are ignored, since the
// headers of calls may carry any name.
constexpr std::size_t max_peer_versions = 32'768;

// A node's knowledge of configuration versions.
struct distribution_state {
    std::string m_instance;
    std::uint64_t m_applied = 0; // version in force here; never decreases
    // No version below this is applied. It is the highest version read from the store or named in a
    // join reply, so that a restarted node doesn't fall below its predecessor's version.
    std::uint64_t m_min_version = 0;
    std::uint64_t m_highest_known = 0; // highest version known to exist
    bool m_ready = false;
    std::map<std::uint64_t, config_text> m_texts; // the latest max_kept_texts texts held here
    // Held and parsed versions above m_applied that wait for replicas.
    std::set<std::uint64_t> m_candidates;
    std::uint64_t m_store_version = 0;  // highest version read from the store
    time_point m_store_version_read_at; // when it was read
    bool m_store_wait_over = false;     // store_replica_wait has passed since then
    // Latest version reported by each peer.
    std::map<std::string, std::uint64_t, std::less<>> m_peer_versions;
    std::map<std::uint64_t, std::size_t> m_holder_counts; // number of peers by version
    // The pending fetch.
    std::optional<std::string> m_fetch_from;
    time_point m_fetch_sent;
    std::uint32_t m_fetch_failures = 0; // since the last text arrived
    time_point m_next_fetch;
    std::string m_preferred_holder; // peer that announced a higher version; asked first
    // Peers whose fetches failed since the last text arrived. They are asked again only if no other
    // peer is left.
    std::set<std::string, std::less<>> m_failed_holders;
    std::string m_scan_start; // where the next bounded search of m_peer_versions starts
    milliseconds m_fetch_timeout{2'000};
    // Number of other members that must hold a text before this node applies it.
    std::size_t m_required_replicas = replicas_before_apply;
    random_source m_random{1};
    // Joining the mesh.
    bool m_store_read = false;            // the store's accepted version was read since start
    std::set<std::string> m_join_replies; // members that replied to the join request
};

// Actions must be carried out in the given order. Parsing comes last: if its result is reported at
// once, the version may be applied, and no older one may be applied after it.
struct distribution_action {
    enum class kind : std::uint8_t {
        fetch,    // ask m_instance for a version above m_version (held here)
        parse,    // parse and validate the text of m_version; report with distribution_parsed
        apply,    // replace the snapshot in use with m_version
        announce, // announce that this node holds the text of m_version, so that others fetch it
                  // here and count it as a replica; it may not be in force here yet
        ready,    // the node may accept calls
    };
    kind m_kind = kind::fetch;
    std::string m_instance;
    std::uint64_t m_version = 0;
};

// Creates the state of a node that holds no text. The seed determines choices among equal holders
// and the jitter of retries.
distribution_state make_distribution(std::string instance, milliseconds fetch_timeout,
                                     std::uint64_t seed);

// Handles the report of a version that a peer holds, from a packet, a header, a fetch request or a
// join reply.
std::vector<distribution_action>
distribution_peer_version(distribution_state& state, std::string_view instance,
                          std::uint64_t version, std::size_t live_members, time_point now);

// Handles a text that arrived from a peer. A text with a wrong hash counts as a failed fetch.
std::vector<distribution_action>
distribution_text_received(distribution_state& state, std::string_view instance,
                           const config_text& text, std::size_t live_members, time_point now);

// Handles the failure or refusal of the pending fetch.
std::vector<distribution_action> distribution_fetch_failed(distribution_state& state,
                                                           time_point now);

// Handles the accepted text as read from the store. text is empty if the store holds none yet.
std::vector<distribution_action> distribution_store_read(distribution_state& state,
                                                         const std::optional<config_text>& text,
                                                         std::size_t live_members, time_point now);

// Handles the result of parsing a held text, which is valid as a whole or not at all. An accepted
// text that doesn't parse here, such as one in a newer format, is kept for peers but not applied.
std::vector<distribution_action> distribution_parsed(distribution_state& state,
                                                     std::uint64_t version, bool valid,
                                                     std::size_t live_members, time_point now);

// Handles a member's reply to the join request. version is the version that the member holds, and
// predecessor_version the highest version that this node's predecessor (same instance name) had
// announced to it.
std::vector<distribution_action> distribution_join_reply(distribution_state& state,
                                                         std::string_view instance,
                                                         std::uint64_t version,
                                                         std::uint64_t predecessor_version,
                                                         std::size_t live_members, time_point now);

// Times out the pending fetch and retries failed ones. Must be called at least every 100 ms.
std::vector<distribution_action> distribution_tick(distribution_state& state,
                                                   std::size_t live_members, time_point now);

// Handles a peer that failed, left or restarted: it no longer counts as a holder of any text.
void distribution_peer_gone(distribution_state& state, std::string_view instance);

// Returns the highest version whose text is held here, 0 if none. Every packet carries it as the
// held version, and m_applied as the version in force.
std::uint64_t held_version(const distribution_state& state);

// The verdict of a reader on whether a version is in force everywhere.
struct in_force_report {
    std::uint64_t m_version = 0;
    std::size_t m_in_force = 0;
    std::size_t m_members = 0;
    // Members that run an older version; at most max_missing_names.
    std::vector<std::string> m_missing;
    bool m_final = false; // in force on all members, or in_force_limit has passed
};
constexpr std::size_t max_missing_names = 20;
// Time after acceptance at which a verdict becomes final.
constexpr milliseconds in_force_limit{18'000};

// The version in force on one member.
struct member_version {
    std::string_view m_instance;
    std::uint64_t m_version = 0;
};

// Counts the members that run the given version or a later one. since_acceptance is the time since
// the version was accepted.
in_force_report report_in_force(std::uint64_t version, std::span<const member_version> members,
                                duration since_acceptance);

} // namespace caraway
