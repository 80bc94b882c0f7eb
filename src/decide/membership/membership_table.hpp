// Entries of the member table: states together with the timers, counters and bucket hashes that
// depend on them, and the time limits that depend on the table's size. The queries for other
// modules are declared in membership.hpp.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "decide/membership/membership.hpp"

namespace caraway::swim {

// Actions collected during one event.
using actions = std::vector<membership_action>;

// Returns whether a member in this state is alive or suspect.
bool is_live(member_state state);

// Returns whether the entry has addresses; shortened entries have none, see shortened_entry.
bool has_addresses(const member& value);

// Returns the decimal logarithm of the number of live members, at least 1. Gossip needs a number of
// rounds that grows with it.
double log10_live_members(const membership_table& table);

// Returns a time limit of this node's own probes, lengthened while its local health is degraded.
milliseconds scaled_by_local_health(const membership_table& table, milliseconds value);

// Degrades the local health after a sign that this node itself is slow or disconnected.
void worsen_local_health(membership_table& table);

// Returns the time from a failed probe of this node until the target is declared dead.
milliseconds suspicion_time(const membership_table& table);

// Returns the entry of a member, including tombstones, or null.
tracked_member* find_tracked(membership_table& table, std::string_view instance);

// Returns the bucket of a name, below member_bucket_count.
std::uint32_t bucket_of(std::string_view instance);

// Adds the entry to or removes it from its bucket hash. Call it in pairs around every change of an
// entry.
void toggle_bucket_hash(membership_table& table, const tracked_member& tracked);

// Returns whether the state is suspect or dead, that is, unreachable without having left.
bool is_suspect_or_dead(member_state state);

// Lowers the start of an ongoing loss to one reported by another node, in wall-clock milliseconds.
void lower_loss_start(tracked_member& tracked, std::uint64_t lost_ms);

// Changes the state of an entry and everything that depends on it.
void change_state(membership_table& table, tracked_member& tracked, member_state state,
                  time_point now);

// Adds a member_changed action for the instance.
void report_member_change(std::string_view instance, actions& out);

} // namespace caraway::swim
