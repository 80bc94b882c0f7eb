// SWIM-like membership: determines which instances are alive by probes between peers. It is a pure
// state machine: the node passes in events and the current time, and carries out the returned
// actions. The parts are in namespace swim: membership_table (entries), membership_groups (data
// centres), membership_merge, membership_packets, membership_packet_size, membership_rumours and
// membership_probes. membership.cpp connects them.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "base/endpoint.hpp"
#include "base/random.hpp"
#include "decide/membership/server_departure.hpp"
#include "decide/versions/facts.hpp"

namespace caraway {

// State of a member as seen by the failure detector. The order decides merges, see member.
enum class member_state : std::uint8_t { alive, suspect, dead, left };

// Returns the name of a state as used in logs and reports.
std::string_view member_state_name(member_state value);

// The replicated entry of one instance. Of two entries with the same incarnation the one with the
// later state in the order alive, suspect, dead, left wins; an entry with a higher incarnation wins
// over any state.
struct member {
    std::string m_instance;
    // Wall-clock milliseconds at process start, so that a restarted instance supersedes its
    // predecessor. The instance increments it to refute a suspicion and to publish a change of its
    // entry.
    std::uint64_t m_incarnation = 0;
    // Wall-clock milliseconds at the start of the first process seen under this name; 0 if unknown.
    // Nodes merge it as the minimum over all incarnations until the entry becomes a tombstone, so
    // that all nodes choose the same registrars for a key.
    std::uint64_t m_first_incarnation = 0;
    // Wall-clock milliseconds of the first suspicion of a suspect or dead member; 0 in other
    // states. Nodes merge it as the minimum, so that a node that joins during a partition receives
    // the time at which the partition began.
    std::uint64_t m_lost_ms = 0;
    member_state m_state = member_state::alive;
    std::string m_data_centre;
    std::string m_service;
    std::string m_version;              // version of the backend server
    ip_endpoint m_traffic;              // calls
    ip_endpoint m_udp;                  // packets of this protocol
    ip_endpoint m_bulk;                 // table exchanges and other bulk requests
    std::uint64_t m_config_version = 0; // highest version reported as in force at the instance
    bool m_ready = false;               // has applied a configuration and accepts calls
    bool m_store_lost = false;          // cannot reach the store
    // Last acknowledged departure of a backend server beside the instance. Nodes merge it as the
    // later one over all incarnations until the entry becomes a tombstone, so that a restarted
    // instance learns of its predecessor's.
    server_departure m_departure;
    friend bool operator==(const member&, const member&) = default;
};

// ping and ack probe a member directly; ping_request requests an indirect probe from a relay;
// rumour carries new information and needs no reply.
enum class packet_kind : std::uint8_t { ping, ack, ping_request, rumour };

// One UDP datagram between nodes. Every packet carries the sender's configuration version and the
// digest of its facts, so that any packet reveals a difference. A relayed ack keeps the header of
// the probed instance.
struct packet {
    packet_kind m_kind = packet_kind::ping;
    std::uint64_t m_sequence = 0; // matches an ack to its ping
    std::string m_sender;
    std::uint64_t m_incarnation = 0;
    // ping_request: the instance to probe. ping: the addressed instance, or empty to request the
    // entry of whichever instance uses the address. ack: the instance whose ping or ping_request is
    // answered.
    std::string m_target;
    std::uint64_t m_config_version = 0; // in force at the sender
    // Highest version whose text the sender holds. It is above m_config_version while the version
    // waits for enough replicas of its text; receivers can fetch the text from the sender and count
    // it as a replica, but the version is not yet in force there.
    std::uint64_t m_held_version = 0;
    std::uint64_t m_facts_digest = 0; // of all facts that the sender holds
    std::vector<member> m_updates;    // piggybacked entries
    std::vector<suspension> m_suspensions;
    std::vector<move_record> m_records;
};

// Returns an upper bound of the encoded size of a packet in bytes, computed from the lengths of its
// fields.
std::size_t estimated_packet_bytes(const packet& value);

// Largest encoded packet in bytes. It is below the usual 1,280-byte path MTU, so that packets are
// never fragmented.
constexpr std::size_t max_packet_bytes = 1200;

// Parameters of probing, gossip and retention, taken from the node's settings.
struct membership_options {
    milliseconds m_probe_interval{1'000}; // one direct probe per interval
    milliseconds m_probe_timeout{300};    // for the direct ack
    std::uint32_t m_indirect_probes = 3;  // relays asked per failed direct probe
    std::uint32_t m_rumour_fanout = 4;    // receivers of a rumour in the local group
    // Dead and left members become tombstones after this time. It must not be shorter than the
    // retention of results, since dead members still count as registrars of keys.
    milliseconds m_dead_retention{600'000};
    // Replaces m_dead_retention for dead members while at least a tenth of the table is dead, as in
    // a partition. Regions occasionally lose connectivity for an hour; a side that dropped the
    // other side's members would count only its own members as the registrars of all keys.
    milliseconds m_mass_loss_retention{7'200'000};
    // Time for which a tombstone is kept before it is erased. Queries do not return tombstones.
    // They prevent old entries from being added again by nodes whose retention ends later, and a
    // dead member is still pinged occasionally, so that the halves of a long partition find each
    // other again.
    milliseconds m_tombstone_retention{7'200'000};
    // For this time after the start, tables are compared twice a second instead of at the normal
    // interval. 0 disables it.
    milliseconds m_initial_comparison_time{0};
};

// An action that the node has to carry out after an event.
struct membership_action {
    enum class kind : std::uint8_t {
        send,             // send m_packet to m_to
        member_changed,   // the table changed for m_instance
        version_reported, // m_instance holds the text of configuration version m_config_version
        facts_differ,     // fetch the facts of m_instance, they differ; at most once a second
        facts_received,   // m_packet carries suspensions or records new to this node
        compare_tables,   // compare the member table with that of m_instance
    };
    kind m_kind = kind::send;
    ip_endpoint m_to;
    packet m_packet;
    std::string m_instance;
    std::uint64_t m_config_version = 0;
};

// Period during which a member was suspect or dead, in wall-clock milliseconds.
struct loss_episode {
    std::uint64_t m_from_ms = 0;
    std::uint64_t m_until_ms = 0; // 0 while the loss continues
};

// A member's entry with this node's failure detector state for it.
struct tracked_member {
    member m_member;
    std::optional<time_point> m_suspect_since; // unset unless suspect
    std::optional<time_point> m_suspect_until; // dead after this time if m_suspected_locally
    // True if this node's own probe failed, or if it pings the member about a received suspicion. A
    // received suspicion alone never makes a member dead here.
    bool m_suspected_locally = false;
    std::optional<time_point> m_gone_since; // when it became dead or left
    // The latest losses, except those that ended longer ago than the retention time; used to choose
    // registrars of keys.
    std::vector<loss_episode> m_losses;
    bool m_is_tombstone = false;            // past the retention, hidden from queries
    bool m_counted_dead = false;            // counted in membership_table::m_dead
    std::uint32_t m_transmissions_left = 0; // piggyback transmissions still due
    bool m_queued = false;                  // in membership_table::m_update_queue
    // Transmissions of the entry to the other data centres that are still due.
    std::uint32_t m_remote_transmissions_left = 0;
    bool m_in_probe_order = false; // in a member_group
    // Highest configuration version reported under this name, across restarts. A restarted instance
    // requests it, since it must not apply a version below its predecessor's.
    std::uint64_t m_highest_config_version = 0;
    std::uint64_t m_held_version = 0; // highest text held there, as last sent in version_reported
    std::uint32_t m_bucket = 0;       // index in membership_table::m_bucket_hashes
};

// A probe in progress, sent by this node for itself or on behalf of another node.
struct probe {
    std::string m_target;
    std::uint64_t m_sequence = 0;
    time_point m_sent;
    milliseconds m_timeout{0}; // for the direct ack, scaled by the local health at the start
    milliseconds m_limit{0};   // the target is suspected if no ack arrives in this time
    bool m_indirect = false;   // indirect probes were requested
    std::uint32_t m_relays = 0;
    std::uint32_t m_relays_confirmed = 0; // relays that acknowledged the request
    // Set if another node requested this probe by a ping_request; its ack is forwarded there.
    std::optional<ip_endpoint> m_requester_address;
    std::uint64_t m_requester_sequence = 0; // of the ping_request
    std::string m_requester;                // node that requested the probe
};

// A claim in another node's table that a member is dead. This node verifies it with its own ping.
struct death_claim {
    std::string m_instance;
    std::uint64_t m_incarnation = 0;
};

// Live members of one data centre in probe order. Members that are no longer live are removed when
// the round reaches them. Each round is shuffled incrementally.
struct member_group {
    std::vector<std::string> m_order;
    std::size_t m_next = 0; // start of the members that remain in this round
};

// Buckets of member names in the comparison of tables.
constexpr std::size_t member_bucket_count = 64;
// Maximum number of entries, tombstones included. Entries of further unknown members are ignored.
constexpr std::size_t max_members = 65'536;

// State of the membership protocol on one node. Read it through the functions below; not
// thread-safe.
struct membership_table {
    membership_options m_options;
    member m_self;      // announce changes by membership_update_self
    member m_announced; // m_self as last announced
    std::map<std::string, tracked_member, std::less<>> m_members; // without this node
    std::size_t m_live = 0;                                       // alive and suspect members
    std::size_t m_dead = 0;         // dead members that are not tombstones
    time_point m_started;           // m_started_ms is the same moment
    std::uint64_t m_started_ms = 0; // wall-clock milliseconds
    std::map<std::string, member_group, std::less<>> m_groups; // by data centre
    // Grouping by data centre, see membership_groups.hpp. It is outdated after a state change of a
    // member of this node's data centre.
    bool m_grouping_outdated = true;
    bool m_grouped_by_data_centre = false;
    bool m_is_gateway = false;
    std::vector<probe> m_probes;
    std::uint64_t m_next_sequence = 1;
    time_point m_next_probe;
    time_point m_last_tick;
    time_point m_self_changed;        // start, or last change of this node's incarnation
    time_point m_no_death_before;     // no member is declared dead earlier; set after a pause
    std::uint32_t m_local_health = 0; // 0 is healthy; each step lengthens this node's timeouts
    std::uint64_t m_facts_digest = 0; // set by the node when facts change
    std::uint64_t m_held_version = 0; // set by the node: highest version whose text is held
    std::deque<std::string> m_update_queue;      // members with piggyback transmissions due
    std::uint32_t m_self_transmissions_left = 0; // the same for this node's entry
    time_point m_next_gossip;                    // next packet sent only for gossip
    // On a gateway: members whose entries are due for the other data centres, and the time of the
    // next packets.
    std::deque<std::string> m_remote_queue;
    std::uint32_t m_remote_header_packets_left = 0; // packets due for their header only
    time_point m_next_remote_gossip;
    time_point m_next_remote_probe;
    std::string m_unresponsive_data_centre; // a probe of one of its members failed recently
    time_point m_unresponsive_until;
    time_point m_next_comparison; // of tables
    time_point m_next_remote_comparison;
    // Packets still due that are sent only for their header, after a change of this node's held
    // version or facts.
    std::uint32_t m_header_packets_left = 0;
    std::uint64_t m_gossiped_version = 0; // held version that these packets announce
    std::uint64_t m_gossiped_digest = 0;  // facts digest that these packets announce
    // Members whose suspicion or retention is to be checked, by the time of the check.
    std::multimap<time_point, std::string> m_timers;
    std::deque<death_claim> m_death_claims; // to be verified
    time_point m_next_claim_check;
    time_point m_next_dead_ping; // detects a healed partition
    std::string m_dead_cursor;   // name at which the next search continues
    time_point m_next_restart_ping;
    std::string m_restart_cursor;   // the same for recently lost members
    time_point m_next_facts_differ; // earliest time of the next facts_differ
    double m_rumour_tokens = 0;     // member rumours that may be forwarded immediately
    double m_gossip_bytes = 0;      // left for packets sent only for gossip
    double m_remote_bytes = 0;      // left for packets to other data centres
    double m_reply_tokens = 0;      // pings that may be sent in reply to unknown senders
    time_point m_tokens_filled_at;
    std::set<std::uint64_t> m_forwarded_facts;                        // hashes of forwarded facts
    std::deque<std::uint64_t> m_forwarded_facts_order;                // oldest first
    std::array<std::uint64_t, member_bucket_count> m_bucket_hashes{}; // without this node
    random_source m_random{1};
};

// Creates the table of a node that knows only itself. The seed determines all random choices.
membership_table make_membership(const member& self, const membership_options& options,
                                 std::uint64_t seed, time_point now);

// Sends due probes, requests indirect probes, expires suspicions and old entries, and sends gossip.
// Call it at least every 50 ms.
std::vector<membership_action> membership_tick(membership_table& table, time_point now);

// Handles one received packet. from is the source address of the datagram.
std::vector<membership_action> membership_receive(membership_table& table, const packet& received,
                                                  const ip_endpoint& from, time_point now);

// Merges members received in a join reply or a table exchange and returns the changes. If an entry
// lists as dead a member that is live here, it is not accepted but verified by a ping: after a
// partition each side's table lists the whole other side as dead.
std::vector<membership_action> membership_merge(membership_table& table,
                                                std::span<const member> members, time_point now);

// Announces a change of m_self or m_held_version with the next packets, and immediately to the
// fanout if urgent. A change of anything but the versions raises the incarnation, and receivers
// forward the entry; the versions travel only in the header of this node's own packets.
std::vector<membership_action> membership_update_self(membership_table& table, bool urgent,
                                                      time_point now);

// Announces that this instance leaves: sends rumours to the fanout immediately, and includes its
// entry in all later acks.
std::vector<membership_action> membership_leave(membership_table& table, time_point now);

// Sends the given facts in rumour packets to random live members, as many as the fanout, and to one
// member of each other data centre if members are grouped by data centre. Facts that this node has
// already forwarded are skipped.
std::vector<membership_action> membership_spread_facts(membership_table& table,
                                                       std::span<const suspension> suspensions,
                                                       std::span<const move_record> records,
                                                       time_point now);

// Returns the number of alive and suspect members, this node excluded, in constant time.
std::size_t live_member_count(const membership_table& table);

// Returns the alive and suspect members, this node excluded. Iterates over the whole table.
std::vector<const member*> live_members(const membership_table& table);

// Returns the entry of a member, or null if it is unknown or a tombstone.
const tracked_member* find_member(const membership_table& table, std::string_view instance);

// Returns the highest configuration version reported under this name, across its restarts; 0 if
// none.
std::uint64_t highest_version_of(const membership_table& table, std::string_view instance);

// Returns the hash of the live members (this node included) for each bucket, for the periodic
// comparison of tables. It covers names and both start times. It excludes the configuration
// version, which changes too often to justify an exchange, and dead or left members, since their
// retention ends at a different time on each node.
std::vector<std::uint64_t> member_bucket_hashes(const membership_table& table);

// Returns all entries of the given buckets except tombstones, this node included. Iterates over the
// whole table.
std::vector<member> members_in_buckets(const membership_table& table,
                                       std::span<const std::uint32_t> buckets);

} // namespace caraway
