// Which configuration version a node fetches, applies and announces. Pure state machine: versions
// only rise, whatever order updates arrive in and whoever sends them.
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

// One accepted text, whole and immutable.
struct config_text {
    std::uint64_t m_version = 0;
    std::uint64_t m_hash = 0; // content hash of the text, fixed by the accepter
    std::shared_ptr<const std::string> m_text;
};

// In all functions below, live_members is the number of other members believed reachable.

// Texts kept for answering peers with deltas; the one in force is kept besides.
constexpr std::size_t max_kept_texts = 8;
// Other members that must hold a text before a node applies it, unless the node read it from the
// store; then a restarted node finds it again while the store is down.
constexpr std::size_t replicas_before_apply = 2;
// A text read from the store is applied without replicas only after this wait, when too few members
// can be reached: a node that restarts while the store is down should find it at others.
constexpr milliseconds store_replica_wait{1'000};
// Members asked for the floor when the store is down (all known ones in a smaller mesh).
constexpr std::size_t join_replies_before_apply = 3;
// Peers whose versions are kept; further names are ignored, since headers of calls may carry any.
constexpr std::size_t max_peer_versions = 32'768;

struct distribution_state {
    std::string m_instance;
    std::uint64_t m_applied = 0;       // version in force here; never falls
    std::uint64_t m_min_version = 0;   // nothing below this is ever applied (predecessor's version)
    std::uint64_t m_highest_known = 0; // highest version heard of
    bool m_ready = false;
    std::map<std::uint64_t, config_text> m_texts; // the latest max_kept_texts held here
    std::set<std::uint64_t> m_candidates; // held, parsed, above m_applied, waiting for replicas
    std::uint64_t m_store_version = 0;    // highest version read from the store itself
    time_point m_store_version_read_at;   // when it was read
    bool m_store_wait_over = false;       // store_replica_wait has passed since then
    std::map<std::string, std::uint64_t, std::less<>> m_peer_versions; // latest heard of each peer
    std::map<std::uint64_t, std::size_t> m_holder_counts; // number of peers per version
    // A fetch under way.
    std::optional<std::string> m_fetch_from;
    time_point m_fetch_sent;
    std::uint32_t m_fetch_failures = 0; // since the last text that arrived
    time_point m_next_fetch;
    std::string m_preferred_holder; // peer that announced a higher version: asked first
    // Peers whose fetches failed since the last text arrived: asked again only if no other is left.
    std::set<std::string, std::less<>> m_failed_holders;
    std::string m_scan_start; // where the next bounded search of m_peer_versions starts
    milliseconds m_fetch_timeout{2'000};
    // Other members that must hold a text before this node applies it.
    std::size_t m_required_replicas = replicas_before_apply;
    random_source m_random{1};
    // Joining.
    bool m_store_read = false;            // the store's accepted version was read since start
    std::set<std::string> m_join_replies; // members that answered the join request
};

// Actions are to be carried out in the order given. Parsing comes last, so that its result can be
// reported at once without an older version being applied after it.
struct distribution_action {
    enum class kind : std::uint8_t {
        fetch,    // ask m_instance for a version above m_version (held here)
        parse,    // parse and validate the text of m_version; report with distribution_parsed
        apply,    // swap the snapshot to m_version
        announce, // spread that this node holds the text of m_version, so that others fetch it
                  // here and count it as a replica; it may not be in force here yet
        ready,    // the node may take calls
    };
    kind m_kind = kind::fetch;
    std::string m_instance;
    std::uint64_t m_version = 0;
};

distribution_state make_distribution(std::string instance, milliseconds fetch_timeout,
                                     std::uint64_t seed);

// A peer holds the version (from a packet, a header, a fetch request or a join reply).
std::vector<distribution_action>
distribution_peer_version(distribution_state& state, std::string_view instance,
                          std::uint64_t version, std::size_t live_members, time_point now);

// A fetched text arrived. A text whose hash doesn't match is counted as a failed fetch.
std::vector<distribution_action>
distribution_text_received(distribution_state& state, std::string_view instance,
                           const config_text& text, std::size_t live_members, time_point now);

// The fetch under way failed or was refused.
std::vector<distribution_action> distribution_fetch_failed(distribution_state& state,
                                                           time_point now);

// The accepted text as read from the store; text is empty when the store holds none yet.
std::vector<distribution_action> distribution_store_read(distribution_state& state,
                                                         const std::optional<config_text>& text,
                                                         std::size_t live_members, time_point now);

// The result of parsing a held text: whole or not at all. An accepted text that doesn't parse here
// (a newer format) is kept for peers but not applied.
std::vector<distribution_action> distribution_parsed(distribution_state& state,
                                                     std::uint64_t version, bool valid,
                                                     std::size_t live_members, time_point now);

// A member answered the join request with the version it holds and the highest version that this
// node's predecessor (same instance name) had announced to it.
std::vector<distribution_action> distribution_join_reply(distribution_state& state,
                                                         std::string_view instance,
                                                         std::uint64_t version,
                                                         std::uint64_t predecessor_version,
                                                         std::size_t live_members, time_point now);

// Retries fetches and times them out. Call it at least every 100 ms.
std::vector<distribution_action> distribution_tick(distribution_state& state,
                                                   std::size_t live_members, time_point now);

// The peer died, left or restarted: it no longer counts as a holder of any text.
void distribution_peer_gone(distribution_state& state, std::string_view instance);

// The highest version whose text is held here, 0 if none. Goes into every packet as the held
// version; m_applied goes there as the version in force.
std::uint64_t held_version(const distribution_state& state);

// The in-force verdict that a reader writes.
struct in_force_report {
    std::uint64_t m_version = 0;
    std::size_t m_in_force = 0;
    std::size_t m_members = 0;
    std::vector<std::string> m_missing; // at most max_missing_names
    bool m_final = false;               // all in force, or the time limit passed
};
constexpr std::size_t max_missing_names = 20;
constexpr milliseconds in_force_limit{18'000};

struct member_version {
    std::string_view m_instance;
    std::uint64_t m_version = 0;
};

// Counts the members that run at least the version.
in_force_report report_in_force(std::uint64_t version, std::span<const member_version> members,
                                duration since_acceptance);

} // namespace caraway
