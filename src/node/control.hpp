// The control state of a node and the parts that act on it. Everything here runs on the control
// thread; the decisions are those of src/decide, this folder carries them out.
#pragma once

#include <functional>
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
#include "config/adapter.hpp"
#include "config/settings.hpp"
#include "decide/acceptance.hpp"
#include "decide/distribution.hpp"
#include "decide/entry_points.hpp"
#include "decide/facts.hpp"
#include "decide/lease.hpp"
#include "decide/membership.hpp"
#include "decide/version_move.hpp"
#include "node/snapshot_builder.hpp"
#include "observe/metrics.hpp"
#include "peer/transport.hpp"
#include "peer/wire.hpp"
#include "store/store_client.hpp"
#include "traffic/snapshot.hpp"
#include "traffic/traffic.hpp"

namespace caraway {

struct admin_answer;
struct admin_request;

// Store keys.
constexpr std::string_view text_store_key = "caraway/text";
// The submitted text's difference from an accepted text. Begins with text_store_key, so that one
// watch or list of keys covers both.
constexpr std::string_view text_delta_store_key = "caraway/text-delta";
constexpr std::string_view state_prefix = "caraway/state/";
constexpr std::string_view accepted_key = "caraway/state/accepted";
constexpr std::string_view refused_key = "caraway/state/refused";
constexpr std::string_view entry_point_prefix = "caraway/entry/";

// Readers read the whole prefix this often, since a watch can miss events; the accepter likewise.
constexpr milliseconds list_interval{10'000};
// Pause after a failed store call of a role.
constexpr milliseconds store_retry_pause{500};

// Members that try for a lease: more than one, so that the role survives a dead first candidate;
// few, so that attempts don't grow with the fleet.
constexpr std::size_t lease_candidates = 3;

// A lease that this node may hold, with its call under way.
struct lease_role {
    lease_keeper m_keeper;
    bool m_call_pending = false;
    bool m_was_held = false;
    bool m_candidate = false;
    time_point m_next_check;
};

// One of the two readers of a data centre: watches the accepted state and is an entry point.
struct reader_role {
    lease_role m_lease;
    std::string m_entry_key;
    bool m_active = false;       // the entry is written and the watch loop runs
    bool m_call_pending = false; // a store call of the loop is under way
    bool m_listed = false;       // the whole prefix was read since the lease was won
    std::uint64_t m_watch_revision = 0;
    time_point m_next_list; // the prefix is read again now and then, since watches miss events
    time_point m_retry_at;
};

// Reads of the operators' items where no accepter stands between.
struct operator_watch {
    bool m_store_reachable = false; // the store answered the last call
    bool m_candidate = false;       // one of those that watch
    time_point m_next_check;
    time_point m_store_lost_since;
    std::uint32_t m_failures = 0; // since the last answer
    bool m_call_pending = false;
    bool m_listed = false; // all items were read, and m_watch_revision is known
    std::uint64_t m_watch_revision = 0;
    std::uint64_t m_latest_deletion_revision = 0; // revision of the latest deletion seen
    std::map<std::string, store_entry> m_items;   // by key
    time_point m_start_at;
    time_point m_behind_since; // a newer text than the one held is known since then
    time_point m_retry_at;
    time_point m_next_list;
    bool m_entry_written = false;              // the slot in the store names somebody
    std::optional<time_point> m_slot_check_at; // the free slot is looked at again then
    std::vector<std::string> m_unknown_slots;  // that the last discovery found to name nobody known
    bool m_records_read = false;
    bool m_records_call_pending = false;
    time_point m_records_retry_at;
};

// The accepter: judges submitted texts.
struct accepter_role {
    lease_role m_lease;
    bool m_call_pending = false;
    bool m_active = false;
    std::uint64_t m_text_revision = 0; // of the text judged last, whatever became of it
    std::uint64_t m_refused_revision = 0;
    std::uint64_t m_latest_text_revision =
        0; // highest revision of the text seen, and when it was first seen
    time_point m_latest_text_seen_at;
    std::uint64_t m_unusable_delta_revision = 0; // revision of a submitted delta of an older text
    std::uint64_t m_listed_revision = 0; // highest revision of the submitted keys when last listed
    std::optional<accepted_record> m_accepted;
    std::uint64_t m_accepted_revision = 0;
    std::shared_ptr<const mesh> m_accepted_mesh;
    std::shared_ptr<const std::string> m_accepted_text; // of m_accepted_mesh
    std::uint64_t m_accepted_text_version = 0;
    std::shared_ptr<const std::string> m_written_text; // last one written by this accepter
    bool m_accepted_read = false;
    time_point m_retry_at;
};

// The holder of the move of this node's service.
struct move_role {
    std::optional<lease_role> m_lease; // while the mesh has a move of the own service
    std::string m_move_id;
    time_point m_first_seen_at; // when the move was first seen in the text
    bool m_call_pending = false;
    bool m_holds_record = false;   // the record names this node
    bool m_record_current = false; // the record was read since the lease was won
    std::optional<move_record> m_record;
    move_evidence m_evidence;               // holder: evidence of all instances
    move_evidence m_local_evidence;         // backend side: own server only
    std::vector<evidence_report> m_reports; // received since the last step
    // Sum of the old version's reports of the last interval: as holder, and as told by the holder.
    evidence_report m_old_version_sum;
    evidence_report m_received_old_version_sum;
    std::uint32_t m_local_stage = 0;    // stage that m_local_evidence belongs to
    std::uint32_t m_evidence_stage = 0; // stage that m_evidence belongs to
    std::set<std::string> m_verdicts_written;
    time_point m_next_step;
    time_point m_retry_at;
};

// Collects which members run a version.
struct collector_state {
    std::uint64_t m_reported_version = 0; // complete report sent for this node's shards
    // Global collector: summaries of the version being gathered, by data centre and shard.
    std::uint64_t m_collecting_version = 0;
    time_point m_collecting_since;
    std::map<std::pair<std::string, std::uint32_t>, in_force_request> m_summaries;
    std::uint64_t m_verdict_version = 0; // verdict written
    time_point m_next_report;
};

// Progress of joining the mesh after start.
struct join_state {
    bool m_store_call_pending = false;
    bool m_no_member_found = false;          // the store named no member to ask, and none was known
    std::vector<entry_point> m_entry_points; // that the store named last
    time_point m_entry_points_listed_at;     // when it did
    bool m_mesh_first_start = false;         // it named hardly anybody at first
    time_point m_next_discovery;             // when a watcher looks for members unknown here
    std::set<std::string> m_pending;         // formatted addresses asked and not answered
    time_point m_first_attempt;
    time_point m_next_attempt;
    std::uint32_t m_failures = 0;
    bool m_complete = false; // a member answered, and no sign of members unknown here since
};

// A process that was paused routes by an old view until it has heard from others.
struct resync_state {
    time_point m_last_tick;
    std::optional<time_point> m_refuse_until; // set while traffic is refused; gives up then
    bool m_peer_synced = false;               // a member's facts and text were received
};

struct control {
    control(boost::asio::io_context& context, node_settings settings, adapter platform_adapter,
            const clock_source& clock, std::uint64_t seed);

    boost::asio::io_context& m_context;
    node_settings m_settings;
    adapter m_adapter;
    const clock_source& m_clock;
    random_source m_random;
    std::unique_ptr<node_metrics> m_metrics;
    std::map<ip_endpoint, bool> m_address_is_local; // UDP and bulk addresses of members

    membership_table m_members;
    distribution_state m_distribution;
    fact_table m_facts;
    std::shared_ptr<const mesh> m_mesh;                                    // in force here
    std::map<std::uint64_t, std::shared_ptr<const mesh>> m_parsed_configs; // held, not yet in force
    // The latest text as packed for others, by the version that they hold; 0: whole. Most members
    // fetch a new text from the few that had it first, and hold the same version.
    std::map<std::uint64_t, packed_text> m_packed_texts;
    std::uint64_t m_packed_version = 0;
    counter_map m_counters;
    snapshot_cell m_snapshot;
    bool m_snapshot_dirty = true;
    bool m_leaving = false;  // the leave is announced; roles are given up
    bool m_draining = false; // new work is refused, some time after the announcement
    std::optional<time_point> m_data_centre_out_since;

    // The latest text stored whole that this node has read or written as reader or accepter, as the
    // base of deltas. Kept besides m_distribution, which may have skipped that version.
    std::optional<config_text> m_whole_text;
    std::vector<std::unique_ptr<reader_role>> m_readers;
    operator_watch m_operator;
    own_server m_own_server;
    own_server_view m_own_view; // as the traffic side knows it
    accepter_role m_accepter;
    move_role m_move;
    collector_state m_collector;
    join_state m_join;
    resync_state m_resync;
    std::set<std::string> m_facts_fetching;
    std::uint64_t m_joins_in_second = 0;
    time_point m_join_second;
    time_point m_next_evidence;
    time_point m_next_gauges;
    time_point m_next_byte_log;

    std::unique_ptr<datagram_socket> m_udp;
    std::unique_ptr<bulk_transport> m_bulk;
    std::unique_ptr<store_client> m_store;
    std::unique_ptr<traffic_server> m_traffic; // last: its threads call into the members above

    time_point now() const { return m_clock.now(); }
    // True where the store itself accepts configurations, so that no accepter or reader is needed.
    bool reads_operator_items() const { return !m_adapter.m_operator_prefix.empty(); }
};

// gossip.cpp: membership and facts.

// Carries out membership actions.
void perform(control& state, std::span<const membership_action> actions);
// Handles one datagram.
void receive_datagram(control& state, const ip_endpoint& from, std::string_view bytes);
// Computes the reply to a bulk request.
std::string serve_bulk(control& state, std::string_view request);
// Sends a bulk request; the callback gets nothing when it failed or the reply was refused.
void send_bulk(control& state, const ip_endpoint& to, const bulk_request& request,
               std::function<void(std::optional<bulk_reply>)> done);
// Drives the membership.
void tick_gossip(control& state, time_point now);
// All facts known here.
facts_message collect_facts(const control& state);
// Exchanges facts with a member, after which both sides have the same; done is called on success.
void exchange_facts(control& state, const std::string& instance, std::function<void()> done);
// Adds facts, spreads what is new, and marks the snapshot for rebuilding.
void merge_facts(control& state, std::span<const suspension> suspensions,
                 std::span<const move_record> records, bool spread);
// True if this node is among the first candidates of a role by rendezvous hash of its name, among
// the live members that satisfy the filter.
bool is_candidate(const control& state, std::string_view role, std::size_t candidates,
                  const std::function<bool(const member&)>& filter);

// join.cpp: the way into the mesh.

// Joins through entry points, known members or seeds until a member has answered.
void tick_join(control& state, time_point now);
// Joins with one address (also used by readers to reunite the parts of a healed mesh).
void join_through(control& state, const ip_endpoint& address);
// Answers another node's request to join.
join_reply serve_join(control& state, const join_request& request);

// resync.cpp: the way back after a pause.

// Notices a pause of this process, and keeps traffic refused until a member told what changed
// meanwhile. Else tells the traffic side that the snapshot is current.
void tick_resync(control& state, time_point now);

// config_sync.cpp: the configuration.

void perform(control& state, std::span<const distribution_action> actions);
// Heard that an instance holds a version.
void handle_peer_version(control& state, std::string_view instance, std::uint64_t version);
// The texts to answer a fetch with.
std::optional<packed_text> pack_text_for(control& state, std::uint64_t have_version,
                                         std::uint64_t want_version);
// Takes a text received from a peer.
void receive_text(control& state, std::string_view instance, const packed_text& packed);
void tick_config(control& state, time_point now);
// Rebuilds the routing snapshot when something changed.
void refresh_snapshot(control& state);

// operator_watch.cpp: the operators' items.

// Names a member in a slot of the own data centre, for those that join.
void write_entry_point(control& state, const std::string& slot, const ip_endpoint& address);
// Keeps the items read and watched, and names this node to those that join.
void tick_operator_watch(control& state, time_point now);
// The text that holds all items, and the items of such a text; nothing when it is malformed.
std::string encode_items(std::span<const store_entry> items);
std::optional<std::vector<store_entry>> decode_items(std::string_view text);

// server_reports.cpp: the backend server beside this node.

// What the traffic side has to know of the own server now.
own_server_view make_own_server_view(const control& state);
// Brings the snapshot and the members up to date with the own server's state.
void refresh_own_server(control& state);
// Connections to the own server failed: no calls for it until it reports again.
void mark_server_unreachable(control& state, const std::string& server);
// Answers a report of the own server.
admin_answer answer_server_request(control& state, const admin_request& request);

// admin_pages.cpp: what the admin address answers.

// Metrics, health (the process runs), readiness (takes new work) and status as JSON; 404 for any
// other path.
admin_answer answer_admin_request(const control& state, std::string_view path);

// store_roles.cpp: leases and readers.

// Takes over the accepted record: reads its text unless the version is known already.
void adopt_accepted_record(control& state, const accepted_record& record);
// Makes the next store call of a lease, if one is due.
void run_lease(control& state, lease_role& role, bool wanted);
// Whether this node is a candidate for a role's lease among the members that satisfy the filter;
// remembered for a second, since working it out walks the member table.
bool refresh_candidate(control& state, lease_role& role, time_point now,
                       const std::function<bool(const member&)>& filter);
void tick_store_roles(control& state, time_point now);
// Ends all leases before exit.
void release_leases(control& state);

// accepter.cpp: the accepter.

void tick_accepter(control& state, time_point now);

// stored_text.cpp: accepted texts in the store.

// Told of a text read from the store: none with the text, else the kind of failure.
using text_callback = std::function<void(error_kind, std::shared_ptr<const std::string>)>;

// The text of an accepted version if this node holds it, else null.
std::shared_ptr<const std::string> find_text(const control& state, std::uint64_t version);
// Reads the text of an accepted record: from its delta if the base is held here, else with the
// stored whole text. At most two calls of the store, however far this node is behind.
void read_stored_text(control& state, const accepted_record& record, text_callback done);

// move_control.cpp: the move of the own service.

void tick_move(control& state, time_point now);
void receive_evidence(control& state, const evidence_report& report);

// in_force.cpp: the in-force verdict.

void tick_in_force(control& state, time_point now);
void receive_in_force(control& state, const in_force_request& summary);
// Tells the collector of this node's shard that a version is in force here.
void announce_in_force(control& state);

} // namespace caraway
