// SWIM-like membership: who is alive, decided from probes among peers. Pure state machine: events
// and the current time in, actions out. The parts, in namespace swim: membership_table (entries),
// membership_merge, membership_packets, membership_packet_size, membership_rumours and
// membership_probes; membership.cpp connects them.
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
#include "base/random.hpp"
#include "config/settings.hpp"
#include "decide/facts.hpp"

namespace caraway {

enum class member_state : std::uint8_t { alive, suspect, dead, left };

// Returns the word for a state in logs and reports.
std::string_view member_state_name(member_state value);

// What every node knows of one instance. For the same incarnation a later state in the order
// alive, suspect, dead, left wins; a higher incarnation wins over any state.
struct member {
    std::string m_instance;
    // Wall-clock milliseconds at process start, so a restarted instance supersedes its predecessor;
    // raised by one to refute a suspicion.
    std::uint64_t m_incarnation = 0;
    // Wall-clock milliseconds at the start of the first process seen under this name; 0 if unknown.
    // Merged as the minimum whatever the incarnations, until the name is forgotten, so that all
    // nodes use the same registrars of keys.
    std::uint64_t m_first_incarnation = 0;
    // Wall-clock milliseconds of the first suspicion of a suspect or dead member, 0 for others.
    // Merged as the minimum, so that a node that joins during a partition learns when it began.
    std::uint64_t m_lost_ms = 0;
    member_state m_state = member_state::alive;
    std::string m_data_centre;
    std::string m_service;
    std::string m_version; // version of the backend server
    ip_endpoint m_traffic;
    ip_endpoint m_udp;
    ip_endpoint m_bulk;
    std::uint64_t m_config_version = 0; // in force there, latest one heard from the instance itself
    bool m_ready = false;               // has applied a configuration and takes calls
    bool m_store_lost = false;          // tries in vain to reach the store
    friend bool operator==(const member&, const member&) = default;
};

enum class packet_kind : std::uint8_t { ping, ack, ping_request, rumour };

// One UDP datagram between nodes. Every packet carries the sender's configuration version and the
// digest of its facts, so that any packet reveals a gap. A relayed ack carries the target's header.
struct packet {
    packet_kind m_kind = packet_kind::ping;
    std::uint64_t m_sequence = 0; // pairs an ack with its ping
    std::string m_sender;
    std::uint64_t m_incarnation = 0;
    // ping_request: the instance to probe. ping: the instance addressed, empty to ask whoever is
    // there for its entry. ack: the instance whose ping or ping_request is answered.
    std::string m_target;
    std::uint64_t m_config_version = 0; // in force at the sender
    // Highest version whose text the sender holds. Above m_config_version while the text waits for
    // replicas; receivers fetch it there and count it as a replica, but not as in force.
    std::uint64_t m_held_version = 0;
    std::uint64_t m_facts_digest = 0;
    std::vector<member> m_updates;
    std::vector<suspension> m_suspensions;
    std::vector<move_record> m_records;
};

// Upper bound of the encoded size of a packet in bytes, from the lengths of its fields.
std::size_t estimated_packet_bytes(const packet& value);

// Largest encoded packet in bytes; below the usual 1,280-byte path limit, so never fragmented.
constexpr std::size_t max_packet_bytes = 1200;

// Timing of the probes; taken from the node's settings.
struct membership_options {
    milliseconds m_probe_interval{1'000};
    milliseconds m_probe_timeout{300};
    std::uint32_t m_indirect_probes = 3;
    std::uint32_t m_rumour_fanout = 4;
    // Dead and left members are forgotten after this. Not shorter than the retention of results,
    // since dead members still count as registrars of keys.
    milliseconds m_dead_retention{600'000};
    // The same for dead members while a tenth of the table is dead, as in a partition: regions lose
    // connectivity for an hour now and then, and a side that forgot the other one would count its
    // own members as the registrars of all keys.
    milliseconds m_mass_loss_retention{7'200'000};
    // A forgotten member's name and address are kept out of sight for this long: its old entries
    // are not learnt again from nodes that forget later, and a dead one is still pinged now and
    // then, so that the halves of a long partition find each other again.
    milliseconds m_tombstone_retention{7'200'000};
    // For this long after the start tables are compared twice a second; 0: as later.
    milliseconds m_initial_comparison_time{0};
};

// What the adapter has to do after an event.
struct membership_action {
    enum class kind : std::uint8_t {
        send,             // send m_packet to m_to
        member_changed,   // the table changed for m_instance
        version_reported, // m_instance holds the text of configuration version m_config_version
        facts_differ,     // m_instance holds other facts; fetch them. At most one per second
        facts_received,   // m_packet carries suspensions or records new to this node
        compare_tables,   // compare the member table with that of m_instance
    };
    kind m_kind = kind::send;
    ip_endpoint m_to;
    packet m_packet;
    std::string m_instance;
    std::uint64_t m_config_version = 0;
};

// A time in which a member was suspected or dead, in wall-clock milliseconds.
struct loss_episode {
    std::uint64_t m_from_ms = 0;
    std::uint64_t m_until_ms = 0; // 0: still lost
};

// A member with the bookkeeping of the failure detector.
struct tracked_member {
    member m_member;
    std::optional<time_point> m_suspect_since;
    std::optional<time_point> m_suspect_until; // declared dead then, if accused by this node
    // This node's own probe failed. Hearsay alone never makes a member dead here.
    bool m_suspected_locally = false;
    std::optional<time_point> m_gone_since; // when it became dead or left
    // The latest losses, those that ended within the retention time; for the registrars of keys.
    std::vector<loss_episode> m_losses;
    bool m_is_tombstone = false;            // past the retention: kept only out of sight
    bool m_counted_dead = false;            // in membership_table::m_dead
    std::uint32_t m_transmissions_left = 0; // piggyback transmissions still owed
    bool m_queued = false;                  // in membership_table::m_update_queue
    // Rounds of packets to the other data centres that the entry is still owed.
    std::uint32_t m_remote_transmissions_left = 0;
    bool m_in_probe_order = false;
    // Highest configuration version heard from this name, across restarts. A restarted instance
    // asks for it, since it must not apply a version below its predecessor's.
    std::uint64_t m_highest_config_version = 0;
    std::uint64_t m_held_version = 0; // text held there, last reported by version_reported
    std::uint32_t m_bucket = 0;
};

// A probe under way.
struct probe {
    std::string m_target;
    std::uint64_t m_sequence = 0;
    time_point m_sent;
    milliseconds m_timeout{0}; // of the direct ack, with the local health when it was sent
    milliseconds m_limit{0};   // without any ack by then the target is suspected
    bool m_indirect = false;   // indirect probes were asked for
    std::uint32_t m_relays = 0;
    std::uint32_t m_relays_confirmed = 0; // relays that answered the request
    std::optional<ip_endpoint> m_relay;   // probing for another node: where the ack goes
    std::uint64_t m_relay_sequence = 0;
    std::string m_relay_instance; // the node that asked
};

// A claim by another node's table that a member is dead, which this node checks by itself.
struct death_claim {
    std::string m_instance;
    std::uint64_t m_incarnation = 0;
};

// Live members of one data centre, in the order of probes; gone ones are dropped when they are met.
// Each round is shuffled step by step.
struct member_group {
    std::vector<std::string> m_order;
    std::size_t m_next = 0;
};

constexpr std::size_t member_bucket_count = 64;
// Entries of members kept, forgotten ones included; further unknown members are ignored.
constexpr std::size_t max_members = 65'536;

struct membership_table {
    membership_options m_options;
    member m_self;      // change it through membership_update_self
    member m_announced; // m_self as last announced
    std::map<std::string, tracked_member, std::less<>> m_members; // without self
    std::size_t m_live = 0;                                       // alive and suspect ones
    std::size_t m_dead = 0;                                       // dead and not forgotten
    time_point m_started;                                         // with the wall clock's time
    std::uint64_t m_started_ms = 0;                               // of the same moment
    std::map<std::string, member_group, std::less<>> m_groups;    // by data centre
    // See membership_groups; worked out anew after a change of the own data centre's members.
    bool m_group_outdated = true;
    bool m_grouped_by_data_centre = false;
    bool m_is_gateway = false;
    std::vector<probe> m_probes;
    std::uint64_t m_next_sequence = 1;
    time_point m_next_probe;
    time_point m_last_tick;
    time_point m_self_changed;                   // start, or last change of the own incarnation
    time_point m_no_death_before;                // after a pause of this process
    std::uint32_t m_local_health = 0;            // 0 healthy; each step lengthens the own timeouts
    std::uint64_t m_facts_digest = 0;            // set by the adapter when facts change
    std::uint64_t m_held_version = 0;            // set by the adapter: highest text held
    std::deque<std::string> m_update_queue;      // members with piggyback transmissions owed
    std::uint32_t m_self_transmissions_left = 0; // the same for the own entry
    time_point m_next_gossip;                    // of queued updates, between the probes
    // As carrier: own members whose entries go to the other data centres, and when.
    std::deque<std::string> m_remote_queue;
    std::uint32_t m_remote_header_packets_left = 0; // packets owed for their header only
    time_point m_next_remote_gossip;
    time_point m_next_remote_probe;
    std::string m_unresponsive_data_centre; // a probe of one of its members failed lately
    time_point m_unresponsive_until;
    time_point m_next_comparison; // of tables
    time_point m_next_remote_comparison;
    // After a change of the own held version or facts, some packets are sent for their header only.
    std::uint32_t m_header_packets_left = 0;
    std::uint64_t m_gossiped_version = 0;
    std::uint64_t m_gossiped_digest = 0;
    std::multimap<time_point, std::string> m_timers; // suspicions and retentions to look at
    std::deque<death_claim> m_death_claims;          // to be checked
    time_point m_next_claim_check;
    time_point m_next_dead_ping; // of a dead member, in case a partition healed
    std::string m_dead_cursor;
    time_point m_next_restart_ping;
    std::string m_restart_cursor;
    time_point m_next_facts_differ;
    double m_rumour_tokens = 0; // member rumours that may be forwarded at once
    double m_gossip_bytes = 0;  // that gossip between the probes may still use
    double m_remote_bytes = 0;  // the same for packets to other data centres
    double m_reply_tokens = 0;  // unasked pings that may be sent
    time_point m_tokens_filled;
    std::set<std::uint64_t> m_forwarded_facts; // hashes of the facts already forwarded
    std::deque<std::uint64_t> m_forwarded_facts_order;
    std::array<std::uint64_t, member_bucket_count> m_bucket_hashes{}; // without self
    random_source m_random{1};
};

// Creates the table of a node that knows only itself.
membership_table make_membership(const member& self, const membership_options& options,
                                 std::uint64_t seed, time_point now);

// Sends due probes, asks for indirect ones, and expires suspicions and old entries. Call it at
// least every 50 ms.
std::vector<membership_action> membership_tick(membership_table& table, time_point now);

// Handles one received packet. from is the address it came from.
std::vector<membership_action> membership_receive(membership_table& table, const packet& received,
                                                  const ip_endpoint& from, time_point now);

// Merges members learnt from a join reply or a table exchange; returns what changed. A claim that a
// member held as live here is dead is not believed but checked by a ping: after a partition each
// side's table holds the whole other side as dead.
std::vector<membership_action> membership_merge(membership_table& table,
                                                std::span<const member> members, time_point now);

// Announces a change of m_self or m_held_version with the next packets, and at once to the fanout
// when urgent. A change of anything but the versions raises the incarnation and is passed on by the
// receivers; the versions travel in the header of this node's own packets only.
std::vector<membership_action> membership_update_self(membership_table& table, bool urgent,
                                                      time_point now);

// Announces that this instance leaves: rumours to the fanout at once, and acks say so from now on.
std::vector<membership_action> membership_leave(membership_table& table, time_point now);

// Builds rumour packets with the given facts, addressed to fanout random live members.
std::vector<membership_action> membership_spread_facts(membership_table& table,
                                                       std::span<const suspension> suspensions,
                                                       std::span<const move_record> records,
                                                       time_point now);

// Number of members considered reachable (alive or suspect), self excluded; constant time.
std::size_t live_member_count(const membership_table& table);

// Members considered reachable (alive or suspect), self excluded. Walks the whole table.
std::vector<const member*> live_members(const membership_table& table);

// The entry of a member that is not forgotten, or null.
const tracked_member* find_member(const membership_table& table, std::string_view instance);

// The highest configuration version heard from this name, across its restarts; 0 if none.
std::uint64_t highest_version_of(const membership_table& table, std::string_view instance);

// Hash per bucket of the live members (self included), for the periodic comparison of tables.
// Covers names and both start times. Leaves out the configuration version, which changes too often
// to be worth an exchange, and gone members, which each node forgets at another moment.
std::vector<std::uint64_t> member_bucket_hashes(const membership_table& table);

// All entries of the given buckets that are not forgotten, self included. Walks the whole table.
std::vector<member> members_in_buckets(const membership_table& table,
                                       std::span<const std::uint32_t> buckets);

} // namespace caraway
