#include <algorithm>
#include <utility>

#include "node/control.hpp"
#include "node/recorded.hpp"
#include "observe/log.hpp"

namespace caraway {
namespace {

// Number of members asked per join attempt. While the store is down, a node needs three replies
// (join_replies_before_apply) before it applies a configuration.
constexpr std::size_t join_targets = 3;
// Number of attempts that use only the entry points of the own data centre, if it has many.
constexpr std::uint32_t local_attempts = 2;
// First pause after a failed attempt to join. It doubles up to the join_backoff_max setting.
constexpr milliseconds first_join_backoff{100};
// Entry points from the store are used for this long before the store is listed again. When all
// nodes start together, the listed ones are soon up; with a list for each attempt, the store served
// 3 reads per node.
constexpr milliseconds entry_points_lifetime{2'000};
// Pause before the next attempt if the store has no entry points and no other target is known. When
// a whole deployment starts for the first time, the other nodes have written their entry points by
// then.
constexpr milliseconds first_entry_points_wait{500};
// For completion_time after its start, a node sends join requests at this interval to entry points
// that are not known members. When many nodes start together, those that answer first know only a
// few of the others.
constexpr milliseconds completion_interval{500};
constexpr milliseconds completion_time{6'000};
// Members that watch the store check it for entry points of unknown members, first after
// first_discovery and then at discovery_interval. Without this, nodes that start together and join
// only each other would stay separated from the rest permanently.
constexpr milliseconds first_discovery{2'000};
constexpr milliseconds discovery_interval{30'000};

// Admits at most the configured number of joins per second, so that a restarting data centre can't
// monopolise the control threads of the running members.
bool admit_join(control& state) {
    const time_point now = state.now();
    if (now - state.m_join_second >= std::chrono::seconds{1}) {
        state.m_join_second = now;
        state.m_joins_in_second = 0;
    }
    return state.m_joins_in_second++ < state.m_settings.m_joins_per_second;
}

// Schedules the next attempt after an exponential backoff with random jitter.
void schedule_join_retry(control& state, time_point now) {
    join_state& join = state.m_join;
    const milliseconds ceiling =
        std::min(state.m_settings.m_join_backoff_max,
                 first_join_backoff * (1U << std::min(join.m_failures, 6U)));
    ++join.m_failures;
    join.m_next_attempt =
        now + ceiling / 2 +
        milliseconds{state.m_random.below(static_cast<std::uint64_t>(ceiling.count()))};
}

// Returns the addresses to ask besides the entry points: live members that have not answered a join
// request and have none outstanding, or the seeds if there are none. A node that asked only its
// seeds could not determine its minimum version while the store was down and most of the seeds were
// unreachable, although enough other members were alive.
std::vector<ip_endpoint> known_targets(const control& state) {
    std::vector<ip_endpoint> targets;
    for (const auto& [name, tracked] : state.m_members.m_members) {
        const member& known = tracked.m_member;
        const bool live =
            known.m_state == member_state::alive || known.m_state == member_state::suspect;
        const bool answered = state.m_distribution.m_join_replies.contains(name);
        if (live && !answered && !state.m_join.m_pending.contains(format_endpoint(known.m_bulk))) {
            targets.push_back(known.m_bulk);
        }
    }
    if (!targets.empty()) {
        return targets;
    }
    for (const ip_endpoint& seed : state.m_settings.m_seeds) {
        if (seed != state.m_settings.m_announce_bulk) {
            targets.push_back(seed);
        }
    }
    return targets;
}

// Sends join requests to at most join_targets of the addresses, chosen at random.
void join_through_random(control& state, std::vector<ip_endpoint> targets) {
    std::shuffle(targets.begin(), targets.end(), state.m_random);
    targets.resize(std::min(targets.size(), join_targets));
    for (const ip_endpoint& target : targets) {
        join_through(state, target);
    }
}

// Sends join requests to some of the known members or seeds. Returns false if there is none to ask.
bool ask_known_members(control& state) {
    std::vector<ip_endpoint> known = known_targets(state);
    join_through_random(state, known);
    return !known.empty();
}

// With fewer entry points in the store, the mesh is assumed to start for the first time.
constexpr std::size_t min_established_entry_points = 2;

// Nodes that start together check a free entry point slot again at random times within this span,
// so that the first one fills it and the others find it filled.
constexpr milliseconds slot_check_spread{500};

// Nodes that start together begin to read the store at random times within this time multiplied by
// the number of entry points. In a large fleet only a few nodes read early, and the others can
// receive from them what they have read.
constexpr milliseconds start_spread_per_entry{6};

// Parses an entry point from its key, PREFIX followed by DATA_CENTRE/SLOT, and its value, an
// address. Returns nullopt if either is malformed.
std::optional<entry_point> parse_entry_point(const store_entry& entry) {
    std::string_view key = entry.m_key;
    key.remove_prefix(std::min(entry_point_prefix.size(), key.size()));
    const std::size_t slash = key.find('/');
    const auto address = parse_endpoint(entry.m_value);
    if (!address || slash == std::string_view::npos) {
        return std::nullopt;
    }
    return entry_point{std::string(key.substr(0, slash)), std::string(key.substr(slash + 1)),
                       *address};
}

// Replaces the known entry points by those listed in the store, without this node's own. Also
// chooses the random time at which this node begins to use the store, and schedules a check of its
// own slot if that is free in the first list.
void update_entry_points(control& state, std::span<const store_entry> entries) {
    join_state& join = state.m_join;
    operator_watch& watch = state.m_operator;
    const bool is_first_list = join.m_entry_points_listed_at == time_point{};
    const std::string own_slot = slot_of(state.m_settings.m_instance);
    join.m_entry_points_listed_at = state.now();
    join.m_entry_points.clear();
    const auto start_spread =
        static_cast<std::uint64_t>(start_spread_per_entry.count()) * entries.size();
    watch.m_start_at = std::min(watch.m_start_at,
                                state.now() + milliseconds(state.m_random.below(start_spread + 1)));
    for (const store_entry& entry : entries) {
        auto parsed = parse_entry_point(entry);
        if (!parsed) {
            continue;
        }
        watch.m_entry_written |=
            parsed->m_data_centre == state.m_settings.m_data_centre && parsed->m_slot == own_slot;
        if (parsed->m_address != state.m_settings.m_announce_bulk) {
            join.m_entry_points.push_back(std::move(*parsed));
        }
    }
    join.m_mesh_first_start |=
        is_first_list && join.m_entry_points.size() < min_established_entry_points;
    if (state.reads_operator_items() && is_first_list && !watch.m_entry_written) {
        watch.m_slot_check_at =
            state.now() + milliseconds(state.m_random.below(
                              static_cast<std::uint64_t>(slot_check_spread.count())));
    }
}

// Sends join requests to some of the known members and entry points. The first attempts use only
// entry points of the own data centre, if it has many.
void ask_entry_points(control& state) {
    std::vector<ip_endpoint> targets = known_targets(state);
    const join_state& join = state.m_join;
    const bool local_attempts_failed = join.m_failures > local_attempts;
    const std::string_view preferred_data_centre =
        local_attempts_failed ? "" : state.m_settings.m_data_centre;
    const std::vector<ip_endpoint> addresses =
        join_entry_points(join.m_entry_points, preferred_data_centre);
    targets.insert(targets.end(), addresses.begin(), addresses.end());
    join_through_random(state, std::move(targets));
}

// Sends join requests to some of the entry points that aren't the addresses of known members.
void ask_unknown_entry_points(control& state) {
    join_through_random(state, unknown_entry_points(state.m_members, state.m_join.m_entry_points));
}

// Writes a member's address to an entry point slot of the own data centre, for joining nodes. The
// entry has no lease: an entry that outlives its node costs a joining node one attempt, whereas a
// lease would cost a call every few seconds.
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

// Writes the address of a live member to each slot whose entry point was not a known member's
// address at two discoveries in a row, as happens after the loss of an instance.
void replace_unknown_entries(control& state) {
    operator_watch& watch = state.m_operator;
    const std::vector<std::string> previous_unknown = std::move(watch.m_unknown_slots);
    watch.m_unknown_slots = unknown_slots(state.m_members, state.m_join.m_entry_points);
    for (const std::string& slot : watch.m_unknown_slots) {
        if (std::find(previous_unknown.begin(), previous_unknown.end(), slot) !=
            previous_unknown.end()) {
            write_entry_point(state, slot, member_for_slot(state.m_members, slot).m_bulk);
        }
    }
}

// Writes entry points again that the store lacks after a restoration from a copy. Without them, a
// node that starts would find only the members that joined after the copy was made, or none.
void fill_missing_slots(control& state, std::span<const store_entry> entries) {
    std::vector<std::string> filled;
    for (const store_entry& entry : entries) {
        if (auto parsed = parse_entry_point(entry);
            parsed && parsed->m_data_centre == state.m_settings.m_data_centre) {
            filled.push_back(std::move(parsed->m_slot));
        }
    }
    for (const std::string& slot : missing_slots(state.m_members, filled)) {
        write_entry_point(state, slot, member_for_slot(state.m_members, slot).m_bulk);
    }
}

// Time over which the watching members of a fleet look for lost entry points after a restoration.
// The first one of a data centre writes them, and the others find them written.
constexpr milliseconds fill_spread{1'000};

// Makes the next discovery due if the store was restored since the last one.
void discover_after_restoration(control& state, time_point now) {
    join_state& join = state.m_join;
    const std::uint64_t era = state.m_store->era();
    if (join.m_filled_era == era) {
        return;
    }
    join.m_filled_era = era;
    join.m_fill_missing_slots = true;
    join.m_next_discovery =
        now + milliseconds(state.m_random.below(static_cast<std::uint64_t>(fill_spread.count())));
}

// Checks the store for members that this node doesn't know, if it watches the store and the check
// is due.
void discover_members(control& state, time_point now) {
    join_state& join = state.m_join;
    if (join.m_next_discovery == time_point{}) {
        join.m_next_discovery = join.m_first_attempt + first_discovery;
    }
    if (!state.m_operator.m_is_watcher) {
        return;
    }
    discover_after_restoration(state, now);
    if (join.m_store_call_pending || now < join.m_next_discovery) {
        return;
    }
    join.m_next_discovery = now + discovery_interval;
    join.m_store_call_pending = true;
    const bool fill = std::exchange(join.m_fill_missing_slots, false);
    const auto on_reply = [&state, fill](const store_reply& reply) {
        state.m_join.m_store_call_pending = false;
        if (reply.m_kind != error_kind::none) {
            state.m_join.m_fill_missing_slots |= fill;
            return;
        }
        update_entry_points(state, reply.m_entries);
        ask_unknown_entry_points(state);
        replace_unknown_entries(state);
        if (fill) {
            fill_missing_slots(state, reply.m_entries);
        }
    };
    if (fill) {
        state.m_store->list(entry_point_prefix, on_reply);
    } else {
        state.m_store->list_stale(entry_point_prefix, on_reply);
    }
}

// Checks the own entry point slot again and fills it if it is still free.
void check_entry_slot(control& state) {
    state.m_operator.m_slot_check_at.reset();
    state.m_join.m_store_call_pending = true;
    state.m_store->list(entry_point_prefix, [&state](const store_reply& reply) {
        state.m_join.m_store_call_pending = false;
        if (reply.m_kind != error_kind::none) {
            state.m_operator.m_slot_check_at = state.now() + store_retry_pause;
            return;
        }
        update_entry_points(state, reply.m_entries);
        if (!state.m_operator.m_entry_written) {
            write_entry_point(state, slot_of(state.m_settings.m_instance),
                              state.m_settings.m_announce_bulk);
        }
        ask_entry_points(state);
    });
}

// Sends join requests to some of the known members and entry points as soon as the store has listed
// the entry points. When the requests waited for the next attempt, a restarted node lost 18 s while
// most members were unreachable. If the list fails, only known members and entry points listed
// earlier are asked. Where no lease keeps the entry points up to date, known members are asked
// first, which saves a store call.
void ask_members(control& state) {
    join_state& join = state.m_join;
    if (state.reads_operator_items() && ask_known_members(state)) {
        return;
    }
    if (!join.m_entry_points.empty() &&
        state.now() - join.m_entry_points_listed_at < entry_points_lifetime) {
        ask_entry_points(state);
        return;
    }
    if (state.m_operator.m_slot_check_at) {
        return; // the check lists the entry points as well
    }
    join.m_store_call_pending = true;
    const auto on_entries_listed = [&state](const store_reply& reply) {
        join_state& current_join = state.m_join;
        current_join.m_store_call_pending = false;
        if (reply.m_kind == error_kind::none) {
            update_entry_points(state, reply.m_entries);
        }
        current_join.m_no_member_found = current_join.m_entry_points.empty() &&
                                         reply.m_kind == error_kind::none &&
                                         known_targets(state).empty();
        if (current_join.m_no_member_found && state.reads_operator_items()) {
            current_join.m_next_attempt =
                std::max(current_join.m_next_attempt, state.now() + first_entry_points_wait);
        }
        ask_entry_points(state);
    };
    // Entry points rarely change, so the first list may be a few seconds stale.
    if (state.reads_operator_items() && join.m_entry_points_listed_at == time_point{}) {
        state.m_store->list_stale(entry_point_prefix, on_entries_listed);
    } else {
        state.m_store->list(entry_point_prefix, on_entries_listed);
    }
}

// Reads the accepted record, which sets the minimum version that this node may apply. The text
// comes from members. Only a node that finds no member, or gets no answer from the first ones it
// asked, reads the full text from the store, so that a mass join costs the store two small reads
// per node. The node asks the members that it can find before it reads the text: a node that had
// not done so became ready with an empty member table, mistook one member for all registrars of an
// idempotency key and executed a call again.
void read_min_version(control& state) {
    state.m_store->get(accepted_key, [&state](const store_reply& reply) {
        if (reply.m_kind == error_kind::store_not_found) {
            perform(state, decide_store_read(state, std::nullopt));
            return;
        }
        error reason;
        const auto record = reply.m_kind == error_kind::none
                                ? decode_accepted(reply.m_value, reason)
                                : std::nullopt;
        if (!record) {
            return;
        }
        state.m_distribution.m_min_version =
            std::max(state.m_distribution.m_min_version, record->m_version);
        const join_state& join = state.m_join;
        const bool first_round_over =
            state.now() - join.m_first_attempt >= state.m_settings.m_fetch_timeout;
        if (join.m_no_member_found || first_round_over) {
            adopt_accepted_record(state, *record);
        }
    });
}

} // namespace

void join_through(control& state, const ip_endpoint& address) {
    const std::string formatted_address = format_endpoint(address);
    if (!state.m_join.m_pending.insert(formatted_address).second) {
        return;
    }
    join_request request{state.m_members.m_self};
    send_bulk(state, address, request,
              [&state, formatted_address](const std::optional<bulk_reply>& reply) {
                  state.m_join.m_pending.erase(formatted_address);
                  const auto* joined = reply ? std::get_if<join_reply>(&*reply) : nullptr;
                  if (joined == nullptr || joined->m_members.empty()) {
                      return;
                  }
                  state.m_join.m_complete = true;
                  const std::string& through = joined->m_members.front().m_instance;
                  const std::uint64_t version = joined->m_members.front().m_config_version;
                  log_event(log_level::info, "joined",
                            {{"through", through},
                             {"members", static_cast<std::uint64_t>(joined->m_members.size())},
                             {"peer_version", version}});
                  perform(state, membership_merge(state.m_members, joined->m_members, state.now()));
                  merge_kept_items(state, joined->m_kept_items);
                  merge_facts(state, joined->m_suspensions, joined->m_records, false);
                  perform(state, decide_join_reply(state, through, version,
                                                   joined->m_predecessor_version));
                  if (joined->m_config) {
                      receive_text(state, through, *joined->m_config);
                  }
              });
}

join_reply serve_join(control& state, const join_request& request) {
    join_reply reply;
    if (!admit_join(state)) {
        reply.m_retry_after = milliseconds{500 + state.m_random.below(1'000)};
        return reply;
    }
    const auto known = state.m_members.m_members.find(request.m_self.m_instance);
    if (known != state.m_members.m_members.end()) {
        reply.m_predecessor_version = known->second.m_highest_config_version;
    }
    reply.m_members.push_back(state.m_members.m_self);
    for (const auto& [name, tracked] : state.m_members.m_members) {
        if (!tracked.m_is_tombstone) {
            reply.m_members.push_back(tracked.m_member);
        }
    }
    reply.m_config = pack_latest_text(state, request.m_self.m_config_version, 0);
    facts_message facts = collect_facts(state);
    reply.m_suspensions = std::move(facts.m_suspensions);
    reply.m_records = std::move(facts.m_records);
    reply.m_kept_items = std::move(facts.m_kept_items);
    const std::vector<member> joined{request.m_self};
    perform(state, membership_merge(state.m_members, joined, state.now()));
    return reply;
}

// A node that already knows members through gossip still joins, since it knows only some of them.
void tick_join(control& state, time_point now) {
    join_state& join = state.m_join;
    const bool alone = state.m_members.m_live == 0;
    const bool joined = join.m_complete && !alone && state.m_distribution.m_ready;
    const auto& check_at = state.m_operator.m_slot_check_at;
    if (state.reads_operator_items() && !state.m_leaving && !join.m_store_call_pending &&
        check_at && now >= *check_at) {
        check_entry_slot(state);
    }
    if (state.m_leaving || now < join.m_next_attempt) {
        return;
    }
    if (joined) {
        if (state.reads_operator_items()) {
            discover_members(state, now);
        }
        if (now - join.m_first_attempt < completion_time && state.reads_operator_items()) {
            join.m_next_attempt = now + completion_interval;
            ask_unknown_entry_points(state);
        }
        return;
    }
    // The store call may hang. Members that became known in the meantime are asked regardless.
    if (join.m_store_call_pending) {
        if (ask_known_members(state)) {
            schedule_join_retry(state, now);
        }
        return;
    }
    if (join.m_first_attempt == time_point{}) {
        join.m_first_attempt = now;
    }
    ask_members(state);
    if (!state.m_distribution.m_store_read && !state.reads_operator_items()) {
        read_min_version(state);
    }
    schedule_join_retry(state, now);
}

} // namespace caraway
