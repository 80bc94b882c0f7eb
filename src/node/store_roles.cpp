#include "base/hash.hpp"
#include "node/control.hpp"
#include "node/recorded.hpp"
#include "observe/log.hpp"

namespace caraway {
namespace {

// How often a role's candidates are worked out anew.
constexpr milliseconds candidate_interval{1'000};
// How long a watch waits at the store.
constexpr milliseconds watch_wait{20'000};

void finish_lease_call(control& state, lease_role& role, const store_reply& reply) {
    role.m_call_pending = false;
    settle_lease(role.m_keeper, {reply.m_kind, reply.m_lease, reply.m_revision, reply.m_value},
                 state.now());
}

void take_text(control& state, const accepted_record& record, std::string text) {
    if (hash_bytes(text) != record.m_hash) {
        return; // the next list tries again
    }
    perform(state, decide_store_read(
                       state, config_text{record.m_version, record.m_hash,
                                          std::make_shared<const std::string>(std::move(text))}));
}

// Takes over what a list or watch of the state prefix returned.
void learn_entries(control& state, const std::vector<store_entry>& entries) {
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
        } else if (entry.m_key.starts_with(state.m_adapter.m_move_prefix)) {
            if (auto record = state.m_adapter.m_decode_move(entry.m_value, entry.m_revision)) {
                records.push_back(std::move(*record));
            }
        }
    }
    merge_facts(state, {}, records, true);
}

// Joins with entry points that are not live members, so that parts of the mesh that lost each
// other for longer than dead members are remembered find together again.
void reunite(control& state) {
    state.m_store->list(entry_point_prefix, [&state](const store_reply& reply) {
        std::set<ip_endpoint> known{state.m_settings.m_announce_bulk};
        for (const member* each : live_members(state.m_members)) {
            known.insert(each->m_bulk);
        }
        for (const store_entry& entry : reply.m_entries) {
            const auto address = parse_endpoint(entry.m_value);
            if (address && !known.contains(*address)) {
                join_through(state, *address);
            }
        }
    });
}

void list_state(control& state, reader_role& role, time_point now) {
    role.m_call_pending = true;
    state.m_store->list(state_prefix, [&state, &role](const store_reply& reply) {
        role.m_call_pending = false;
        const time_point at = state.now();
        if (reply.m_kind != error_kind::none) {
            role.m_retry_at = at + store_retry_pause;
            return;
        }
        role.m_listed = true;
        role.m_watch_revision = reply.m_revision;
        role.m_next_list = at + list_interval;
        learn_entries(state, reply.m_entries);
    });
    if (now >= role.m_next_list) {
        reunite(state);
    }
}

void watch_state(control& state, reader_role& role) {
    role.m_call_pending = true;
    const auto wait =
        std::clamp(std::chrono::duration_cast<milliseconds>(role.m_next_list - state.now()),
                   milliseconds{100}, watch_wait);
    state.m_store->watch(
        state_prefix, role.m_watch_revision, wait, [&state, &role](const store_reply& reply) {
            role.m_call_pending = false;
            if (reply.m_kind != error_kind::none) {
                role.m_retry_at = state.now() + store_retry_pause;
                role.m_listed = false;
                return;
            }
            role.m_watch_revision = std::max(role.m_watch_revision, reply.m_revision);
            learn_entries(state, reply.m_entries);
        });
}

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

// Joins again when the reader lease is held by an instance that is not in the member table.
// Instances that started in a partition and joined only each other stayed apart after it had
// healed: those of them that try for the lease, as they all do in a small table, learn here of the
// others.
void notice_unknown_holder(control& state, lease_keeper& keeper) {
    const std::string_view holder = other_holder(keeper);
    if (holder.empty() || holder == state.m_settings.m_instance ||
        state.m_members.m_members.contains(holder)) {
        return;
    }
    log_event(log_level::info, "unknown_holder", {{"lease", keeper.m_key}, {"holder", holder}});
    state.m_join.m_complete = false;
    keeper.m_other_value.clear();
}

void tick_reader(control& state, reader_role& role, time_point now) {
    const std::string& own = state.m_settings.m_data_centre;
    const bool candidate = refresh_candidate(
        state, role.m_lease, now, [&own](const member& m) { return m.m_data_centre == own; });
    // One instance holds at most one of the two reader leases of its data centre while others
    // could take the second.
    bool holds_other = false;
    for (const auto& other : state.m_readers) {
        holds_other = holds_other || (other.get() != &role &&
                                      other->m_lease.m_keeper.m_phase != lease_phase::idle);
    }
    const bool wanted =
        !state.m_leaving && (role.m_lease.m_keeper.m_held || (candidate && !holds_other));
    run_lease(state, role.m_lease, wanted);
    if (!lease_held(role.m_lease.m_keeper, now)) {
        notice_unknown_holder(state, role.m_lease.m_keeper);
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
    const auto held = texts.find(record.m_version);
    if (held != texts.end()) {
        take_text(state, record, *held->second.m_text);
        return;
    }
    read_stored_text(state, record,
                     [&state, record](error_kind kind, std::shared_ptr<const std::string> text) {
                         if (kind == error_kind::none) {
                             take_text(state, record, *text);
                         }
                     });
}

void run_lease(control& state, lease_role& role, bool wanted) {
    const time_point now = state.now();
    const bool held = lease_held(role.m_keeper, now);
    if (held != role.m_was_held) {
        role.m_was_held = held;
        log_event(log_level::info, held ? "lease_won" : "lease_ended",
                  {{"lease", role.m_keeper.m_key}});
    }
    if (role.m_call_pending) {
        return;
    }
    lease_keeper& keeper = role.m_keeper;
    const auto done = [&state, &role](const store_reply& reply) {
        finish_lease_call(state, role, reply);
    };
    const lease_request request = decide_lease(keeper, wanted, now);
    role.m_call_pending = request != lease_request::none;
    switch (request) {
    case lease_request::none:
        break;
    case lease_request::create:
        state.m_store->create_lease(keeper.m_period, done);
        break;
    case lease_request::claim:
        state.m_store->put(keeper.m_key, lease_claim_value(keeper), 0, keeper.m_lease, done);
        break;
    case lease_request::renew:
        state.m_store->renew_lease(keeper.m_lease, done);
        break;
    case lease_request::read_back:
        state.m_store->get(keeper.m_key, done);
        break;
    case lease_request::release:
        state.m_store->end_lease(keeper.m_lease, done);
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
