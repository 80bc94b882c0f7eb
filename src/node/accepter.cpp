// The accepter role: validates submitted configuration texts and stores the accepted ones.
// docs/design.md, section 6, specifies the order in which the values are written.
#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "base/hash.hpp"
#include "node/control.hpp"
#include "observe/log.hpp"

namespace caraway {
namespace {

// Maximum number of values removed in one pass. A pass follows each text stored in full, at least
// every eighth version, and finds about 16 values. Values above the limit are left for the next
// pass, so that removals don't use up the write capacity of the store.
constexpr std::size_t max_removals = 64;

// Discards what was read from the store, so that the next step reads the store again before it
// decides. The role makes no further call before `retry_at`.
void reset_accepter(accepter_role& role, time_point retry_at) {
    role.m_call_pending = false;
    role.m_accepted_read = false;
    role.m_text_revision = 0; // validated again; decide_acceptance skips decided texts
    role.m_retry_at = retry_at;
}

// Returns the stored form of a refusal: the revision of the submitted text and its faults.
std::string encode_refusal(std::uint64_t revision, const std::vector<text_fault>& faults) {
    boost::json::array fault_list;
    for (const text_fault& fault : faults) {
        fault_list.push_back(boost::json::object{{"line", fault.m_line},
                                                 {"column", fault.m_column},
                                                 {"found", fault.m_found},
                                                 {"expected", fault.m_expected}});
    }
    return boost::json::serialize(
        boost::json::object{{"source_revision", revision}, {"faults", std::move(fault_list)}});
}

// Logs the faults of a submitted text and writes them to the store for the submitter.
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

// Commits the accepted record by compare-and-swap: the accepter whose write succeeds decides the
// version. The record is read again before the next decision whatever the reply is, so a lost reply
// needs no special handling.
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
                                      {"result", error_info_for(reply.m_kind).m_name}});
                           accepter_role& role = state.m_accepter;
                           if (reply.m_kind != error_kind::none) {
                               reset_accepter(role, state.now() + store_retry_pause);
                               return;
                           }
                           role.m_call_pending = false;
                           role.m_accepted_read = false;
                       });
}

// Writes the delta from the latest text stored in full, then commits the record. If the new text is
// itself stored in full, a failed write of its delta doesn't stop the acceptance, since readers can
// read the full text. A value that a failed accepter left under the key is overwritten; it belongs
// to the same text, since the key contains the text's hash.
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

// Writes the full text, then its delta (which may be empty) and the record.
void write_full_text(control& state, const accepted_record& record, std::string_view text,
                     std::string delta) {
    state.m_store->put(text_key(record.m_version, record.m_hash),
                       encode_full_text(record.m_version, record.m_hash, text), 0, {},
                       [&state, record, delta = std::move(delta)](const store_reply& reply) {
                           // The key identifies the content, so a text that exists under it is this
                           // text.
                           if (reply.m_kind != error_kind::none &&
                               reply.m_kind != error_kind::store_conflict) {
                               reset_accepter(state.m_accepter, state.now() + store_retry_pause);
                               return;
                           }
                           write_delta(state, record, delta);
                       });
}

