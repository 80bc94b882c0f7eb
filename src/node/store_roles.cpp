// Store calls for the leases of a node's roles, and the reader role. Readers watch the accepted
// state and serve as entry points.
#include <fmt/format.h>

#include "base/hash.hpp"
#include "node/control.hpp"
#include "node/recorded.hpp"
#include "observe/log.hpp"

namespace caraway {
namespace {

// How often a node determines again whether it is a candidate for a role.
constexpr milliseconds candidate_interval{1'000};

// Returns a key that no other claim of a lease has, or nothing where the store can't write it.
std::string make_fence_key(control& state, const lease_keeper& keeper) {
    if (!state.m_adapter.m_store_codec.m_has_fences) {
        return {};
    }
    return fmt::format("{}/{}-{:016x}", keeper.m_key, state.m_settings.m_instance,
                       state.m_random());
}

// Applies the reply to a store call of a lease.
void finish_lease_call(control& state, lease_role& role, const store_reply& reply) {
    role.m_call_pending = false;
    apply_lease_reply(role.m_keeper, {reply.m_kind, reply.m_lease, reply.m_revision, reply.m_value},
                      state.now());
}

// Passes the text of the accepted record to the distribution if it matches the record's hash.
void apply_accepted_text(control& state, const accepted_record& record, std::string text) {
    if (hash_bytes(text) != record.m_hash) {
        return; // the next list reads it again
    }
    perform(state, decide_store_read(
                       state, config_text{record.m_version, record.m_hash,
                                          std::make_shared<const std::string>(std::move(text))}));
}

// Applies the accepted record and the records of moves that a list or watch of the state prefix
// returned.
void apply_state_entries(control& state, const std::vector<store_entry>& entries) {
    std::vector<move_record> records;
    for (const store_entry& entry : entries) {
        if (entry.m_deleted) {
            continue;
        }
        if (entry.m_key == accepted_key) {
            error reason;
            if (const auto record = decode_accepted(entry.m_value, reason)) {
                adopt_accepted_record(state, *record);
            } else {
                log_event(log_level::error, "accepted_record_malformed",
                          {{"reason", reason.m_text}});
            }
        } else if (entry.m_key.starts_with(state.m_adapter.m_move_key_prefix)) {
            if (auto record = state.m_adapter.m_decode_move(entry.m_value, entry.m_revision)) {
                records.push_back(std::move(*record));
            }
        }
    }
    merge_facts(state, {}, records, true);
}

// Joins through entry points that are not live members. This merges the two sides of a partition
// that lasted longer than dead members are remembered.
void join_unknown_entry_points(control& state) {
    state.m_store->list(entry_point_prefix, [&state](const store_reply& reply) {
        std::set<ip_endpoint> known_addresses{state.m_settings.m_announce_bulk};
        for (const member* live_member : live_members(state.m_members)) {
            known_addresses.insert(live_member->m_bulk);
        }
        for (const store_entry& entry : reply.m_entries) {
            const auto address = parse_endpoint(entry.m_value);
            if (address && !known_addresses.contains(*address)) {
                join_through(state, *address);
            }
        }
    });
}

// Reads all entries of the state prefix. At the regular interval, also looks for unknown entry
// points.
void list_state(control& state, reader_role& role, time_point now) {
    role.m_call_pending = true;
    state.m_store->list(state_prefix, [&state, &role](const store_reply& reply) {
        role.m_call_pending = false;
        const time_point replied_at = state.now();
        if (reply.m_kind != error_kind::none) {
            role.m_retry_at = replied_at + store_retry_pause;
            return;
        }
        role.m_listed = true;
        role.m_watch_revision = reply.m_revision;
        role.m_next_list = replied_at + list_interval;
        apply_state_entries(state, reply.m_entries);
    });
    if (now >= role.m_next_list) {
        join_unknown_entry_points(state);
    }
}

// Waits for changes below the state prefix until the next list is due, for at most
// `store_watch_wait`.
void watch_state(control& state, reader_role& role) {
    role.m_call_pending = true;
    const auto timeout =
        std::clamp(std::chrono::duration_cast<milliseconds>(role.m_next_list - state.now()),
                   milliseconds{100}, store_watch_wait);
    state.m_store->watch(
        state_prefix, role.m_watch_revision, timeout, [&state, &role](const store_reply& reply) {
            role.m_call_pending = false;
            if (reply.m_kind != error_kind::none) {
                role.m_retry_at = state.now() + store_retry_pause;
                role.m_listed = false;
                return;
            }
            role.m_watch_revision = std::max(role.m_watch_revision, reply.m_revision);
            apply_state_entries(state, reply.m_entries);
        });
}

// Writes this node's address as an entry point under the reader's lease. The reader is active once
// this succeeds.
void write_entry_point(control& state, reader_role& role) {
    role.m_call_pending = true;
    state.m_store->put(
        role.m_entry_key, format_endpoint(state.m_settings.m_announce_bulk), std::nullopt,
        role.m_lease.m_keeper.m_lease, [&state, &role](const store_reply& reply) {
            role.m_call_pending = false;
            role.m_active = reply.m_kind == error_kind::none;
            role.m_retry_at = state.now() + (role.m_active ? milliseconds{0} : store_retry_pause);
        });
}

// Joins the mesh again when the reader lease is held by an instance that is not in the member
// table. Without this, instances that started in a partition and joined only each other stayed
// separate after it had healed. Only candidates for the lease learn who holds it; in a group of up
// to lease_candidates members, each one is a candidate.
void rejoin_on_unknown_holder(control& state, lease_keeper& keeper) {
    const std::string_view holder = other_holder(keeper);
    if (holder.empty() || holder == state.m_settings.m_instance ||
        state.m_members.m_members.contains(holder)) {
        return;
    }
    log_event(log_level::info, "unknown_holder", {{"lease", keeper.m_key}, {"holder", holder}});
    state.m_join.m_complete = false;
    keeper.m_other_holder_value.clear();
}

// Drives a reader: its lease, its entry point and its watch of the accepted state.
void tick_reader(control& state, reader_role& role, time_point now) {
    const std::string& own_data_centre = state.m_settings.m_data_centre;
    const bool candidate =
        refresh_candidate(state, role.m_lease, now, [&own_data_centre](const member& m) {
            return m.m_data_centre == own_data_centre;
        });
    // An instance doesn't compete for a reader lease while it holds or competes for the other one
    // of its data centre, so that two instances read.
    bool holds_other = false;
    for (const auto& other : state.m_readers) {
        holds_other = holds_other || (other.get() != &role &&
                                      other->m_lease.m_keeper.m_phase != lease_phase::idle);
    }
    const bool wanted =
        !state.m_leaving && (role.m_lease.m_keeper.m_held || (candidate && !holds_other));
    run_lease(state, role.m_lease, wanted);
    if (!lease_held(role.m_lease.m_keeper, now)) {
        rejoin_on_unknown_holder(state, role.m_lease.m_keeper);
        role.m_active = false;
        role.m_listed = false;
        return;
    }
    if (role.m_call_pending || now < role.m_retry_at) {
        return;
    }
    if (!role.m_active) {
        write_entry_point(state, role);
    } else if (!role.m_listed || now >= role.m_next_list) {
        list_state(state, role, now);
    } else {
        watch_state(state, role);
    }
}

} // namespace

bool refresh_candidate(control& state, lease_role& role, time_point now,
                       const std::function<bool(const member&)>& filter) {
    if (now >= role.m_next_check) {
        role.m_next_check = now + candidate_interval;
        role.m_candidate = is_candidate(state, role.m_keeper.m_key, lease_candidates, filter);
    }
    return role.m_candidate;
}

void adopt_accepted_record(control& state, const accepted_record& record) {
    const auto& texts = state.m_distribution.m_texts;
    if (state.m_distribution.m_store_read && record.m_version <= state.m_distribution.m_applied) {
        return;
    }
    const auto held_text = texts.find(record.m_version);
    if (held_text != texts.end()) {
        apply_accepted_text(state, record, *held_text->second.m_text);
        return;
    }
    read_stored_text(state, record,
                     [&state, record](error_kind kind, std::shared_ptr<const std::string> text) {
                         if (kind == error_kind::none) {
                             apply_accepted_text(state, record, *text);
                         }
                     });
}

void run_lease(control& state, lease_role& role, bool wanted) {
    const time_point now = state.now();
    if (role.m_era != state.m_store->era()) {
        role.m_era = state.m_store->era();
        handle_lease_restoration(role.m_keeper, now);
    }
    const bool held = lease_held(role.m_keeper, now);
    if (held != role.m_logged_as_held) {
        role.m_logged_as_held = held;
        log_event(log_level::info, held ? "lease_won" : "lease_ended",
                  {{"lease", role.m_keeper.m_key}});
    }
    if (role.m_call_pending) {
        return;
    }
    lease_keeper& keeper = role.m_keeper;
    const auto on_reply = [&state, &role](const store_reply& reply) {
        finish_lease_call(state, role, reply);
    };
    const lease_request request = next_lease_request(keeper, wanted, now);
    role.m_call_pending = request != lease_request::none;
    switch (request) {
    case lease_request::none:
        break;
    case lease_request::create:
        role.m_fence_key = make_fence_key(state, keeper);
        state.m_store->create_lease(keeper.m_period, on_reply);
        break;
    case lease_request::claim:
        state.m_store->put_fenced(keeper.m_key, lease_claim_value(keeper), 0, keeper.m_lease,
                                  {role.m_fence_key, 0}, on_reply);
        break;
    case lease_request::renew:
        state.m_store->renew_lease(keeper.m_lease, on_reply);
        break;
    case lease_request::read_back:
        state.m_store->get(keeper.m_key, on_reply);
        break;
    case lease_request::release:
        state.m_store->end_lease(keeper.m_lease, on_reply);
        break;
    }
}

void tick_store_roles(control& state, time_point now) {
    for (const auto& reader : state.m_readers) {
        tick_reader(state, *reader, now);
    }
    tick_accepter(state, now);
}

void release_leases(control& state) {
    for (const auto& reader : state.m_readers) {
        run_lease(state, reader->m_lease, false);
    }
    run_lease(state, state.m_accepter.m_lease, false);
    if (state.m_move.m_lease) {
        run_lease(state, *state.m_move.m_lease, false);
    }
}

} // namespace caraway
