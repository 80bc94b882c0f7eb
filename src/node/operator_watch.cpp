// Reads the operators' configuration and orders straight from the store, where the store itself
// accepts only what is valid. All items below one prefix make one text, whose version is the
// revision of its latest change. A few members of each data centre watch the store, so that its
// calls don't grow with the fleet; the others get each text from members.

#include <algorithm>

#include <boost/json.hpp>

#include "base/hash.hpp"
#include "node/control.hpp"
#include "node/recorded.hpp"
#include "observe/log.hpp"

namespace caraway {
namespace {

// How long a watch waits at the store. A dead connection is noticed earlier, by keep-alive probes.
constexpr milliseconds watch_wait{10'000};
// Pause after the first failed call, doubled up to the longest one, with as much again at random,
// so that a fleet doesn't call in step.
constexpr milliseconds retry_pause{100};
constexpr milliseconds longest_retry_pause{800};
// How often the watchers are worked out anew.
constexpr milliseconds candidate_interval{500};
// The same until a configuration is in force: after a loss of all power nobody has one, and every
// caller waits for the first watchers.
constexpr milliseconds first_candidate_interval{100};
// Failed calls after which a watcher tells the others, so that the next ones watch.
constexpr std::uint32_t failures_before_lost = 2;
// A node that no longer tries the store forgets after this time that it couldn't reach it.
constexpr milliseconds lost_retention{5'000};
// The whole prefix is read this often, in case a watch missed a change.
constexpr milliseconds relist_interval{30'000};

// Tells the members whether this node reaches the store.
void announce_store(control& state, bool lost) {
    if (state.m_members.m_self.m_store_lost != lost) {
        state.m_members.m_self.m_store_lost = lost;
        state.m_operator.m_store_lost_since = state.now();
        state.m_operator.m_next_check = state.now();
        perform(state, membership_update_self(state.m_members, true, state.now()));
    }
}

void note_store(control& state, const store_reply& reply) {
    operator_watch& watch = state.m_operator;
    const bool reached =
        reply.m_kind == error_kind::none || reply.m_kind == error_kind::store_not_found;
    watch.m_failures = reached ? 0 : watch.m_failures + 1;
    if (reached || watch.m_failures >= failures_before_lost) {
        announce_store(state, !reached);
    }
    if (reached != watch.m_store_reachable) {
        watch.m_store_reachable = reached;
        log_event(log_level::info, reached ? "store_regained" : "store_lost",
                  {{"reason", answer_for(reply.m_kind).m_name}, {"text", reply.m_text}});
    }
}

void pause_watch(control& state) {
    const std::uint32_t doublings = std::min(state.m_operator.m_failures, 8U);
    const milliseconds pause = std::min(retry_pause * (1U << doublings), longest_retry_pause);
    state.m_operator.m_retry_at =
        state.now() + pause +
        milliseconds(state.m_random.below(static_cast<std::uint64_t>(pause.count())));
}

// Takes over the items as the text of the revision, unless they are those of the text held.
void take_items(control& state) {
    operator_watch& watch = state.m_operator;
    std::vector<store_entry> items;
    for (const auto& [key, entry] : watch.m_items) {
        items.push_back(entry);
    }
    if (items.empty()) {
        perform(state, decide_store_read(state, std::nullopt));
        return;
    }
    auto text = std::make_shared<const std::string>(encode_items(items));
    const std::uint64_t hash = hash_bytes(*text);
    const auto& texts = state.m_distribution.m_texts;
    std::uint64_t version = watch.m_latest_deletion_revision;
    for (const store_entry& item : items) {
        version = std::max(version, item.m_revision);
    }
    if (!texts.empty() && texts.rbegin()->first >= version) {
        // A list doesn't tell when an item was deleted; other content needs a version of its own.
        const bool known = texts.rbegin()->second.m_hash == hash;
        version = known ? texts.rbegin()->first : watch.m_watch_revision;
    }
    perform(state, decide_store_read(state, config_text{version, hash, std::move(text)}));
}

void list_items(control& state) {
    operator_watch& watch = state.m_operator;
    watch.m_call_pending = true;
    state.m_store->list(state.m_adapter.m_operator_prefix, [&state](const store_reply& reply) {
        operator_watch& listed = state.m_operator;
        listed.m_call_pending = false;
        note_store(state, reply);
        if (reply.m_kind != error_kind::none) {
            pause_watch(state);
            return;
        }
        listed.m_listed = true;
        listed.m_watch_revision = reply.m_revision;
        listed.m_next_list = state.now() + relist_interval;
        listed.m_items.clear();
        for (const store_entry& entry : reply.m_entries) {
            listed.m_items.emplace(entry.m_key, entry);
        }
        take_items(state);
    });
}

void watch_items(control& state) {
    operator_watch& watch = state.m_operator;
    watch.m_call_pending = true;
    const auto done = [&state](const store_reply& reply) {
        operator_watch& watched = state.m_operator;
        watched.m_call_pending = false;
        note_store(state, reply);
        if (reply.m_kind != error_kind::none) {
            // Without its history the store can't tell what changed meanwhile.
            watched.m_listed = reply.m_kind != error_kind::store_not_found;
            pause_watch(state);
            return;
        }
        watched.m_watch_revision = std::max(watched.m_watch_revision, reply.m_revision);
        for (const store_entry& entry : reply.m_entries) {
            if (entry.m_deleted) {
                watched.m_latest_deletion_revision =
                    std::max(watched.m_latest_deletion_revision, entry.m_revision);
                watched.m_items.erase(entry.m_key);
            } else {
                watched.m_items.insert_or_assign(entry.m_key, entry);
            }
        }
        if (!reply.m_entries.empty()) {
            take_items(state);
        }
    };
    state.m_store->watch(state.m_adapter.m_operator_prefix, watch.m_watch_revision, watch_wait,
                         done);
}

// Reads the moves' records once, so that a node that starts after a move's end knows how it ended.
void read_records(control& state) {
    operator_watch& watch = state.m_operator;
    watch.m_records_call_pending = true;
    state.m_store->list(state.m_adapter.m_move_prefix, [&state](const store_reply& reply) {
        operator_watch& read = state.m_operator;
        read.m_records_call_pending = false;
        read.m_records_retry_at = state.now() + store_retry_pause;
        if (reply.m_kind != error_kind::none) {
            return;
        }
        read.m_records_read = true;
        std::vector<move_record> records;
        for (const store_entry& entry : reply.m_entries) {
            if (auto record = state.m_adapter.m_decode_move(entry.m_value, entry.m_revision)) {
                records.push_back(std::move(*record));
            } else {
                log_event(log_level::error, "move_record_malformed", {{"key", entry.m_key}});
            }
        }
        merge_facts(state, {}, records, false);
    });
}

// A node that has just started waits this long for others that start with it, and for what they
// know, before it takes part itself: a fleet that starts together would else call all at once.
constexpr milliseconds start_spread{600};

// A starting node that doesn't watch asks the store for the configuration after this time, sooner
// where there are few others to read it: in a small mesh a read each costs the store little.
constexpr milliseconds members_first_time{700};
constexpr milliseconds members_first_time_per_entry{15};
// The same where the store names nobody yet: all others start, too, and few of them need to read.
constexpr milliseconds first_start_time{1'500};

milliseconds members_first(const control& state) {
    const auto others = static_cast<std::int64_t>(state.m_join.m_entry_points.size());
    const bool listed = state.m_join.m_entry_points_listed_at != time_point{};
    if (listed && state.m_join.m_mesh_first_start) {
        return first_start_time;
    }
    return listed ? std::min(members_first_time, others * members_first_time_per_entry)
                  : members_first_time;
}

// A node that gets a text from no member for this long reads it from the store.
constexpr milliseconds behind_time{400};

// A node that finds no member in this time after its start watches the store itself.
constexpr milliseconds alone_time{1'500};

// Works out whether this node watches: it is among the first of its data centre, or among the first
// of those that reach the store.
void refresh_watcher(control& state, time_point now) {
    operator_watch& watch = state.m_operator;
    if (now < watch.m_next_check) {
        return;
    }
    watch.m_next_check =
        now + (state.m_distribution.m_ready ? candidate_interval : first_candidate_interval);
    const member& self = state.m_members.m_self;
    const std::string role = "watcher/" + self.m_data_centre;
    const auto beside = [&self](const member& m) { return m.m_data_centre == self.m_data_centre; };
    const auto reaching = [&beside](const member& m) { return beside(m) && !m.m_store_lost; };
    // A node that knows nobody yet would take itself for the first of its data centre.
    const bool settled = state.m_join.m_complete || now >= watch.m_start_at + alone_time;
    const std::size_t watchers = watchers_in_each(state.m_members.m_groups.size());
    const bool candidate =
        settled && (is_candidate(state, role, watchers, beside) ||
                    (!self.m_store_lost && is_candidate(state, role, watchers, reaching)));
    if (candidate != watch.m_candidate) {
        watch.m_candidate = candidate;
        log_event(log_level::info, candidate ? "store_watch_begun" : "store_watch_ended", {});
    }
    if (!candidate && self.m_store_lost && now - watch.m_store_lost_since > lost_retention) {
        announce_store(state, false);
    }
}

// True when a member has held a newer text for some time and it could not be fetched, as from
// members that died or were cut off just now.
bool is_behind(control& state, time_point now) {
    operator_watch& watch = state.m_operator;
    if (state.m_distribution.m_highest <= held_version(state.m_distribution)) {
        watch.m_behind_since = now;
    }
    return now - watch.m_behind_since > behind_time;
}

} // namespace

std::string encode_items(std::span<const store_entry> items) {
    boost::json::array out;
    for (const store_entry& item : items) {
        out.push_back(boost::json::array{item.m_key, item.m_revision, item.m_value});
    }
    return boost::json::serialize(out);
}

std::optional<std::vector<store_entry>> decode_items(std::string_view text) {
    boost::json::error_code failed;
    const boost::json::value parsed =
        boost::json::parse(boost::json::string_view(text.data(), text.size()), failed);
    if (failed || !parsed.is_array()) {
        return std::nullopt;
    }
    std::vector<store_entry> items;
    for (const boost::json::value& each : parsed.get_array()) {
        const auto* row = each.if_array();
        if (row == nullptr || row->size() != 3 || !(*row)[0].is_string() ||
            !(*row)[2].is_string()) {
            return std::nullopt;
        }
        store_entry item;
        item.m_key = std::string((*row)[0].get_string());
        item.m_revision = (*row)[1].to_number<std::uint64_t>(failed);
        item.m_value = std::string((*row)[2].get_string());
        if (failed) {
            return std::nullopt;
        }
        items.push_back(std::move(item));
    }
    return items;
}

// Without a lease: an entry that outlives its node costs a joining one an attempt, a lease would
// cost a call every few seconds.
void write_entry_point(control& state, const std::string& slot, const ip_endpoint& address) {
    const std::string key =
        std::string(entry_point_prefix) + state.m_settings.m_data_centre + "/" + slot;
    state.m_store->put(key, format_endpoint(address), std::nullopt, {},
                       [&state, slot](const store_reply& reply) {
                           const bool written = reply.m_kind == error_kind::none;
                           log_event(log_level::info, "entry_point_written",
                                     {{"slot", slot}, {"written", written}});
                           state.m_operator.m_entry_written |= written;
                           if (!state.m_operator.m_entry_written) {
                               state.m_operator.m_slot_check_at = state.now() + store_retry_pause;
                           }
                       });
}

void tick_operator_watch(control& state, time_point now) {
    operator_watch& watch = state.m_operator;
    if (watch.m_start_at == time_point{}) {
        watch.m_start_at = now + milliseconds(state.m_random.below(start_spread.count()));
    }
    refresh_watcher(state, now);
    if (now < watch.m_start_at) {
        return;
    }
    // A node that got no configuration from members reads it from the store, whoever watches.
    const bool starting =
        !state.m_distribution.m_ready && now >= watch.m_start_at + members_first(state);
    if (!watch.m_candidate && is_behind(state, now)) {
        watch.m_behind_since = now; // the next list, if this one brings nothing new
        watch.m_listed = false;
    } else if (!watch.m_candidate && !starting) {
        return;
    }
    if (!watch.m_records_read && watch.m_candidate && !watch.m_records_call_pending &&
        now >= watch.m_records_retry_at) {
        read_records(state);
    }
    if (watch.m_call_pending || now < watch.m_retry_at) {
        return;
    }
    if (!watch.m_listed || now >= watch.m_next_list) {
        list_items(state);
    } else {
        watch_items(state);
    }
}

} // namespace caraway
