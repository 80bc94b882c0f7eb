// Entries of the member table: states with the timers, counters and bucket hashes that depend on
// them, and the time limits that follow from the table's size. The queries for other modules are
// declared in membership.hpp.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "decide/membership.hpp"

namespace caraway::swim {

using actions = std::vector<membership_action>;

// Alive or suspect.
bool is_live(member_state state);

// False for entries that travelled without addresses, see shortened_entry.
bool has_addresses(const member& value);

// The order of magnitude of the live members, at least 1; rumours need a number of rounds that
// grows with it.
double log10_live_members(const membership_table& table);

// A time limit of this node's own probes, longer while its local health is bad.
milliseconds scaled_by_local_health(const membership_table& table, milliseconds value);

// Notes a sign that this node itself is slow or cut off.
void worsen_local_health(membership_table& table);

// The time from an own failed probe to the verdict.
milliseconds suspicion_time(const membership_table& table);

// The entry of a member, a forgotten one too, or null.
tracked_member* find_tracked(membership_table& table, std::string_view instance);

std::uint32_t bucket_of(std::string_view instance);

// Adds or removes the entry's part of its bucket hash; called in pairs around every change.
void toggle_bucket_hash(membership_table& table, const tracked_member& tracked);

// Whether a member in this state can't be reached and has not left.
bool is_suspect_or_dead(member_state state);

// Lowers the start of a running loss to one heard from others.
void lower_loss_start(tracked_member& tracked, std::uint64_t lost_ms);

// Changes the state of an entry, with all that depends on it.
void change_state(membership_table& table, tracked_member& tracked, member_state state,
                  time_point now);

// Tells the adapter that the entry of the instance has changed.
void report_member_change(std::string_view instance, actions& out);

} // namespace caraway::swim
