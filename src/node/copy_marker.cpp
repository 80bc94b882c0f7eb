// Writes and reads the markers that date a copy from which the store may be restored
// (decide/configuration/copy_marker). One member of the mesh writes them, so that their number
// doesn't grow with the fleet; each node that lists the operators' items reads them once an era.
#include "decide/configuration/copy_marker.hpp"
#include "node/control.hpp"
#include "observe/log.hpp"
#include "store/store_version.hpp"

namespace caraway {
namespace {

// Time after which a failed call, or one without a reply, is repeated.
constexpr milliseconds marker_retry_pause{200};

// Reads which items were deleted since the copy's last marker, as far as the store still has this
// history. An item that was written again and deleted before the first list is in no list.
void read_deletions_since_copy(control& state) {
    const copy_marker_role& role = state.m_copy_marker;
    if (role.m_copy_complete_until == 0 || unconfirmed_items(state.m_kept_items.m_table) == 0) {
        return;
    }
    const std::uint64_t since =
        make_version(role.m_evidence_era, revision_of(role.m_copy_complete_until));
    state.m_store->watch(state.m_adapter.m_operator_key_prefix, since, milliseconds{1},
                         [&state](const store_reply& reply) {
                             if (reply.m_kind == error_kind::none) {
                                 note_deleted_items(state, reply.m_entries);
                             }
                         });
}

} // namespace

void choose_marker_writer(control& state) {
    const member& self = state.m_members.m_self;
    const auto reaches_store = [](const member& m) { return !m.m_store_lost; };
    copy_marker_role& role = state.m_copy_marker;
    role.m_is_writer = state.m_operator.m_is_watcher && reaches_store(self);
    if (!role.m_is_writer) {
        return;
    }
    // The first data centre that reaches the store has the writer.
    for (const member* other : live_members(state.m_members)) {
        if (reaches_store(*other) && other->m_data_centre < self.m_data_centre) {
            role.m_is_writer = false;
            return;
        }
    }
    role.m_is_writer =
        is_candidate(state, watcher_role(self.m_data_centre), 1, [&](const member& m) {
            return reaches_store(m) && m.m_data_centre == self.m_data_centre;
        });
}

void write_copy_marker(control& state) {
    copy_marker_role& role = state.m_copy_marker;
    const std::uint64_t version = state.m_distribution.m_store_version;
    const std::uint64_t era = state.m_store->era();
    const bool is_due = role.m_is_writer && version > role.m_followed_version &&
                        era_of(version) == era && state.now() >= role.m_retry_at;
    if (!is_due || role.m_write_pending) {
        return;
    }
    role.m_write_pending = true;
    role.m_retry_at = state.now() + marker_retry_pause;
    state.m_store->put(marker_key(era), encode_marker(version), std::nullopt, {},
                       [&state, version](const store_reply& reply) {
                           copy_marker_role& current_role = state.m_copy_marker;
                           current_role.m_write_pending = false;
                           if (reply.m_kind == error_kind::none) {
                               current_role.m_followed_version = version;
                               current_role.m_retry_at = {};
                           }
                           write_copy_marker(state); // changes that were read meanwhile
                       });
}

bool is_copy_dated(const control& state, std::uint64_t era) {
    return era == 0 || state.m_copy_marker.m_evidence_era == era;
}

void date_copy(control& state, std::uint64_t era, const std::function<void()>& done) {
    copy_marker_role& role = state.m_copy_marker;
    if (state.now() < role.m_read_retry_at) {
        return;
    }
    role.m_read_retry_at = state.now() + marker_retry_pause;
    state.m_store->list(marker_prefix, [&state, era, done](const store_reply& reply) {
        if (reply.m_kind != error_kind::none || era_of(reply.m_revision) != era ||
            is_copy_dated(state, era)) {
            return;
        }
        copy_marker_role& current_role = state.m_copy_marker;
        current_role.m_evidence_era = era;
        current_role.m_copy_complete_until = copy_complete_until(reply.m_entries, era);
        log_event(log_level::info, "store_copy_dated",
                  {{"era", era},
                   {"complete_until", current_role.m_copy_complete_until},
                   {"markers", static_cast<std::uint64_t>(reply.m_entries.size())}});
        done();
        read_deletions_since_copy(state);
    });
}

} // namespace caraway
