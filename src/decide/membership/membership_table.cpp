#include "decide/membership/membership_table.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstring>
#include <utility>

#include "base/hash.hpp"
#include "decide/membership/membership_groups.hpp"

namespace caraway::swim {
namespace {

// Suspicion time in probe intervals, multiplied by the decimal logarithm of the number of live
// members (at least 1). A suspected member must receive the suspicion and its refutation must
// spread within that time; both take a number of rounds that grows with the logarithm of the table
// size.
constexpr double suspicion_intervals_per_decade = 3.0;
// A suspicion received from another node lasts this many times as long as one of this node's own:
// by then the other node's verdict or the refutation has arrived.
constexpr double received_suspicion_factor = 2.0;
// Upper bound of the local health, so that a slow observer still detects dead members: its timeouts
// grow at most ninefold.
constexpr std::uint32_t max_local_health = 8;
// Maximum number of losses recorded per member within the retention time; beyond it the two oldest
// are merged.
constexpr std::size_t max_losses = 4;

milliseconds scaled(milliseconds value, double factor) {
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(value.count()) * factor));
}

// Returns the contribution of an entry to its bucket hash, see member_bucket_hashes.
std::uint64_t entry_hash(const member& value) {
    const std::array<std::uint64_t, 2> starts{value.m_incarnation, value.m_first_incarnation};
    std::array<char, sizeof(starts)> bytes{};
    std::memcpy(bytes.data(), starts.data(), sizeof(starts));
    return hash_bytes(value.m_instance, hash_bytes({bytes.data(), bytes.size()}));
}

// Returns the wall-clock milliseconds of a moment, extrapolated from the start of this node.
std::uint64_t wall_ms(const membership_table& table, time_point now) {
    return table.m_started_ms +
           static_cast<std::uint64_t>(
               std::chrono::duration_cast<milliseconds>(now - table.m_started).count());
}

// Starts or ends a loss according to the state that the member enters.
void update_losses(const membership_table& table, tracked_member& tracked, member_state state,
                   time_point now) {
    std::vector<loss_episode>& losses = tracked.m_losses;
    const std::uint64_t now_ms = wall_ms(table, now);
    const bool running = !losses.empty() && losses.back().m_until_ms == 0;
    if (!is_suspect_or_dead(state)) {
        if (running) {
            losses.back().m_until_ms = now_ms;
        }
        tracked.m_member.m_lost_ms = 0;
        return;
    }
    const std::uint64_t received_lost_ms = tracked.m_member.m_lost_ms;
    if (!running) {
        const auto retention_ms =
            static_cast<std::uint64_t>(table.m_options.m_dead_retention.count());
        std::erase_if(losses, [now_ms, retention_ms](const loss_episode& episode) {
            return episode.m_until_ms + retention_ms < now_ms;
        });
        if (losses.size() >= max_losses) {
            losses[1].m_from_ms = losses[0].m_from_ms;
            losses.erase(losses.begin());
        }
        losses.push_back({now_ms, 0});
    }
    tracked.m_member.m_lost_ms = losses.back().m_from_ms;
    lower_loss_start(tracked, received_lost_ms);
}

// Sets the state together with the timers, counters and indices that depend on it. The entry
// must have been removed from its bucket hash before.
void enter_state(membership_table& table, tracked_member& tracked, member_state state,
                 time_point now) {
    const std::string& name = tracked.m_member.m_instance;
    update_losses(table, tracked, state, now);
    tracked.m_member.m_state = state;
    if (is_live(state)) {
        tracked.m_gone_since.reset();
        tracked.m_is_tombstone = false;
        add_to_probe_order(table, tracked);
    }
    tracked.m_suspected_locally = false;
    if (state == member_state::suspect) {
        tracked.m_suspect_since = now;
        tracked.m_suspect_until = now + scaled(suspicion_time(table), received_suspicion_factor);
        table.m_timers.emplace(*tracked.m_suspect_until, name);
    } else {
        tracked.m_suspect_since.reset();
        tracked.m_suspect_until.reset();
    }
    if (!is_live(state)) {
        if (!tracked.m_gone_since) {
            tracked.m_gone_since = now;
            table.m_timers.emplace(now + table.m_options.m_dead_retention, name);
        }
        tracked.m_held_version = 0;
    }
}

} // namespace

bool is_live(member_state state) {
    return state == member_state::alive || state == member_state::suspect;
}

bool has_addresses(const member& value) {
    return value.m_udp.m_port != 0;
}

double log10_live_members(const membership_table& table) {
    return std::max(1.0, std::log10(static_cast<double>(table.m_live) + 2.0));
}

