#include "decide/membership/membership_merge.hpp"

#include <algorithm>
#include <string>
#include <vector>

#include "decide/membership/membership_packets.hpp"
#include "decide/membership/membership_rumours.hpp"

namespace caraway {
namespace swim {
namespace {

// Another node's verdict of death is accepted once the suspicion has been known for this many probe
// intervals; a suspected member receives the suspicion and refutes it within one.
constexpr int refutation_intervals = 2;
// Maximum number of death claims queued for verification; a later table exchange repeats those that
// do not fit.
constexpr std::size_t max_death_claims = 1'024;
// A merge that changes more entries than this is a join or a healed partition. Many other nodes
// already know its entries, so they are not piggybacked.
constexpr std::size_t max_piggybacked_changes = 64;

// Returns the earlier of two times at which a member's name was first started; 0 means that a time
// is unknown.
std::uint64_t earlier_start(std::uint64_t first, std::uint64_t second) {
    return first == 0 || second == 0 ? std::max(first, second) : std::min(first, second);
}

// Merges an earlier first start, whatever the incarnation of the entry. Returns whether it changed.
// Tombstones are excluded: if the name comes back, it counts as new, as it does on nodes that
// joined in between.
bool lower_first_start(membership_table& table, tracked_member& tracked, const member& entry) {
    member& known = tracked.m_member;
    const std::uint64_t first = earlier_start(known.m_first_incarnation, entry.m_first_incarnation);
    if (first == known.m_first_incarnation || tracked.m_is_tombstone) {
        return false;
    }
    toggle_bucket_hash(table, tracked);
    known.m_first_incarnation = first;
    toggle_bucket_hash(table, tracked);
    return true;
}

// Merges a later departure of the instance's backend server, whatever the incarnation of the entry.
// Returns whether it changed.
bool merge_departure(tracked_member& tracked, const member& entry) {
    member& known = tracked.m_member;
    const server_departure later = later_departure(known.m_departure, entry.m_departure);
    if (later == known.m_departure || tracked.m_is_tombstone) {
        return false;
    }
    known.m_departure = later;
    return true;
}

// Takes over from an entry of a predecessor what all processes under this name have in common: the
// first start, and the last departure of a backend server. Returns whether anything changed.
bool inherit_from_predecessor(membership_table& table, const member& entry) {
    member& self = table.m_self;
    const std::uint64_t first = earlier_start(self.m_first_incarnation, entry.m_first_incarnation);
    const server_departure departure = later_departure(self.m_departure, entry.m_departure);
    if (first == self.m_first_incarnation && departure == self.m_departure) {
        return false;
    }
    self.m_first_incarnation = first;
    self.m_departure = departure;
    table.m_announced.m_first_incarnation = first;
    table.m_announced.m_departure = departure;
    return true;
}

// Handles an entry about this node. Any claim that is not older than this node's incarnation is
// refuted by a higher one, including an entry of a predecessor whose clock was ahead.
void refute_claim(membership_table& table, const member& entry, time_point now, actions& out) {
    member& self = table.m_self;
    if (inherit_from_predecessor(table, entry)) {
        table.m_self_changed = now;
        queue_self(table);
        report_member_change(self.m_instance, out);
    }
    if (entry.m_incarnation < self.m_incarnation) {
        return;
    }
    if (self.m_state == member_state::left) {
        if (entry.m_incarnation > self.m_incarnation) {
            self.m_incarnation = entry.m_incarnation;
            announce_self(table, now, out);
        }
        return;
    }
    if (entry.m_incarnation == self.m_incarnation && entry.m_state == member_state::alive) {
        return;
    }
    self.m_incarnation = entry.m_incarnation + 1;
    // A false suspicion indicates that this node answers slowly.
    worsen_local_health(table);
    announce_self(table, now, out);
}

// Adds the entry of an unknown member unless the table is full.
merge_result insert_entry(membership_table& table, const member& entry, time_point now) {
    if (table.m_members.size() >= max_members) {
        return merge_result::unchanged;
    }
    // A live entry without addresses is a suspicion of an unknown member, which can be neither
    // verified nor used.
    if (is_live(entry.m_state) && !has_addresses(entry)) {
        return merge_result::unchanged;
    }
    tracked_member& tracked = table.m_members[entry.m_instance];
    tracked.m_member = entry;
    tracked.m_member.m_state = member_state::dead;
    tracked.m_bucket = bucket_of(entry.m_instance);
    tracked.m_highest_config_version = entry.m_config_version;
    change_state(table, tracked, entry.m_state, now);
    return merge_result::changed;
}

// Replaces an entry by one with a higher incarnation: the instance restarted, changed its entry or
// refuted a suspicion.
merge_result supersede_entry(membership_table& table, tracked_member& tracked, const member& entry,
                             time_point now) {
    if (is_live(entry.m_state) && !has_addresses(entry)) {
        return merge_result::unchanged;
    }
    const member_state previous_state = tracked.m_member.m_state;
    const bool was_tombstone = tracked.m_is_tombstone;
    if (!is_live(entry.m_state) && was_tombstone) {
        tracked.m_member.m_incarnation = entry.m_incarnation;
        return merge_result::unchanged;
    }
    toggle_bucket_hash(table, tracked);
    if (has_addresses(entry)) {
        const std::uint64_t first = tracked.m_member.m_first_incarnation;
        const server_departure departure = tracked.m_member.m_departure;
        tracked.m_member = entry;
        tracked.m_member.m_first_incarnation = was_tombstone ? entry.m_first_incarnation : first;
        tracked.m_member.m_departure = was_tombstone ? entry.m_departure : departure;
    } else {
        tracked.m_member.m_incarnation = entry.m_incarnation;
    }
    tracked.m_member.m_state = previous_state;
    tracked.m_held_version = 0;
    raise_config_version(tracked, entry.m_config_version);
    toggle_bucket_hash(table, tracked);
    change_state(table, tracked, entry.m_state, now);
    const bool revived =
        entry.m_state == member_state::alive && !was_tombstone &&
        (previous_state == member_state::suspect || previous_state == member_state::dead);
    return revived || entry.m_state == member_state::left ? merge_result::rumour
                                                          : merge_result::changed;
}

// Queues a member whose death another table claims for verification by a ping of this node.
void queue_death_claim(membership_table& table, const std::string& instance,
                       std::uint64_t incarnation) {
    if (table.m_death_claims.size() < max_death_claims) {
        table.m_death_claims.push_back({instance, incarnation});
    }
}

// Handles another node's verdict that a live member of the same incarnation is dead. A verdict that
// was not preceded by a suspicion may be the view of the other side of a healed partition. It first
// counts as a suspicion with a short timeout, so that the member can refute it.
merge_result merge_death_report(membership_table& table, tracked_member& tracked, time_point now) {
    const duration refutation_time = table.m_options.m_probe_interval * refutation_intervals;
    const bool was_alive = tracked.m_member.m_state == member_state::alive;
    if (!was_alive && now - *tracked.m_suspect_since >= refutation_time) {
        change_state(table, tracked, member_state::dead, now);
        return merge_result::changed;
    }
    if (was_alive) {
        change_state(table, tracked, member_state::suspect, now);
    }
    const time_point deadline = *tracked.m_suspect_since + refutation_time;
    if (deadline < *tracked.m_suspect_until) {
        tracked.m_suspect_until = deadline;
        table.m_timers.emplace(deadline, tracked.m_member.m_instance);
    }
    return was_alive ? merge_result::changed : merge_result::unchanged;
}

// Merges an entry of a known member, ordered by incarnation and state.
merge_result merge_known(membership_table& table, tracked_member& tracked, const member& entry,
                         entry_source source, time_point now) {
    tracked.m_highest_config_version =
        std::max(tracked.m_highest_config_version, entry.m_config_version);
    const member_state state = tracked.m_member.m_state;
    if (entry.m_incarnation < tracked.m_member.m_incarnation) {
        return merge_result::unchanged;
    }
    const bool newer = entry.m_incarnation > tracked.m_member.m_incarnation;
    if (source == entry_source::exchange && is_live(state) && entry.m_state == member_state::dead) {
        queue_death_claim(table, entry.m_instance, entry.m_incarnation);
        return merge_result::unchanged;
    }
    if (newer) {
        return supersede_entry(table, tracked, entry, now);
    }
    if (entry.m_state == state) {
        if (entry.m_config_version > tracked.m_member.m_config_version) {
            raise_config_version(tracked, entry.m_config_version);
        }
        return merge_result::unchanged;
    }
    if (entry.m_state < state) {
        // The other table lists as live a member that is dead here; a ping lets the member refute
        // its death.
        if (source == entry_source::exchange && state == member_state::dead) {
            queue_death_claim(table, entry.m_instance, entry.m_incarnation);
        }
        return merge_result::unchanged;
    }
    if (tracked.m_is_tombstone) {
        return merge_result::unchanged;
    }
    if (entry.m_state == member_state::dead) {
        return merge_death_report(table, tracked, now);
    }
    change_state(table, tracked, entry.m_state, now);
    return entry.m_state == member_state::left ? merge_result::rumour : merge_result::changed;
}

} // namespace

void raise_config_version(tracked_member& tracked, std::uint64_t config_version) {
    tracked.m_member.m_config_version = std::max(tracked.m_member.m_config_version, config_version);
    tracked.m_highest_config_version = std::max(tracked.m_highest_config_version, config_version);
}

merge_result merge_entry(membership_table& table, const member& entry, entry_source source,
                         time_point now, actions& out) {
    if (entry.m_instance.empty()) {
        return merge_result::unchanged;
    }
    if (entry.m_instance == table.m_self.m_instance) {
        refute_claim(table, entry, now, out);
        return merge_result::unchanged;
    }
    const auto found = table.m_members.find(entry.m_instance);
    if (found == table.m_members.end()) {
        return insert_entry(table, entry, now);
    }
    tracked_member& tracked = found->second;
    const bool lowered = lower_first_start(table, tracked, entry);
    const bool departed = merge_departure(tracked, entry);
    if (is_suspect_or_dead(entry.m_state) &&
        entry.m_incarnation == tracked.m_member.m_incarnation) {
        lower_loss_start(tracked, entry.m_lost_ms);
    }
    const merge_result result = merge_known(table, tracked, entry, source, now);
    return (lowered || departed) && result == merge_result::unchanged ? merge_result::changed
                                                                      : result;
}

} // namespace swim

using namespace swim;

std::vector<membership_action> membership_merge(membership_table& table,
                                                std::span<const member> members, time_point now) {
    actions out;
    std::vector<tracked_member*> changed;
    for (const member& entry : members) {
        if (merge_entry(table, entry, entry_source::exchange, now, out) !=
            merge_result::unchanged) {
            tracked_member* tracked = find_tracked(table, entry.m_instance);
            changed.push_back(tracked);
            report_member_change(entry.m_instance, out);
        }
    }
    if (changed.size() <= max_piggybacked_changes) {
        for (tracked_member* tracked : changed) {
            queue_update(table, *tracked);
        }
    }
    return out;
}

} // namespace caraway
