// Reads the operators' configuration and move orders directly from the store, for platforms whose
// store itself rejects invalid items. All items whose keys have the operators' prefix together form
// one configuration text. Its version is that of its latest change: the store's era and revision. A
// few members of each data centre watch the store, so that the number of store calls doesn't grow
// with the fleet; the others fetch each text from members.

#include <algorithm>

#include "base/hash.hpp"
#include "decide/configuration/copy_marker.hpp"
#include "decide/configuration/hedged_read.hpp"
#include "decide/configuration/item_list.hpp"
#include "node/control.hpp"
#include "node/recorded.hpp"
#include "observe/log.hpp"
#include "store/store_version.hpp"

namespace caraway {
namespace {

// A read of the items whose reply is late by this much no longer holds back the next read. The
// store answers in milliseconds, or in some hundreds of them while it is slow.
constexpr milliseconds max_reply_delay{500};
// Replaces store_watch_wait after a read that failed or is overdue, so that the loss of another
// call is noticed soon.
constexpr milliseconds check_wait{1};
// Base of the pause after failed calls. Each consecutive failure doubles the pause up to
// `max_retry_pause`; a random time below the pause is added, so that the nodes of a fleet don't all
// call at the same time.
constexpr milliseconds retry_pause{100};
constexpr milliseconds max_retry_pause{800};
// How often a node determines again whether it must watch the store.
constexpr milliseconds candidate_interval{500};
// Replaces candidate_interval until a configuration is in force: after a power loss of the whole
// fleet no node has one, and every caller waits for the first watchers.
constexpr milliseconds first_candidate_interval{100};
// Consecutive failed calls after which a watcher announces that it can't reach the store, so that
// the next candidates start to watch.
constexpr std::uint32_t failures_before_lost = 2;
// Time after which a node that no longer calls the store withdraws its announcement that it can't
// reach the store.
constexpr milliseconds store_lost_announcement_time{5'000};
// How often all items are read again, in case a watch missed a change.
constexpr milliseconds relist_interval{30'000};

// Announces to the members whether this node has lost the store.
void announce_store_access(control& state, bool store_lost) {
    if (state.m_members.m_self.m_store_lost != store_lost) {
        state.m_members.m_self.m_store_lost = store_lost;
        state.m_operator.m_store_lost_since = state.now();
        state.m_operator.m_next_check = state.now();
        perform(state, membership_update_self(state.m_members, true, state.now()));
    }
}

// Determines from the reply to a call whether the store is reachable, and logs a change. Announces
// a loss only after `failures_before_lost` consecutive failures.
void update_store_access(control& state, const store_reply& reply) {
    operator_watch& watch = state.m_operator;
    const bool store_reached =
        reply.m_kind == error_kind::none || reply.m_kind == error_kind::store_not_found;
    watch.m_failures = store_reached ? 0 : watch.m_failures + 1;
    if (store_reached || watch.m_failures >= failures_before_lost) {
        announce_store_access(state, !store_reached);
    }
    if (store_reached != watch.m_store_reachable) {
        watch.m_store_reachable = store_reached;
        log_event(log_level::info, store_reached ? "store_regained" : "store_lost",
                  {{"reason", error_info_for(reply.m_kind).m_name}, {"text", reply.m_text}});
    }
}

// Schedules the next store call after a failed one.
void schedule_retry(control& state) {
    const std::uint32_t doublings = std::min(state.m_operator.m_failures, 8U);
    const milliseconds pause = std::min(retry_pause * (1U << doublings), max_retry_pause);
    state.m_operator.m_retry_at =
        state.now() + pause +
        milliseconds(state.m_random.below(static_cast<std::uint64_t>(pause.count())));
}

// Returns whether the items may be put in force: the records of moves were read before, or came
// with a text from a member. Without the records a node that starts would take the servers of a
// version that was taken back for old ones.
bool records_known(const control& state) {
    return state.m_operator.m_records_read || !state.m_distribution.m_texts.empty();
}

// Passes the items to the distribution as one text, whose version is the revision of their latest
// change. If they are those of the text held, the text keeps its version.
void apply_items(control& state) {
    operator_watch& watch = state.m_operator;
    if (!records_known(state)) {
        return; // read_records does it again
    }
    const std::uint64_t era = era_of(watch.m_watch_revision);
    if (!is_copy_dated(state, era)) {
        date_copy(state, era, [&state] { apply_items(state); });
        return;
    }
    item_list list;
    for (const auto& [key, entry] : watch.m_items) {
        list.m_items.push_back(entry);
    }
    if (list.m_items.empty()) {
        perform(state, decide_store_read(state, std::nullopt));
        return;
    }
    list.m_copy_complete_until = era == 0 ? 0 : state.m_copy_marker.m_copy_complete_until;
    auto text = std::make_shared<const std::string>(encode_item_list(list));
    const std::uint64_t hash = hash_bytes(*text);
    const auto& texts = state.m_distribution.m_texts;
    std::uint64_t version = watch.m_latest_deletion_revision;
    for (const store_entry& item : list.m_items) {
        version = std::max(version, item.m_revision);
    }
    if (!texts.empty() && texts.rbegin()->first >= version) {
        // A list doesn't show the revision at which an item was deleted. Different content needs a
        // version of its own, so it gets the latest revision seen.
        const bool unchanged = texts.rbegin()->second.m_hash == hash;
        version = unchanged ? texts.rbegin()->first : watch.m_watch_revision;
    }
    if (version > held_version(state.m_distribution)) {
        note_text_received(state.m_text_progress, version, text_source_kind::store, state.now());
    }
    perform(state, decide_store_read(state, config_text{version, hash, std::move(text)}));
    write_copy_marker(state);
}

// Passes the era in force here to the store client, so that late answers of earlier eras are
// ignored, and logs a restoration of the store.
void update_store_era(control& state) {
    state.m_store->learn_era(era_of(state.m_distribution.m_applied));
    const std::uint64_t era = state.m_store->era();
    if (era != state.m_operator.m_logged_era) {
        log_event(log_level::warning, "store_restored",
                  {{"era", era}, {"previous", state.m_operator.m_logged_era}});
        state.m_operator.m_logged_era = era;
        state.m_metrics->set_store_era(era);
    }
}

// Ends a read of the items. Returns true if it succeeded and its reply is to be used; schedules the
// next read if it failed. If a later read has succeeded, the reply says nothing new.
bool finish_items_read(control& state, std::uint64_t number, const store_reply& reply) {
    const bool succeeded = reply.m_kind == error_kind::none;
    if (!end_read(state.m_operator.m_reads, number, succeeded)) {
        return false;
    }
    update_store_access(state, reply);
    if (!succeeded) {
        schedule_retry(state);
    }
    return succeeded;
}

// Reads all items and applies them.
void list_items(control& state) {
    const std::uint64_t number = begin_read(state.m_operator.m_reads, max_reply_delay, state.now());
    const auto on_reply = [&state, number](const store_reply& reply) {
        operator_watch& current_watch = state.m_operator;
        if (!finish_items_read(state, number, reply)) {
            return;
        }
        current_watch.m_listed = true;
        current_watch.m_watch_revision = reply.m_revision;
        current_watch.m_next_list = state.now() + relist_interval;
        current_watch.m_items.clear();
        for (const store_entry& entry : reply.m_entries) {
            current_watch.m_items.emplace(entry.m_key, entry);
        }
        apply_items(state);
    };
    state.m_store->list(state.m_adapter.m_operator_key_prefix, on_reply);
}

// Waits for changes of the items, at most for the given time, and applies them.
void watch_items(control& state, milliseconds wait) {
    operator_watch& watch = state.m_operator;
    const std::uint64_t number = begin_read(watch.m_reads, wait + max_reply_delay, state.now());
    const auto on_reply = [&state, number](const store_reply& reply) {
        operator_watch& current_watch = state.m_operator;
        if (!finish_items_read(state, number, reply)) {
            // If the store no longer has the history since `m_watch_revision`, or was restored from
            // a copy, it can't report what changed, so all items are read again.
            current_watch.m_listed &= reply.m_kind != error_kind::store_not_found;
            return;
        }
        current_watch.m_watch_revision = std::max(current_watch.m_watch_revision, reply.m_revision);
        for (const store_entry& entry : reply.m_entries) {
            if (entry.m_deleted) {
                current_watch.m_latest_deletion_revision =
                    std::max(current_watch.m_latest_deletion_revision, entry.m_revision);
                current_watch.m_items.erase(entry.m_key);
            } else {
                current_watch.m_items.insert_or_assign(entry.m_key, entry);
            }
        }
        if (!reply.m_entries.empty()) {
            note_deleted_items(state, reply.m_entries);
            apply_items(state);
        }
    };
    state.m_store->watch(state.m_adapter.m_operator_key_prefix, watch.m_watch_revision, wait,
                         on_reply);
}

// Reads the records of all moves once, so that a node that starts after the end of a move knows the
// outcome. Then applies the items that were listed in the meantime.
void read_records(control& state) {
    state.m_operator.m_records_retry_at = state.now() + max_reply_delay;
    state.m_store->list(state.m_adapter.m_move_key_prefix, [&state](const store_reply& reply) {
        operator_watch& current_watch = state.m_operator;
        if (reply.m_kind != error_kind::none || current_watch.m_records_read) {
            return;
        }
        current_watch.m_records_read = true;
        std::vector<move_record> records;
        for (const store_entry& entry : reply.m_entries) {
            if (auto record = state.m_adapter.m_decode_move(entry.m_value, entry.m_revision)) {
                records.push_back(std::move(*record));
            } else {
                log_event(log_level::error, "move_record_malformed", {{"key", entry.m_key}});
            }
        }
        merge_facts(state, {}, records, false);
        if (current_watch.m_listed) {
            apply_items(state);
        }
    });
}

// Upper limit of the random time that a node waits after its start before it calls the store. The
// delay spreads out the calls of a fleet that starts together, and gives time to find members that
// started too and to receive what they know.
constexpr milliseconds max_start_delay{600};

// A starting node that is not a watcher reads the configuration from the store if it has received
// none from members this long after it began to use the store. The time is shorter if the store
// lists few entry points: in a small mesh, one read for each node costs the store little.
constexpr milliseconds max_member_wait{700};
constexpr milliseconds member_wait_per_entry{15};
// Replaces max_member_wait if the store listed hardly any entry points at the first read, as at the
// first start of the whole mesh: all other nodes are starting too, and few of them need to read.
constexpr milliseconds mesh_first_start_member_wait{1'500};

// Returns how long a starting node waits for members to supply the configuration before it reads
// the store itself.
milliseconds member_wait(const control& state) {
    const auto entry_point_count = static_cast<std::int64_t>(state.m_join.m_entry_points.size());
    const bool store_listed = state.m_join.m_entry_points_listed_at != time_point{};
    if (store_listed && state.m_join.m_mesh_first_start) {
        return mesh_first_start_member_wait;
    }
    return store_listed ? std::min(max_member_wait, entry_point_count * member_wait_per_entry)
                        : max_member_wait;
}

// A node that knows of a newer text but has received it from no member for this long reads it from
// the store.
constexpr milliseconds max_behind_time{400};

// A node that no member has answered takes part in the selection of watchers this long after the
// time at which it begins to use the store.
constexpr milliseconds max_discovery_time{1'500};

// Determines whether this node watches the store: it is among the first candidates of its data
// centre, or among the first of those that reach the store.
void refresh_watcher(control& state, time_point now) {
    operator_watch& watch = state.m_operator;
    if (now < watch.m_next_check) {
        return;
    }
    watch.m_next_check =
        now + (state.m_distribution.m_ready ? candidate_interval : first_candidate_interval);
    const member& self = state.m_members.m_self;
    const std::string role = watcher_role(self.m_data_centre);
    const auto same_data_centre = [&self](const member& m) {
        return m.m_data_centre == self.m_data_centre;
    };
    const auto reaches_store = [&same_data_centre](const member& m) {
        return same_data_centre(m) && !m.m_store_lost;
    };
    // A node that knows no other member yet would rank itself first in its data centre.
    const bool membership_known =
        state.m_join.m_complete || now >= watch.m_start_at + max_discovery_time;
    const std::size_t watchers = watchers_per_data_centre(state.m_members.m_groups.size());
    const bool is_watcher =
        membership_known &&
        (is_candidate(state, role, watchers, same_data_centre) ||
         (!self.m_store_lost && is_candidate(state, role, watchers, reaches_store)));
    if (is_watcher != watch.m_is_watcher) {
        watch.m_is_watcher = is_watcher;
        log_event(log_level::info, is_watcher ? "store_watch_begun" : "store_watch_ended", {});
    }
    choose_marker_writer(state);
    if (!is_watcher && self.m_store_lost &&
        now - watch.m_store_lost_since > store_lost_announcement_time) {
        announce_store_access(state, false);
    }
}

// Returns whether a newer text has been known for longer than `max_behind_time` and could not be
// fetched, for example because the members that hold it died or were just cut off.
bool is_behind(control& state, time_point now) {
    operator_watch& watch = state.m_operator;
    if (state.m_distribution.m_highest_known <= held_version(state.m_distribution)) {
        watch.m_behind_since = now;
    }
    return now - watch.m_behind_since > max_behind_time;
}

} // namespace

std::string watcher_role(std::string_view data_centre) {
    return "watcher/" + std::string(data_centre);
}

void tick_operator_watch(control& state, time_point now) {
    operator_watch& watch = state.m_operator;
    if (watch.m_start_at == time_point{}) {
        watch.m_start_at = now + milliseconds(state.m_random.below(max_start_delay.count()));
    }
    refresh_watcher(state, now);
    update_store_era(state);
    tick_kept_items(state, now);
    if (now < watch.m_start_at) {
        return;
    }
    write_copy_marker(state);
    if (watch.m_listed && !is_copy_dated(state, era_of(watch.m_watch_revision))) {
        apply_items(state);
    }
    // A node that received no configuration from members reads it from the store even if it is not
    // a watcher.
    const bool starting =
        !state.m_distribution.m_ready && now >= watch.m_start_at + member_wait(state);
    if (!watch.m_is_watcher && is_behind(state, now)) {
        // If the items listed below bring nothing new, they are listed again after max_behind_time.
        watch.m_behind_since = now;
        watch.m_listed = false;
    } else if (!watch.m_is_watcher && !starting) {
        return;
    }
    const bool needs_records = watch.m_is_watcher || !records_known(state);
    if (!watch.m_records_read && needs_records && now >= watch.m_records_retry_at) {
        read_records(state);
    }
    if (!may_send_read(watch.m_reads, now) || now < watch.m_retry_at) {
        return;
    }
    const bool overdue = is_read_overdue(watch.m_reads, now);
    if (overdue) {
        log_event(log_level::warning, "store_read_overdue",
                  {{"read", watch.m_reads.m_last_sent}, {"listed", watch.m_listed}});
    }
    if (!watch.m_listed || now >= watch.m_next_list) {
        list_items(state);
    } else {
        const bool store_answers = watch.m_store_reachable && !overdue;
        watch_items(state, store_answers ? store_watch_wait : check_wait);
    }
}

} // namespace caraway
