#include "decide/membership/entry_points.hpp"

#include <algorithm>
#include <set>

#include "base/hash.hpp"
#include "decide/membership/membership_groups.hpp"

namespace caraway {
namespace {

// Slots of a data centre; enough that some of their instances are up whatever fails.
constexpr std::uint64_t slots_per_data_centre = 8;
// Minimum number of entry points in a node's own data centre to join through them alone.
constexpr std::size_t min_local_entry_points = 5;
// Minimum number of members that watch the store, in all data centres together. The store may
// reject a third of the members; with six watchers, it hardly ever rejects all of them.
constexpr std::size_t min_watchers = 6;

} // namespace

std::string slot_of(std::string_view instance) {
    return std::to_string(hash_bytes(instance) % slots_per_data_centre);
}

namespace {

// Returns whether the data centre has enough entry points to join through them alone.
bool has_enough_entry_points(std::span<const entry_point> all, std::string_view data_centre) {
    const auto local_count =
        std::count_if(all.begin(), all.end(), [data_centre](const entry_point& point) {
            return point.m_data_centre == data_centre;
        });
    return static_cast<std::size_t>(local_count) >= min_local_entry_points;
}

} // namespace

std::vector<ip_endpoint> join_entry_points(std::span<const entry_point> all,
                                           std::string_view data_centre) {
    const bool local_only = has_enough_entry_points(all, data_centre);
    std::vector<ip_endpoint> addresses;
    for (const entry_point& point : all) {
        if (!local_only || point.m_data_centre == data_centre) {
            addresses.push_back(point.m_address);
        }
    }
    return addresses;
}

std::vector<ip_endpoint> unknown_entry_points(membership_table& table,
                                              std::span<const entry_point> all) {
    std::set<ip_endpoint> known;
    for (const member* other : live_members(table)) {
        known.insert(other->m_bulk);
    }
    const bool few_local_points = !swim::is_grouped_by_data_centre(table) &&
                                  !has_enough_entry_points(all, table.m_self.m_data_centre);
    const bool include_all = few_local_points || swim::is_gateway(table);
    std::vector<ip_endpoint> unknown;
    for (const entry_point& point : all) {
        const bool wanted = include_all || point.m_data_centre == table.m_self.m_data_centre;
        if (wanted && !known.contains(point.m_address)) {
            unknown.push_back(point.m_address);
        }
    }
    return unknown;
}

std::vector<std::string> unknown_slots(const membership_table& table,
                                       std::span<const entry_point> all) {
    std::set<ip_endpoint> known{table.m_self.m_bulk};
    for (const member* other : live_members(table)) {
        known.insert(other->m_bulk);
    }
    std::vector<std::string> slots;
    for (const entry_point& point : all) {
        if (point.m_data_centre == table.m_self.m_data_centre && !known.contains(point.m_address)) {
            slots.push_back(point.m_slot);
        }
    }
    return slots;
}

std::vector<std::string> missing_slots(const membership_table& table,
                                       std::span<const std::string> filled) {
    std::set<std::string> slots{slot_of(table.m_self.m_instance)};
    for (const member* other : live_members(table)) {
        if (other->m_data_centre == table.m_self.m_data_centre) {
            slots.insert(slot_of(other->m_instance));
        }
    }
    for (const std::string& slot : filled) {
        slots.erase(slot);
    }
    return {slots.begin(), slots.end()};
}

const member& member_for_slot(const membership_table& table, std::string_view slot) {
    const member* best = &table.m_self;
    for (const member* other : live_members(table)) {
        if (other->m_data_centre == table.m_self.m_data_centre &&
            rendezvous_weight(slot, other->m_instance) >
                rendezvous_weight(slot, best->m_instance)) {
            best = other;
        }
    }
    return *best;
}

std::size_t watchers_per_data_centre(std::size_t data_centres) {
    const std::size_t count = std::max<std::size_t>(1, data_centres);
    return (min_watchers + count - 1) / count;
}

} // namespace caraway
