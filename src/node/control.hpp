// The control state of a node and the functions that operate on it. All of them run on the control
// thread. They perform the I/O; the decisions are made by the pure functions in src/decide.
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
#include "config/settings.hpp"
#include "decide/configuration/acceptance.hpp"
#include "decide/configuration/distribution.hpp"
#include "decide/configuration/hedged_read.hpp"
#include "decide/configuration/kept_items.hpp"
#include "decide/leases/lease.hpp"
#include "decide/membership/entry_points.hpp"
#include "decide/membership/membership.hpp"
#include "decide/versions/facts.hpp"
#include "decide/versions/version_move.hpp"
#include "node/adapter.hpp"
#include "node/snapshot_builder.hpp"
#include "observe/metrics.hpp"
#include "observe/text_progress.hpp"
#include "peer/transport.hpp"
#include "peer/wire.hpp"
#include "store/store_client.hpp"
#include "traffic/snapshot.hpp"
#include "traffic/traffic.hpp"

namespace caraway {

struct admin_answer;
struct admin_request;

// Store keys.
constexpr std::string_view submitted_text_key = "caraway/text";
// Key of the submitted text as a delta against an accepted text. It begins with submitted_text_key,
// so that a single watch or list of keys covers both.
constexpr std::string_view submitted_delta_key = "caraway/text-delta";
constexpr std::string_view state_prefix = "caraway/state/";
constexpr std::string_view accepted_key = "caraway/state/accepted";
constexpr std::string_view refused_key = "caraway/state/refused";
constexpr std::string_view entry_point_prefix = "caraway/entry/";

// Readers and the accepter read their keys again at this interval, since watches can miss events.
constexpr milliseconds list_interval{10'000};
// How long the store may hold a watch open. It is short because a watch whose reply was lost in an
// outage of the store misses changes until its time is over.
constexpr milliseconds store_watch_wait{1'500};
// Pause after a failed store call of a role.
constexpr milliseconds store_retry_pause{500};

// Number of members that compete for a lease. More than one, so that the role survives the failure
// of the first candidate; few, so that the number of attempts doesn't grow with the fleet.
constexpr std::size_t lease_candidates = 3;

// A lease that this node may hold, and the state of its store calls.
struct lease_role {
    lease_keeper m_keeper;
    // Key of the fence of the current claim, with a random part; empty where the store has none.
    std::string m_fence_key;
    std::uint64_t m_era = 0; // the store's era as last told to the keeper
    bool m_call_pending = false;
    bool m_logged_as_held = false; // whether the last log line reported it as held
    bool m_candidate = false;      // result of the last candidate check
    time_point m_next_check;       // when m_candidate is computed again
};

// One of the two readers of a data centre. A reader watches the accepted state in the store and
// registers its node as an entry point.
struct reader_role {
    lease_role m_lease;
    std::string m_entry_key;
    bool m_active = false;       // the entry point is written and the watch loop runs
    bool m_call_pending = false; // a store call of the watch loop is pending
    bool m_listed = false;       // the whole prefix was read since the lease was acquired
    std::uint64_t m_watch_revision = 0;
    time_point m_next_list; // when the prefix is listed again, since watches can miss events
    time_point m_retry_at;
};

// State of watching the operators' items (configuration and move orders) in a store that validates
// them itself, without an accepter. Also holds the state of this node's entry point there.
struct operator_watch {
    bool m_store_reachable = false; // the last store call was answered
    bool m_is_watcher = false;      // this node is one of the members that watch the store
    time_point m_next_check;
    time_point m_store_lost_since;
    std::uint32_t m_failures = 0; // failed store calls since the last successful one
    hedged_reads m_reads;         // lists and watches of the items
    bool m_listed = false;        // all items were read, and m_watch_revision is valid
    std::uint64_t m_watch_revision = 0;
    std::uint64_t m_latest_deletion_revision = 0;
    std::map<std::string, store_entry> m_items; // by key
    // When this node begins to use the store; random, to spread the calls of a fleet.
    time_point m_start_at;
    time_point m_behind_since; // since when this node waits for a newer text that it knows of
    time_point m_retry_at;
    time_point m_next_list;
    bool m_entry_written = false;              // the store has an entry point in this node's slot
    std::optional<time_point> m_slot_check_at; // when this node's slot, if free, is checked
    // Entry point slots that did not hold a known member's address at the last discovery.
    std::vector<std::string> m_unknown_slots;
    std::uint64_t m_logged_era = 0; // the store's era as last logged
    bool m_records_read = false;    // the records of moves were read from the store
    time_point m_records_retry_at;  // when they are read again if no reply has arrived by then
};

// The markers that date a copy from which the store may be restored.
struct copy_marker_role {
    bool m_is_writer = false;             // this node writes the markers
    bool m_write_pending = false;         // a marker's call is pending
    std::uint64_t m_followed_version = 0; // latest change that a marker of this node follows
    time_point m_retry_at;
    std::uint64_t m_evidence_era = 0;        // era for which the markers were read, 0 if none
    std::uint64_t m_copy_complete_until = 0; // what they say of that era's copy
    time_point m_read_retry_at;
};

// The accepter: validates submitted texts and writes the accepted state.
struct accepter_role {
    lease_role m_lease;
    bool m_call_pending = false;
    bool m_active = false;
    std::uint64_t m_text_revision = 0;        // of the last text validated, accepted or not
    std::uint64_t m_refused_revision = 0;     // of the last text refused
    std::uint64_t m_latest_text_revision = 0; // highest revision of a submitted text seen
    time_point m_latest_text_seen_at;         // when that revision was first seen
    // Revision of the last submitted delta that is malformed or doesn't belong to the submitted
    // text.
    std::uint64_t m_unusable_delta_revision = 0;
    std::uint64_t m_listed_revision = 0; // highest revision of the submitted keys when last listed
    std::optional<accepted_record> m_accepted;
    std::uint64_t m_accepted_revision = 0;
    std::shared_ptr<const mesh> m_accepted_mesh;
    std::shared_ptr<const std::string> m_accepted_text; // source text of m_accepted_mesh
    std::uint64_t m_accepted_text_version = 0;
    std::shared_ptr<const std::string> m_written_text; // the last text this accepter wrote
    bool m_accepted_read = false;                      // m_accepted and its text are current
    time_point m_next_accepted_read;                   // when they are read again at the latest
    time_point m_retry_at;
};

// State of the version move of this node's service. The holder of the move's lease advances it.
struct move_role {
    std::optional<lease_role> m_lease; // empty until the first move of the own service is seen
    std::string m_move_id;
    time_point m_first_seen_at; // when the move first appeared in the text
    bool m_call_pending = false;
    bool m_holds_record = false;   // the move record names this node as the holder
    bool m_record_current = false; // the record was read since the lease was acquired
    std::optional<move_record> m_record;
    // Version of the store's record, which is older than m_record if a restoration has lost that.
    std::uint64_t m_stored_version = 0;
    std::uint64_t m_era = 0;                // the store's era when the state above was valid
    store_fence m_fence;                    // of the lease's current claim, as read from the store
    move_evidence m_evidence;               // lease candidates: evidence of all instances
    move_evidence m_local_evidence;         // own server's calls compared with the old version's
    std::vector<evidence_report> m_reports; // received since the last evaluation
    // Sum of the old version's reports of the last interval: as computed here from the reports that
    // this node received, and as last received from a lease candidate.
    evidence_report m_old_version_sum;
    evidence_report m_received_old_version_sum;
    std::uint32_t m_local_stage = 0;    // stage that m_local_evidence belongs to
    std::uint32_t m_evidence_stage = 0; // stage that m_evidence belongs to
    std::set<std::string> m_verdicts_written;
    time_point m_next_step;
    time_point m_retry_at;
};

// State of counting the members on which a configuration version is in force.
struct collector_state {
    std::uint64_t m_reported_version = 0; // last version in force at all members of the own shards
    // Global collector: summaries of the version being collected, by data centre and shard.
    std::uint64_t m_collecting_version = 0;
    time_point m_collecting_since;
    std::map<std::pair<std::string, std::uint32_t>, in_force_summary> m_summaries;
    std::uint64_t m_verdict_version = 0; // last version whose verdict was written
    time_point m_next_report;
};

// Progress of joining the mesh after the start.
struct join_state {
    bool m_store_call_pending = false;
    bool m_no_member_found = false; // the store had no entry point, and no other target was known
    std::vector<entry_point> m_entry_points; // from the last list of the store
    time_point m_entry_points_listed_at;
    bool m_mesh_first_start = false; // the first list was nearly empty: the whole mesh starts
    // The store's era for which a watching member has written lost entry points again.
    std::uint64_t m_filled_era = 0;
    bool m_fill_missing_slots = false; // the next discovery does
    time_point m_next_discovery;       // when a watching member next looks for unknown members
    std::set<std::string> m_pending;   // formatted addresses with an outstanding join request
    time_point m_first_attempt;
    time_point m_next_attempt;
    std::uint32_t m_failures = 0;
    bool m_complete = false; // a member answered; reset if an unknown instance holds a reader lease
};

// Called with true once the store holds a departure, or with false if it could not be written.
using departure_callback = std::function<void(bool stored)>;

// A departure that is being written to the store, and who waits for it.
struct pending_departure {
    server_departure m_departure;
    std::vector<departure_callback> m_waiting;
};

// A departure that the store holds.
struct stored_departure {
    server_departure m_departure;
    time_point m_stored_at;
};

// Departures of the servers beside this node: those that it has acknowledged, and what it knows of
// those that its predecessors have.
struct departure_role {
    std::vector<pending_departure> m_pending;
    std::vector<stored_departure> m_stored;
    std::uint64_t m_era = 0;               // the store's era when they were written
    std::uint64_t m_start_incarnation = 0; // incarnation of this process's first entry
    predecessor_knowledge m_predecessors;
    bool m_known = false; // until then the own server gets no calls
    bool m_read_pending = false;
    std::optional<time_point> m_read_at; // when the store is asked next
};

// Recovery after a pause of the process: its view of the mesh is outdated, so it refuses traffic
// until it has synchronised with a member.
struct resync_state {
    time_point m_last_tick;
    std::optional<time_point> m_refuse_until; // if set, traffic is refused at most until then
    bool m_peer_synced = false;               // a member's facts and text were received
};

// The control state of a node, owned by the control thread.
struct control {
    control(boost::asio::io_context& context, node_settings settings, adapter platform_adapter,
            const clock_source& clock, std::uint64_t seed);

    boost::asio::io_context& m_context;
    node_settings m_settings;
    adapter m_adapter;
    const clock_source& m_clock;
    random_source m_random;
    std::unique_ptr<node_metrics> m_metrics;
    // UDP and bulk addresses of members; true if the member is in the own data centre.
    std::map<ip_endpoint, bool> m_address_is_local;

    membership_table m_members;
    distribution_state m_distribution;
    fact_table m_facts;
    text_progress m_text_progress; // of the versions on their way into force
    kept_item_state m_kept_items;  // in force though the store, restored from a copy, may lack them
    std::shared_ptr<const mesh> m_mesh; // in force on this node
    // The operators' item with the last configuration that was valid. It applies while that of a
    // later text is invalid.
    std::optional<store_entry> m_usable_configuration;
    // Configurations that this node has parsed but that are not yet in force here, by version.
    std::map<std::uint64_t, std::shared_ptr<const mesh>> m_parsed_configs;
    // Cache of the latest text, packed for peers by the version they hold; 0 means the full text.
    // Most members fetch a new text from the few that had it first, and hold the same version.
    std::map<std::uint64_t, packed_text> m_packed_texts;
    std::uint64_t m_packed_version = 0; // version of the text in m_packed_texts
    counter_map m_counters;
    snapshot_cell m_snapshot;
    bool m_snapshot_dirty = true;
    bool m_leaving = false;  // the leave is announced and roles are released
    bool m_draining = false; // new work is refused; set some time after m_leaving
    std::optional<time_point> m_data_centre_out_since;

    // The latest text stored in full that this node read or wrote as a reader or accepter. It is
    // the base of deltas, and is kept apart from m_distribution, which may have skipped that
    // version.
    std::optional<config_text> m_full_text;
    std::vector<std::unique_ptr<reader_role>> m_readers;
    operator_watch m_operator;
    copy_marker_role m_copy_marker;
    own_server m_own_server;
    own_server_view m_own_view; // as last published to the traffic threads
    departure_role m_departures;
    accepter_role m_accepter;
    move_role m_move;
    collector_state m_collector;
    join_state m_join;
    resync_state m_resync;
    std::set<std::string> m_facts_fetching; // members with an outstanding exchange of facts
    std::uint64_t m_joins_in_second = 0;    // join requests since m_join_second
    time_point m_join_second;               // start of the current one-second window
    time_point m_next_evidence;
    time_point m_next_gauges;
    time_point m_next_byte_log;

    std::unique_ptr<datagram_socket> m_udp;
    std::unique_ptr<bulk_transport> m_bulk;
    std::unique_ptr<store_client> m_store;
    std::unique_ptr<traffic_server> m_traffic; // declared last: its threads use the members above

    time_point now() const { return m_clock.now(); }
    // Returns true if the store itself accepts configurations, so that no accepter or reader is
    // needed.
    bool reads_operator_items() const { return !m_adapter.m_operator_key_prefix.empty(); }
};

// gossip.cpp: membership protocol and the exchange of facts.

// Executes the actions that the membership protocol decided on.
void perform(control& state, std::span<const membership_action> actions);
// Handles a received datagram; a malformed one is logged and dropped.
void receive_datagram(control& state, const ip_endpoint& from, std::string_view bytes);
// Handles an encoded bulk request and returns the encoded reply, or an encoded error if the request
// is malformed.
std::string serve_bulk(control& state, std::string_view request);
// Sends a bulk request. The callback receives nullopt if the request failed, was answered with an
// error, or the reply can't be decoded.
void send_bulk(control& state, const ip_endpoint& to, const bulk_request& request,
               std::function<void(std::optional<bulk_reply>)> done);
// Runs the timers of the membership protocol.
void tick_gossip(control& state, time_point now);
// Returns all facts that this node knows.
facts_message collect_facts(const control& state);
// Exchanges all facts with a member and merges them on both sides; done is called on success. Does
// nothing if the member is unknown or an exchange with it is already running.
void exchange_facts(control& state, const std::string& instance, std::function<void()> done);
// Merges all facts that a member knows, and gossips the new ones if spread is set.
void receive_facts(control& state, const facts_message& facts, bool spread);
// Merges facts into the table. If any is new, marks the snapshot for rebuilding, and gossips the
// new ones if spread is set.
void merge_facts(control& state, std::span<const suspension> suspensions,
                 std::span<const move_record> records, bool spread);
// Sets the digest of all facts that packets carry. Must be called after each change of a fact.
void update_facts_digest(control& state);
// Returns true if this node is among the given number of candidates for a role: those with the
// highest rendezvous hash of the role's name among the live members that satisfy the filter.
bool is_candidate(const control& state, std::string_view role, std::size_t candidates,
                  const std::function<bool(const member&)>& filter);

// join.cpp: joining the mesh.

// Sends join requests to entry points, known members or seeds until a member has answered and a
// configuration is in force. Where operators' items are read, then looks for members that this node
// doesn't know.
void tick_join(control& state, time_point now);
// Sends a join request to an address unless one is outstanding. Readers also use it to reunite the
// sides of a healed partition.
void join_through(control& state, const ip_endpoint& address);
// Answers another node's join request. Beyond the rate limit the reply holds only a retry delay.
join_reply serve_join(control& state, const join_request& request);

// resync.cpp: recovery after a pause of the process.

// Detects a pause of this process and refuses traffic until a member has sent what changed in the
// meantime. Otherwise reports to the traffic threads that the snapshot is current.
void tick_resync(control& state, time_point now);

// config_sync.cpp: distribution of the configuration.

// Executes the actions that the distribution of the configuration decided on.
void perform(control& state, std::span<const distribution_action> actions);
// Handles the information that an instance holds a configuration version.
void handle_peer_version(control& state, std::string_view instance, std::uint64_t version);
// Returns the latest text held here, packed for a peer that holds have_version. Returns nullopt if
// it is not newer than that, or is older than want_version.
std::optional<packed_text> pack_latest_text(control& state, std::uint64_t have_version,
                                            std::uint64_t want_version);
// Handles a text received from a peer.
void receive_text(control& state, std::string_view instance, const packed_text& packed);
// Runs the timers of the distribution of the configuration.
void tick_config(control& state, time_point now);
// Builds the configuration in force again, and those that are not yet in force, after a change of
// the kept items.
void apply_kept_items(control& state);
// Rebuilds the routing snapshot if it is marked as out of date.
void refresh_snapshot(control& state);

// operator_watch.cpp: reading and watching the operators' items (configuration and move orders) in
// the store.

// Keeps the operators' items up to date by lists and watches while this node is one of the watching
// members. Other nodes read them only if no member supplies them.
void tick_operator_watch(control& state, time_point now);
// Returns the role under which the members of a data centre are ranked as watchers.
std::string watcher_role(std::string_view data_centre);

// server_reports.cpp: reports of the backend server beside this node.

// Returns the view of the own server for the traffic threads.
own_server_view make_own_server_view(const control& state);
// Updates the snapshot and the announced member data if the own server's state has changed.
void refresh_own_server(control& state);
// Called when connections to the own server failed: it gets no calls until it reports again.
void mark_server_unreachable(control& state, const std::string& server);
// Handles a report or leave request of the own server; answers any other request with 404. Answers
// a departure once the store holds it, or with 503 if it could not be written.
void answer_server_request(control& state, const admin_request& request,
                           const std::function<void(admin_answer)>& respond);

// departures.cpp: departures of the own server in the store.

// Writes a departure to the store, unless it holds it, and then calls done.
void store_departure(control& state, const server_departure& departure, departure_callback done);
// Learns which departures the predecessors of this process have acknowledged. Writes those of the
// last seconds again if a restoration of the store has lost them.
void tick_departures(control& state, time_point now);

// admin_pages.cpp: the pages of the admin address.

// Returns the page of a path: metrics, health (the process runs), readiness (it accepts new work)
// or status as JSON. Any other path yields 404.
admin_answer answer_admin_request(const control& state, std::string_view path);

// restored_items.cpp: items that stay in force after the store was restored from a copy.

// Returns the items in force when this text is. If it is the first one of an era, determines what
// must be kept from the text in force now.
std::vector<store_entry> resolve_items(control& state, const item_list& text);
// Merges the items that another member keeps, and applies them.
void merge_kept_items(control& state, const kept_items& received);
// Handles the deletions among changes that a watch has reported: a kept item ends.
void note_deleted_items(control& state, std::span<const store_entry> changes);
// Lets kept items expire that nobody has written again.
void tick_kept_items(control& state, time_point now);

// copy_marker.cpp: markers in the store that date a copy of it.

// Determines whether this node writes the markers.
void choose_marker_writer(control& state);
// Writes a marker after the latest change that this node has read, if that is its task and none
// follows the change yet.
void write_copy_marker(control& state);
// Returns whether the markers of an era were read, or none are needed.
bool is_copy_dated(const control& state, std::uint64_t era);
// Reads the markers of an era and then calls done. Has no effect soon after an earlier call.
void date_copy(control& state, std::uint64_t era, const std::function<void()>& done);

// store_roles.cpp: store leases and the reader role.

// Passes the accepted record's text to the distribution, unless an accepted version was read from
// the store before and this or a newer one is in force. Reads the text if it isn't held.
void adopt_accepted_record(control& state, const accepted_record& record);
// Makes the next store call of a lease if one is due: acquires or renews the lease while it is
// wanted, otherwise releases it.
void run_lease(control& state, lease_role& role, bool wanted);
// Returns whether this node is a candidate for a role's lease among the members that satisfy the
// filter. The result is cached for a second, since computing it iterates over the member table.
bool refresh_candidate(control& state, lease_role& role, time_point now,
                       const std::function<bool(const member&)>& filter);
// Drives the reader and accepter roles and their leases.
void tick_store_roles(control& state, time_point now);
// Releases all leases before the process exits. Repeated calls continue an unfinished release.
void release_leases(control& state);

// accepter.cpp: validation and acceptance of submitted texts.

// Drives the accepter role and its lease.
void tick_accepter(control& state, time_point now);

// stored_text.cpp: reading accepted texts from the store.

// Called with the result of reading a text: error_kind::none and the text, or the kind of failure.
using text_callback = std::function<void(error_kind, std::shared_ptr<const std::string>)>;

// Returns the text of an accepted version if this node holds it, otherwise null.
std::shared_ptr<const std::string> find_text(const control& state, std::uint64_t version);
// Reads the text of an accepted record: from its delta if this node holds the base, otherwise with
// the stored full text. Makes at most two store calls, however far this node is behind.
void read_stored_text(control& state, const accepted_record& record, text_callback done);

// move_control.cpp: the version move of the own service.

// Evaluates the evidence of the own service's move and, as the holder of its lease, advances it.
void tick_move(control& state, time_point now);
// Stores an evidence report of the own service for the next evaluation.
void receive_evidence(control& state, const evidence_report& report);

// in_force.cpp: collecting where a configuration version is in force, and its verdict.

// Announces the version in force again and, as a collector, sends the summaries of its shards and
// writes verdicts, when they are due.
void tick_collector(control& state, time_point now);
// Handles a shard's summary, which is sent to this node as the global collector.
void receive_in_force_summary(control& state, const in_force_summary& summary);
// Reports to the collector of this node's shard that a version is in force on this node.
void announce_in_force(control& state);

} // namespace caraway