milliseconds scaled_by_local_health(const membership_table& table, milliseconds value) {
    return value * (1 + table.m_local_health);
}

void worsen_local_health(membership_table& table) {
    table.m_local_health = std::min(max_local_health, table.m_local_health + 1);
}

milliseconds suspicion_time(const membership_table& table) {
    return scaled(scaled_by_local_health(table, table.m_options.m_probe_interval),
                  suspicion_intervals_per_decade * log10_live_members(table));
}

tracked_member* find_tracked(membership_table& table, std::string_view instance) {
    const auto found = table.m_members.find(instance);
    return found == table.m_members.end() ? nullptr : &found->second;
}

std::uint32_t bucket_of(std::string_view instance) {
    return static_cast<std::uint32_t>(hash_bytes(instance) % member_bucket_count);
}

void toggle_bucket_hash(membership_table& table, const tracked_member& tracked) {
    if (is_live(tracked.m_member.m_state)) {
        table.m_bucket_hashes.at(tracked.m_bucket) ^= entry_hash(tracked.m_member);
    }
}

bool is_suspect_or_dead(member_state state) {
    return state == member_state::suspect || state == member_state::dead;
}

void lower_loss_start(tracked_member& tracked, std::uint64_t lost_ms) {
    if (lost_ms == 0 || tracked.m_losses.empty() || tracked.m_losses.back().m_until_ms != 0) {
        return;
    }
    loss_episode& running = tracked.m_losses.back();
    running.m_from_ms = std::min(running.m_from_ms, lost_ms);
    tracked.m_member.m_lost_ms = running.m_from_ms;
}

void change_state(membership_table& table, tracked_member& tracked, member_state state,
                  time_point now) {
    const bool was_live = is_live(tracked.m_member.m_state);
    const bool was_dead = tracked.m_counted_dead;
    toggle_bucket_hash(table, tracked);
    enter_state(table, tracked, state, now);
    tracked.m_counted_dead = state == member_state::dead && !tracked.m_is_tombstone;
    table.m_dead += (tracked.m_counted_dead ? 1U : 0U) - (was_dead ? 1U : 0U);
    toggle_bucket_hash(table, tracked);
    if (tracked.m_member.m_data_centre == table.m_self.m_data_centre) {
        table.m_grouping_outdated = true;
    }
    const bool live = is_live(state);
    if (live && !was_live) {
        ++table.m_live;
    } else if (!live && was_live) {
        --table.m_live;
    }
}

void report_member_change(std::string_view instance, actions& out) {
    membership_action action;
    action.m_kind = membership_action::kind::member_changed;
    action.m_instance = instance;
    out.push_back(std::move(action));
}

} // namespace caraway::swim

namespace caraway {

using namespace swim;

std::size_t live_member_count(const membership_table& table) {
    return table.m_live;
}

std::vector<const member*> live_members(const membership_table& table) {
    std::vector<const member*> live;
    live.reserve(table.m_live);
    for (const auto& [name, tracked] : table.m_members) {
        if (is_live(tracked.m_member.m_state)) {
            live.push_back(&tracked.m_member);
        }
    }
    return live;
}

const tracked_member* find_member(const membership_table& table, std::string_view instance) {
    const auto found = table.m_members.find(instance);
    return found == table.m_members.end() || found->second.m_is_tombstone ? nullptr
                                                                          : &found->second;
}

std::uint64_t highest_version_of(const membership_table& table, std::string_view instance) {
    const auto found = table.m_members.find(instance);
    return found == table.m_members.end() ? 0 : found->second.m_highest_config_version;
}

std::vector<std::uint64_t> member_bucket_hashes(const membership_table& table) {
    std::vector<std::uint64_t> hashes(table.m_bucket_hashes.begin(), table.m_bucket_hashes.end());
    if (is_live(table.m_self.m_state)) {
        hashes.at(bucket_of(table.m_self.m_instance)) ^= entry_hash(table.m_self);
    }
    return hashes;
}

std::vector<member> members_in_buckets(const membership_table& table,
                                       std::span<const std::uint32_t> buckets) {
    std::array<bool, member_bucket_count> wanted{};
    for (const std::uint32_t bucket : buckets) {
        if (bucket < member_bucket_count) {
            wanted.at(bucket) = true;
        }
    }
    std::vector<member> entries;
    if (wanted.at(bucket_of(table.m_self.m_instance))) {
        entries.push_back(table.m_self);
    }
    for (const auto& [name, tracked] : table.m_members) {
        if (wanted.at(tracked.m_bucket) && !tracked.m_is_tombstone) {
            entries.push_back(tracked.m_member);
        }
    }
    return entries;
}

} // namespace caraway
