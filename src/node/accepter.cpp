// The accepter: judges submitted texts and stores the accepted ones. docs/design.md, section 6,
// says in which order the values are written.
#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "base/hash.hpp"
#include "node/control.hpp"
#include "observe/log.hpp"

namespace caraway {
namespace {

// Values removed in one pass. A pass a few versions finds some 16; the rest of more waits for the
// next, so that removals don't use up the store's writes.
constexpr std::size_t max_removals = 64;

// Forgets what was read, so that the next step reads the store again before it decides.
void reset_accepter(accepter_role& role, time_point retry_at) {
    role.m_call_pending = false;
    role.m_accepted_read = false;
    role.m_text_revision = 0; // judged again; decide_acceptance skips what has been decided
    role.m_retry_at = retry_at;
}

std::string encode_refusal(std::uint64_t revision, const std::vector<text_fault>& faults) {
    boost::json::array list;
    for (const text_fault& fault : faults) {
        list.push_back(boost::json::object{{"line", fault.m_line},
                                           {"column", fault.m_column},
                                           {"found", fault.m_found},
                                           {"expected", fault.m_expected}});
    }
    return boost::json::serialize(
        boost::json::object{{"source_revision", revision}, {"faults", std::move(list)}});
}

void write_refusal(control& state, std::uint64_t revision, const std::vector<text_fault>& faults) {
    log_event(log_level::warning, "text_refused",
              {{"source_revision", revision},
               {"faults", static_cast<std::uint64_t>(faults.size())},
               {"first", faults.empty() ? std::string{} : format_fault("text", faults.front())}});
    state.m_store->put(refused_key, encode_refusal(revision, faults), std::nullopt, {},
                       [&state, revision](const store_reply& reply) {
                           accepter_role& role = state.m_accepter;
                           if (reply.m_kind != error_kind::none) {
                               reset_accepter(role, state.now() + store_retry_pause);
                               return;
                           }
                           role.m_call_pending = false;
                           role.m_refused_revision = revision;
                       });
}

// The commit point: whoever wins this compare-and-swap has decided the version. Whatever the
// reply, the accepted record is read again before the next decision, so a lost reply needs no
// case of its own.
void commit_accepted(control& state, const accepted_record& record) {
    if (!lease_held(state.m_accepter.m_lease.m_keeper, state.now())) {
        reset_accepter(state.m_accepter, state.now());
        return;
    }
    state.m_store->put(accepted_key, encode_accepted(record), state.m_accepter.m_accepted_revision,
                       {}, [&state, record](const store_reply& reply) {
                           log_event(log_level::info, "text_accepted",
                                     {{"version", record.m_version},
                                      {"source_revision", record.m_source_revision},
                                      {"result", answer_for(reply.m_kind).m_name}});
                           accepter_role& role = state.m_accepter;
                           if (reply.m_kind != error_kind::none) {
                               reset_accepter(role, state.now() + store_retry_pause);
                               return;
                           }
                           role.m_call_pending = false;
                           role.m_accepted_read = false;
                       });
}

// Writes the difference from the latest whole text. A text stored whole needs none, so a failure
// then doesn't stop the acceptance: readers read the whole text. Overwrites what a dead accepter
// left under the key, which names the content.
void write_delta(control& state, const accepted_record& record, const std::string& delta) {
    if (delta.empty()) {
        commit_accepted(state, record);
        return;
    }
    state.m_store->put(delta_key(record.m_version, record.m_hash), delta, std::nullopt, {},
                       [&state, record](const store_reply& reply) {
                           if (reply.m_kind != error_kind::none && record.m_base.m_version != 0) {
                               reset_accepter(state.m_accepter, state.now() + store_retry_pause);
                               return;
                           }
                           commit_accepted(state, record);
                       });
}

void write_whole(control& state, const accepted_record& record, std::string_view text,
                 std::string delta) {
    state.m_store->put(text_key(record.m_version, record.m_hash),
                       store_whole_text(record.m_version, record.m_hash, text), 0, {},
                       [&state, record, delta = std::move(delta)](const store_reply& reply) {
                           // The key names the content, so a text found there is this text.
                           if (reply.m_kind != error_kind::none &&
                               reply.m_kind != error_kind::store_conflict) {
                               reset_accepter(state.m_accepter, state.now() + store_retry_pause);
                               return;
                           }
                           write_delta(state, record, delta);
                       });
}

// The text's difference from the latest whole text; empty if that isn't held here or if the
// difference doesn't restore the text.
std::string make_delta(const control& state, const accepted_record& record, const text_name& base,
                       std::string_view text) {
    const auto base_text = find_text(state, base.m_version);
    if (!base_text || hash_bytes(*base_text) != base.m_hash) {
        return {};
    }
    const packed_text packed =
        pack_text(record.m_version, record.m_hash, text, base.m_version, *base_text);
    error reason;
    return unpack_text(packed, *base_text, reason) ? encode_stored_text(packed) : std::string{};
}

// Writes the text, whole or as a delta, then the record.
void write_accepted(control& state, accepted_record record, const std::string& text) {
    accepter_role& role = state.m_accepter;
    text_name base = role.m_accepted ? whole_text_of(*role.m_accepted) : text_name{};
    std::string delta = base.m_version == 0 ? std::string{} : make_delta(state, record, base, text);
    if (delta.empty()) {
        base = {};
    }
    role.m_written_text = std::make_shared<const std::string>(text);
    if (!stores_whole(record.m_version, base.m_version, delta.size(), text.size())) {
        record.m_base = base;
        write_delta(state, record, delta);
        return;
    }
    if (!is_small_delta(delta.size(), text.size())) {
        delta.clear();
    }
    write_whole(state, record, text, std::move(delta));
}

void judge_text(control& state, const std::string& text, std::uint64_t revision) {
    accepter_role& role = state.m_accepter;
    const acceptance_decision decision = decide_acceptance(
        text, revision, role.m_accepted, role.m_accepted_mesh.get(), role.m_refused_revision,
        state.m_settings.m_instance, state.m_clock.wall_now());
    role.m_text_revision = revision;
    switch (decision.m_kind) {
    case acceptance_decision::kind::nothing:
        role.m_call_pending = false;
        break;
    case acceptance_decision::kind::accept:
        write_accepted(state, *decision.m_record, text);
        break;
    case acceptance_decision::kind::refuse:
        write_refusal(state, revision, decision.m_faults);
        break;
    }
}

void read_text(control& state) {
    state.m_store->get(text_store_key, [&state](const store_reply& reply) {
        if (reply.m_kind != error_kind::none) {
            reset_accepter(state.m_accepter, state.now() + store_retry_pause);
            return;
        }
        judge_text(state, reply.m_value, reply.m_revision);
    });
}

void learn_submitted(control& state, const submitted_revisions& seen);

// Takes the difference that carawayctl has written after the text. It names the text's revision in
// place of a version. One that names an older text was written late, after another text.
void take_text_delta(control& state, const submitted_revisions& seen, const store_reply& reply) {
    error reason;
    const auto delta = decode_stored_text(reply.m_value, reason);
    // A text always has a lower revision than its difference; a higher one named by mistake would
    // keep all later texts from being judged.
    if (!delta || delta->m_version < seen.m_text || delta->m_version >= reply.m_revision) {
        state.m_accepter.m_unusable_delta_revision = seen.m_delta;
        learn_submitted(state, seen);
        return;
    }
    const auto base = delta->m_base_version == 0 ? std::make_shared<const std::string>()
                                                 : find_text(state, delta->m_base_version);
    const auto text = base ? unpack_text(*delta, *base, reason) : std::nullopt;
    if (!text) {
        read_text(state);
        return;
    }
    judge_text(state, *text, delta->m_version);
}

void read_text_delta(control& state, const submitted_revisions& seen) {
    state.m_store->get(text_delta_store_key, [&state, seen](const store_reply& reply) {
        if (reply.m_kind != error_kind::none) {
            reset_accepter(state.m_accepter, state.now() + store_retry_pause);
            return;
        }
        take_text_delta(state, seen, reply);
    });
}

void check_text_revision(control& state);

void wait_for_delta(control& state) {
    const accepter_role& role = state.m_accepter;
    const auto left = std::chrono::duration_cast<milliseconds>(role.m_latest_text_seen_at +
                                                               submitted_delta_wait - state.now());
    state.m_store->watch_keys(text_store_key, role.m_listed_revision,
                              std::max(left, milliseconds{1}), [&state](const store_reply& reply) {
                                  if (reply.m_kind != error_kind::none) {
                                      reset_accepter(state.m_accepter,
                                                     state.now() + store_retry_pause);
                                      return;
                                  }
                                  check_text_revision(state);
                              });
}

// Goes on with the submitted text, given the revisions that the store holds. Only a new text is
// read; it may be near a megabyte.
void learn_submitted(control& state, const submitted_revisions& seen) {
    accepter_role& role = state.m_accepter;
    if (seen.m_text != role.m_latest_text_revision) {
        role.m_latest_text_revision = seen.m_text;
        role.m_latest_text_seen_at = state.now();
    }
    const std::uint64_t decided =
        std::max(role.m_refused_revision, role.m_accepted ? role.m_accepted->m_source_revision : 0);
    switch (choose_source(seen, role.m_text_revision, decided, role.m_unusable_delta_revision,
                          state.now() - role.m_latest_text_seen_at)) {
    case text_source::nothing:
        role.m_call_pending = false;
        break;
    case text_source::delta:
        read_text_delta(state, seen);
        break;
    case text_source::wait:
        wait_for_delta(state);
        break;
    case text_source::whole:
        read_text(state);
        break;
    }
}

void check_text_revision(control& state) {
    state.m_store->list_keys(text_store_key, [&state](const store_reply& reply) {
        accepter_role& role = state.m_accepter;
        if (reply.m_kind != error_kind::none) {
            reset_accepter(role, state.now() + store_retry_pause);
            return;
        }
        submitted_revisions seen;
        for (const store_entry& entry : reply.m_entries) {
            if (entry.m_key == text_store_key) {
                seen.m_text = entry.m_revision;
            } else if (entry.m_key == text_delta_store_key) {
                seen.m_delta = entry.m_revision;
            }
        }
        role.m_listed_revision = std::max(seen.m_text, seen.m_delta);
        learn_submitted(state, seen);
    });
}

// Removes the values that are no longer needed once a text is committed that is stored whole. Finds
// them in the store, so that those of dead accepters go too; what stays through a failure goes the
// next time.
void remove_old_texts(control& state, const accepted_record& committed) {
    state.m_store->list_keys(accepted_prefix, [&state, committed](const store_reply& reply) {
        std::size_t removals = 0;
        for (const store_entry& entry : reply.m_entries) {
            if (removals < max_removals && is_removable(entry.m_key, committed)) {
                ++removals;
                state.m_store->remove(entry.m_key, entry.m_revision, [](const store_reply&) {});
            }
        }
    });
}

// Removes the record of a move unless it has been replaced by that of a later move.
void remove_record(control& state, const std::string& service, const std::string& id) {
    const std::string key = std::string(state.m_adapter.m_move_prefix) + service;
    state.m_store->get(key, [&state, key, id](const store_reply& reply) {
        const auto record = reply.m_kind == error_kind::none
                                ? decode_move(reply.m_value, reply.m_revision)
                                : std::nullopt;
        if (record && record->m_move_id == id) {
            state.m_store->remove(key, record->m_revision, [](const store_reply&) {});
        }
    });
}

// Removes the records of moves that the accepted text no longer names; their verdicts stay. Readers
// read all records every 10 s, so that old ones would cost bytes for ever.
void remove_ended_moves(control& state, const mesh& before, const mesh& after) {
    for (const auto& [name, service] : before.m_services) {
        const auto now = after.m_services.find(name);
        const bool moving = now != after.m_services.end() && now->second.m_move;
        if (service.m_move && !moving) {
            remove_record(state, name, move_id(name, *service.m_move));
        }
    }
}

void take_accepted_text(control& state, std::shared_ptr<const std::string> text) {
    accepter_role& role = state.m_accepter;
    std::vector<text_fault> faults;
    auto parsed = parse_mesh(*text, wall_time{}, nullptr, faults);
    if (parsed && role.m_accepted_mesh) {
        remove_ended_moves(state, *role.m_accepted_mesh, *parsed);
    }
    role.m_accepted_mesh = parsed ? std::make_shared<const mesh>(std::move(*parsed)) : nullptr;
    role.m_accepted_text = std::move(text);
    role.m_accepted_text_version = role.m_accepted->m_version;
    role.m_accepted_read = true;
    if (role.m_accepted->m_base.m_version == 0) {
        state.m_whole_text =
            config_text{role.m_accepted->m_version, role.m_accepted->m_hash, role.m_accepted_text};
        remove_old_texts(state, *role.m_accepted);
    }
    check_text_revision(state);
}

// Finds the text of the accepted record, against which the next text is judged: as read or
// written before, as held for distribution, or in the store.
void find_accepted_text(control& state) {
    accepter_role& role = state.m_accepter;
    const accepted_record& record = *role.m_accepted;
    if (role.m_accepted_text && role.m_accepted_text_version == record.m_version &&
        hash_bytes(*role.m_accepted_text) == record.m_hash) {
        role.m_accepted_read = true;
        check_text_revision(state);
        return;
    }
    if (role.m_written_text && hash_bytes(*role.m_written_text) == record.m_hash) {
        take_accepted_text(state, std::move(role.m_written_text));
        return;
    }
    const auto held = state.m_distribution.m_texts.find(record.m_version);
    if (held != state.m_distribution.m_texts.end() && held->second.m_hash == record.m_hash) {
        take_accepted_text(state, held->second.m_text);
        return;
    }
    read_stored_text(state, record,
                     [&state](error_kind kind, std::shared_ptr<const std::string> text) {
                         if (kind != error_kind::none) {
                             reset_accepter(state.m_accepter, state.now() + store_retry_pause);
                             return;
                         }
                         take_accepted_text(state, std::move(text));
                     });
}

void read_accepted(control& state) {
    state.m_store->get(accepted_key, [&state](const store_reply& reply) {
        accepter_role& role = state.m_accepter;
        error reason;
        if (reply.m_kind == error_kind::store_not_found) {
            role.m_accepted.reset();
            role.m_accepted_mesh.reset();
            role.m_accepted_text.reset();
            role.m_accepted_revision = 0;
            role.m_accepted_read = true;
            check_text_revision(state);
            return;
        }
        role.m_accepted = reply.m_kind == error_kind::none ? decode_accepted(reply.m_value, reason)
                                                           : std::nullopt;
        if (!role.m_accepted) {
            reset_accepter(role, state.now() + store_retry_pause);
            return;
        }
        role.m_accepted_revision = reply.m_revision;
        find_accepted_text(state);
    });
}

void watch_text(control& state) {
    accepter_role& role = state.m_accepter;
    state.m_store->watch_keys(text_store_key, role.m_listed_revision, list_interval,
                              [&state](const store_reply& reply) {
                                  accepter_role& accepter = state.m_accepter;
                                  accepter.m_call_pending = false;
                                  if (reply.m_kind != error_kind::none) {
                                      reset_accepter(accepter, state.now() + store_retry_pause);
                                      return;
                                  }
                                  // Read again after every watch, since a watch can miss events.
                                  accepter.m_accepted_read = false;
                              });
}

} // namespace

void tick_accepter(control& state, time_point now) {
    accepter_role& role = state.m_accepter;
    const bool candidate =
        refresh_candidate(state, role.m_lease, now, [](const member&) { return true; });
    run_lease(state, role.m_lease, !state.m_leaving && (role.m_lease.m_keeper.m_held || candidate));
    if (!lease_held(role.m_lease.m_keeper, now)) {
        if (!role.m_call_pending) {
            reset_accepter(role, now);
        }
        return;
    }
    if (role.m_call_pending || now < role.m_retry_at) {
        return;
    }
    role.m_call_pending = true;
    if (!role.m_accepted_read) {
        read_accepted(state);
    } else {
        watch_text(state);
    }
}

} // namespace caraway
