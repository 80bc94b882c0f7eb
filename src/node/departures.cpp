// Departures of the servers beside this node. The store holds a departure before it is
// acknowledged, so that it outlives the loss of all processes. A process that starts reads it
// before its server gets calls, since a report that was sent before the departure may arrive
// seconds later.
#include <algorithm>

#include <fmt/format.h>

#include "base/hash.hpp"
#include "decide/membership/replication.hpp"
#include "node/control.hpp"
#include "observe/log.hpp"

namespace caraway {
namespace {

constexpr std::string_view departure_prefix = "caraway/departure/";

// The store removes a departure after this time. By then all late reports have arrived, also at a
// process that starts long after its predecessor.
constexpr std::chrono::minutes departure_retention{10};

// Upper bounds of the departures that are written at a time and of the requests that wait for one.
constexpr std::size_t max_pending_departures = 4;
constexpr std::size_t max_waiting_requests = 8;

// Returns the prefix of the keys of this instance's departures.
std::string own_prefix(const control& state) {
    return fmt::format("{}{}/", departure_prefix, state.m_settings.m_instance);
}

// Returns the key of a departure. Each has its own: a write whose reply was lost and that takes
// effect late doesn't replace a later departure.
std::string departure_key(const control& state, const std::string& value) {
    return fmt::format("{}{:016x}", own_prefix(state), hash_bytes(value));
}

// Returns the write of a departure that is in progress, or the end.
auto find_pending(std::vector<pending_departure>& pending, const server_departure& departure) {
    return std::find_if(pending.begin(), pending.end(), [&](const pending_departure& entry) {
        return entry.m_departure == departure;
    });
}

bool is_stored(const control& state, const server_departure& departure) {
    const auto& stored = state.m_departures.m_stored;
    return std::any_of(stored.begin(), stored.end(), [&](const stored_departure& entry) {
        return entry.m_departure == departure;
    });
}

// Remembers that the store holds a departure; the oldest ones are forgotten and written again if
// they are reported again.
void remember_stored(control& state, const server_departure& departure) {
    auto& stored = state.m_departures.m_stored;
    stored.push_back({departure, state.now()});
    if (stored.size() > max_departures) {
        stored.erase(stored.begin());
    }
}

// Returns whether the store holds a departure after this reply to its write. The key names the
// departure, so one that exists already holds it. A conflict without a revision says that the store
// was restored meanwhile and may have lost the write.
bool is_held(const store_reply& reply) {
    const bool exists = reply.m_kind == error_kind::store_conflict && reply.m_revision != 0;
    return reply.m_kind == error_kind::none || exists;
}

// Ends the write of a departure and tells those who wait for it.
void finish_write(control& state, const server_departure& departure, const store_reply& reply) {
    const bool stored = is_held(reply);
    log_event(stored ? log_level::info : log_level::warning, "departure_stored",
              {{"server", departure.m_server},
               {"stored", stored},
               {"reason", error_info_for(reply.m_kind).m_name}});
    if (stored) {
        remember_stored(state, departure);
    }
    auto& pending = state.m_departures.m_pending;
    const auto written = find_pending(pending, departure);
    if (written == pending.end()) {
        return;
    }
    const std::vector<departure_callback> waiting = std::move(written->m_waiting);
    pending.erase(written);
    for (const departure_callback& done : waiting) {
        done(stored);
    }
}

// Writes a departure under a lease that is not renewed, so that the store removes it.
void write_departure(control& state, const server_departure& departure) {
    state.m_store->create_lease(
        departure_retention, [&state, departure](const store_reply& created) {
            if (created.m_kind != error_kind::none) {
                finish_write(state, departure, created);
                return;
            }
            const std::string value = encode_departure(departure);
            state.m_store->put(departure_key(state, value), value, 0, created.m_lease,
                               [&state, departure](const store_reply& reply) {
                                   finish_write(state, departure, reply);
                               });
        });
}

// Sends this node's entry, which names the last departure, to some members. A process that starts
// while the store doesn't answer learns of it from them.
void copy_to_members(control& state) {
    for (const ip_endpoint& replica : choose_replicas(state.m_members, state.m_random)) {
        send_bulk(state, replica, merge_members_request{{state.m_members.m_self}},
                  [](const std::optional<bulk_reply>&) {});
    }
}

// Adopts the departures that the store holds for this instance.
void adopt_departures(control& state, const std::vector<store_entry>& entries) {
    member& self = state.m_members.m_self;
    for (const store_entry& entry : entries) {
        const auto departure = decode_departure(entry.m_value);
        if (!departure) {
            log_event(log_level::error, "departure_malformed", {{"key", entry.m_key}});
            continue;
        }
        log_event(log_level::info, "departure_read", {{"server", departure->m_server}});
        self.m_departure = later_departure(self.m_departure, *departure);
        apply_departure(state.m_own_server, *departure, state.now());
        remember_stored(state, *departure);
    }
    if (!entries.empty()) {
        perform(state, membership_update_self(state.m_members, true, state.now()));
    }
}

// Asks the store for the departures that the predecessors of this process have acknowledged.
void read_departures(control& state, time_point now) {
    departure_role& role = state.m_departures;
    role.m_read_pending = true;
    if (!role.m_predecessors.m_requested) {
        role.m_predecessors.m_requested = now;
    }
    state.m_store->list(own_prefix(state), [&state](const store_reply& reply) {
        departure_role& current_role = state.m_departures;
        current_role.m_read_pending = false;
        if (reply.m_kind != error_kind::none) {
            const auto spread = static_cast<std::uint64_t>(store_retry_pause.count());
            current_role.m_read_at =
                state.now() + store_retry_pause / 2 + milliseconds(state.m_random.below(spread));
            return;
        }
        adopt_departures(state, reply.m_entries);
        current_role.m_predecessors.m_read = true;
    });
}

// Schedules the first request once this node has a configuration, so that the requests of a
// starting mesh don't delay the configuration.
void schedule_first_read(control& state, time_point now) {
    departure_role& role = state.m_departures;
    if (role.m_read_at || state.m_distribution.m_texts.empty()) {
        return;
    }
    const double random = static_cast<double>(state.m_random.below(1'000)) / 1'000;
    role.m_read_at = now + departure_request_delay(role.m_predecessors.m_member_told,
                                                   state.m_members.m_members.size(), random);
}

// Puts the knowledge of the predecessors' departures in force, unless it is already or there is
// none yet. If it rests on time, reports that arrived until now may have been sent to a
// predecessor.
void finish_learning(control& state, departure_source source) {
    if (state.m_departures.m_known || source == departure_source::none) {
        return;
    }
    state.m_departures.m_known = true;
    if (source == departure_source::time) {
        forget_report(state.m_own_server);
    }
    log_event(log_level::info, "departures_known", {{"source", departure_source_name(source)}});
}

// Writes the departures again that were acknowledged so recently that late reports of their servers
// may arrive, if a restoration of the store has lost them.
void write_again_after_restoration(control& state, time_point now) {
    departure_role& role = state.m_departures;
    const std::uint64_t era = state.m_store->era();
    if (role.m_era == era) {
        return;
    }
    role.m_era = era;
    const std::vector<stored_departure> stored = std::move(role.m_stored);
    role.m_stored.clear();
    for (const stored_departure& entry : stored) {
        if (now - entry.m_stored_at <= max_report_delay) {
            store_departure(state, entry.m_departure, [](bool) {});
        }
    }
}

} // namespace

void store_departure(control& state, const server_departure& departure, departure_callback done) {
    departure_role& role = state.m_departures;
    if (is_stored(state, departure)) {
        done(true);
        return;
    }
    const auto pending = find_pending(role.m_pending, departure);
    if (pending != role.m_pending.end()) {
        if (pending->m_waiting.size() >= max_waiting_requests) {
            done(false);
        } else {
            pending->m_waiting.push_back(std::move(done));
        }
        return;
    }
    if (role.m_pending.size() >= max_pending_departures) {
        done(false);
        return;
    }
    role.m_pending.push_back({departure, {std::move(done)}});
    copy_to_members(state);
    write_departure(state, departure);
}

void tick_departures(control& state, time_point now) {
    if (state.m_settings.m_reports.m_port == 0) {
        return;
    }
    departure_role& role = state.m_departures;
    write_again_after_restoration(state, now);
    role.m_predecessors.m_joined = state.m_join.m_complete || state.m_join.m_no_member_found;
    if (role.m_predecessors.m_read || now - state.m_members.m_started > max_report_delay) {
        finish_learning(state, departures_known_by(role.m_predecessors, now));
        return;
    }
    const member& self = state.m_members.m_self;
    role.m_predecessors.m_member_told = self.m_first_incarnation < role.m_start_incarnation;
    schedule_first_read(state, now);
    if (!role.m_read_pending && role.m_read_at && now >= *role.m_read_at) {
        read_departures(state, now);
    }
    finish_learning(state, departures_known_by(role.m_predecessors, now));
}

} // namespace caraway