// Returns the encoded delta from the base, which is the latest text stored in full. The result is
// empty if this node doesn't hold the base or if the delta doesn't restore the new text.
std::string make_delta(const control& state, const accepted_record& record, const text_id& base,
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

// Stores the text, in full or as a delta, and then commits its record.
void write_accepted(control& state, accepted_record record, const std::string& text) {
    accepter_role& role = state.m_accepter;
    text_id base = role.m_accepted ? full_text_of(*role.m_accepted) : text_id{};
    std::string delta = base.m_version == 0 ? std::string{} : make_delta(state, record, base, text);
    if (delta.empty()) {
        base = {};
    }
    role.m_written_text = std::make_shared<const std::string>(text);
    if (!should_store_full(record.m_version, base.m_version, delta.size(), text.size())) {
        record.m_base = base;
        write_delta(state, record, delta);
        return;
    }
    if (!is_small_delta(delta.size(), text.size())) {
        delta.clear();
    }
    write_full_text(state, record, text, std::move(delta));
}

// Validates the text submitted at a store revision, unless it has been decided, and stores either
// the accepted text or the faults found.
void process_submitted_text(control& state, const std::string& text, std::uint64_t revision) {
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

// Reads and processes the full submitted text.
void read_submitted_text(control& state) {
    state.m_store->get(submitted_text_key, [&state](const store_reply& reply) {
        if (reply.m_kind != error_kind::none) {
            reset_accepter(state.m_accepter, state.now() + store_retry_pause);
            return;
        }
        process_submitted_text(state, reply.m_value, reply.m_revision);
    });
}

void process_submitted_revisions(control& state, const submitted_revisions& submitted);

// Restores the submitted text from the delta that carawayctl writes after it, and processes it.
// Reads the full text instead if it can't be restored. The version in the delta is the store
// revision of its text. A malformed delta is ignored, and so is one of an older text, which was
// written after another text had been submitted.
void apply_submitted_delta(control& state, const submitted_revisions& submitted,
                           const store_reply& reply) {
    error reason;
    const auto delta = decode_stored_text(reply.m_value, reason);
    // A text always has a lower revision than its delta. A delta that named a higher one by mistake
    // would prevent all later texts from being validated.
    if (!delta || delta->m_version < submitted.m_text_revision ||
        delta->m_version >= reply.m_revision) {
        state.m_accepter.m_unusable_delta_revision = submitted.m_delta_revision;
        process_submitted_revisions(state, submitted);
        return;
    }
    const auto base = delta->m_base_version == 0 ? std::make_shared<const std::string>()
                                                 : find_text(state, delta->m_base_version);
    const auto text = base ? unpack_text(*delta, *base, reason) : std::nullopt;
    if (!text) {
        read_submitted_text(state);
        return;
    }
    process_submitted_text(state, *text, delta->m_version);
}

// Reads the submitted delta and processes the text restored from it.
void read_submitted_delta(control& state, const submitted_revisions& submitted) {
    state.m_store->get(submitted_delta_key, [&state, submitted](const store_reply& reply) {
        if (reply.m_kind != error_kind::none) {
            reset_accepter(state.m_accepter, state.now() + store_retry_pause);
            return;
        }
        apply_submitted_delta(state, submitted, reply);
    });
}

void check_submitted_revisions(control& state);

// Waits until the submitted keys change or `submitted_delta_wait` has passed since the text was
// first seen, then checks the revisions again.
void wait_for_submitted_delta(control& state) {
    const accepter_role& role = state.m_accepter;
    const auto remaining = std::chrono::duration_cast<milliseconds>(
        role.m_latest_text_seen_at + submitted_delta_wait - state.now());
    state.m_store->watch_keys(
        submitted_text_key, role.m_listed_revision, std::max(remaining, milliseconds{1}),
        [&state](const store_reply& reply) {
            if (reply.m_kind != error_kind::none) {
                reset_accepter(state.m_accepter, state.now() + store_retry_pause);
                return;
            }
            check_submitted_revisions(state);
        });
}

// Chooses how to obtain the submitted text, given the revisions in the store, and does so. The text
// is read only if it is new, since it may be almost 1 MB long.
void process_submitted_revisions(control& state, const submitted_revisions& submitted) {
    accepter_role& role = state.m_accepter;
    if (submitted.m_text_revision != role.m_latest_text_revision) {
        role.m_latest_text_revision = submitted.m_text_revision;
        role.m_latest_text_seen_at = state.now();
    }
    const std::uint64_t decided_revision =
        std::max(role.m_refused_revision, role.m_accepted ? role.m_accepted->m_source_revision : 0);
    switch (choose_text_source(submitted, role.m_text_revision, decided_revision,
                               role.m_unusable_delta_revision,
                               state.now() - role.m_latest_text_seen_at)) {
    case text_source::nothing:
        role.m_call_pending = false;
        break;
    case text_source::delta:
        read_submitted_delta(state, submitted);
        break;
    case text_source::wait:
        wait_for_submitted_delta(state);
        break;
    case text_source::full:
        read_submitted_text(state);
        break;
    }
}

// Lists the revisions of the submitted text and its delta, then processes them.
void check_submitted_revisions(control& state) {
    state.m_store->list_keys(submitted_text_key, [&state](const store_reply& reply) {
        accepter_role& role = state.m_accepter;
        if (reply.m_kind != error_kind::none) {
            reset_accepter(role, state.now() + store_retry_pause);
            return;
        }
        submitted_revisions submitted;
        for (const store_entry& entry : reply.m_entries) {
            if (entry.m_key == submitted_text_key) {
                submitted.m_text_revision = entry.m_revision;
            } else if (entry.m_key == submitted_delta_key) {
                submitted.m_delta_revision = entry.m_revision;
            }
        }
        role.m_listed_revision = std::max(submitted.m_text_revision, submitted.m_delta_revision);
        process_submitted_revisions(state, submitted);
    });
}

// Removes the texts and deltas that are no longer needed once a text stored in full is committed.
// Lists them in the store, so that those of failed accepters are removed too; a value whose removal
// fails is removed in a later pass.
void remove_old_texts(control& state, const accepted_record& committed) {
    state.m_store->list_keys(accepted_prefix, [&state, committed](const store_reply& reply) {
        std::size_t removals = 0;
        for (const store_entry& entry : reply.m_entries) {
            if (removals < max_removals && is_obsolete_key(entry.m_key, committed)) {
                ++removals;
                state.m_store->remove(entry.m_key, entry.m_revision, [](const store_reply&) {});
            }
        }
    });
}

// Removes the record of a move unless the record of a later move has replaced it.
void remove_move_record(control& state, const std::string& service, const std::string& id) {
    const std::string key = std::string(state.m_adapter.m_move_key_prefix) + service;
    state.m_store->get(key, [&state, key, id](const store_reply& reply) {
        const auto record = reply.m_kind == error_kind::none
                                ? decode_move(reply.m_value, reply.m_revision)
                                : std::nullopt;
        if (record && record->m_move_id == id) {
            state.m_store->remove(key, reply.m_revision, [](const store_reply&) {});
        }
    });
}

// Removes the records of moves that the accepted text no longer names; their verdicts stay. Readers
// read all records every 10 s, so records of ended moves would use bandwidth forever.
void remove_ended_move_records(control& state, const mesh& before, const mesh& after) {
    for (const auto& [name, service] : before.m_services) {
        const auto current = after.m_services.find(name);
        const bool still_moving = current != after.m_services.end() && current->second.m_move;
        if (service.m_move && !still_moving) {
            remove_move_record(state, name, move_id(name, *service.m_move));
        }
    }
}

// Sets the text of the accepted record, against which the next text is validated. Removes the
// values in the store that it makes obsolete, then checks for a submitted text.
void set_accepted_text(control& state, std::shared_ptr<const std::string> text) {
    accepter_role& role = state.m_accepter;
    std::vector<text_fault> faults;
    auto parsed = parse_mesh(*text, wall_time{}, nullptr, faults);
    if (parsed && role.m_accepted_mesh) {
        remove_ended_move_records(state, *role.m_accepted_mesh, *parsed);
    }
    role.m_accepted_mesh = parsed ? std::make_shared<const mesh>(std::move(*parsed)) : nullptr;
    role.m_accepted_text = std::move(text);
    role.m_accepted_text_version = role.m_accepted->m_version;
    role.m_accepted_read = true;
    if (role.m_accepted->m_base.m_version == 0) {
        state.m_full_text =
            config_text{role.m_accepted->m_version, role.m_accepted->m_hash, role.m_accepted_text};
        remove_old_texts(state, *role.m_accepted);
    }
    check_submitted_revisions(state);
}

// Obtains the text of the accepted record, against which the next text is validated: the one read
// or written earlier, the one held for distribution, or the one in the store.
void load_accepted_text(control& state) {
    accepter_role& role = state.m_accepter;
    const accepted_record& record = *role.m_accepted;
    if (role.m_accepted_text && role.m_accepted_text_version == record.m_version &&
        hash_bytes(*role.m_accepted_text) == record.m_hash) {
        role.m_accepted_read = true;
        check_submitted_revisions(state);
        return;
    }
    if (role.m_written_text && hash_bytes(*role.m_written_text) == record.m_hash) {
        set_accepted_text(state, std::move(role.m_written_text));
        return;
    }
    const auto held_text = state.m_distribution.m_texts.find(record.m_version);
    if (held_text != state.m_distribution.m_texts.end() &&
        held_text->second.m_hash == record.m_hash) {
        set_accepted_text(state, held_text->second.m_text);
        return;
    }
    read_stored_text(state, record,
                     [&state](error_kind kind, std::shared_ptr<const std::string> text) {
                         if (kind != error_kind::none) {
                             reset_accepter(state.m_accepter, state.now() + store_retry_pause);
                             return;
                         }
                         set_accepted_text(state, std::move(text));
                     });
}

// Reads the accepted record and then its text. The store has no record before the first acceptance.
void read_accepted_record(control& state) {
    state.m_accepter.m_next_accepted_read = state.now() + list_interval;
    state.m_store->get(accepted_key, [&state](const store_reply& reply) {
        accepter_role& role = state.m_accepter;
        error reason;
        if (reply.m_kind == error_kind::store_not_found) {
            role.m_accepted.reset();
            role.m_accepted_mesh.reset();
            role.m_accepted_text.reset();
            role.m_accepted_revision = 0;
            role.m_accepted_read = true;
            check_submitted_revisions(state);
            return;
        }
        role.m_accepted = reply.m_kind == error_kind::none ? decode_accepted(reply.m_value, reason)
                                                           : std::nullopt;
        if (!role.m_accepted) {
            reset_accepter(role, state.now() + store_retry_pause);
            return;
        }
        role.m_accepted_revision = reply.m_revision;
        load_accepted_text(state);
    });
}

// Waits for a change of the submitted text or its delta for at most `store_watch_wait`. The
// accepted record is read again after each change, and at the interval at which watches may miss
// one.
void watch_submitted_text(control& state) {
    accepter_role& role = state.m_accepter;
    state.m_store->watch_keys(submitted_text_key, role.m_listed_revision, store_watch_wait,
                              [&state](const store_reply& reply) {
                                  accepter_role& accepter = state.m_accepter;
                                  accepter.m_call_pending = false;
                                  if (reply.m_kind != error_kind::none) {
                                      reset_accepter(accepter, state.now() + store_retry_pause);
                                      return;
                                  }
                                  accepter.m_accepted_read =
                                      reply.m_entries.empty() &&
                                      state.now() < accepter.m_next_accepted_read;
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
        read_accepted_record(state);
    } else {
        watch_submitted_text(state);
    }
}

} // namespace caraway
