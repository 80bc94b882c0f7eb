#include "decide/entry_points.hpp"

#include <algorithm>
#include <set>

#include "base/hash.hpp"
#include "decide/membership_groups.hpp"

namespace caraway {
namespace {

// Slots of a data centre: enough that some of them are up whatever fails.
constexpr std::uint64_t slots_per_data_centre = 8;
// Entry points of the own data centre from which on they suffice to join.
constexpr std::size_t least_near = 5;
// Watchers of all data centres together, at least: the store may turn a third of the members away.
constexpr std::size_t least_watchers = 6;

} // namespace

std::string entry_slot(std::string_view instance) {
    return std::to_string(hash_bytes(instance) % slots_per_data_centre);
}

namespace {

// True if the data centre has entry points enough to join through them alone.
bool has_many(std::span<const entry_point> all, std::string_view data_centre) {
    const auto own = std::count_if(all.begin(), all.end(), [data_centre](const entry_point& each) {
        return each.m_data_centre == data_centre;
    });
    return static_cast<std::size_t>(own) >= least_near;
}

} // namespace

std::vector<ip_endpoint> near_entry_points(std::span<const entry_point> all,
                                           std::string_view data_centre) {
    const bool near_only = has_many(all, data_centre);
    std::vector<ip_endpoint> addresses;
    for (const entry_point& each : all) {
        if (!near_only || each.m_data_centre == data_centre) {
            addresses.push_back(each.m_address);
        }
    }
    return addresses;
}

std::vector<ip_endpoint> unknown_entry_points(membership_table& table,
                                              std::span<const entry_point> all) {
    std::set<ip_endpoint> known;
    for (const member* each : live_members(table)) {
        known.insert(each->m_bulk);
    }
    const bool small = !swim::is_grouped(table) && !has_many(all, table.m_self.m_data_centre);
    const bool everywhere = small || swim::is_carrier(table);
    std::vector<ip_endpoint> unknown;
    for (const entry_point& each : all) {
        const bool wanted = everywhere || each.m_data_centre == table.m_self.m_data_centre;
        if (wanted && !known.contains(each.m_address)) {
            unknown.push_back(each.m_address);
        }
    }
    return unknown;
}

std::vector<std::string> unknown_slots(const membership_table& table,
                                       std::span<const entry_point> all) {
    std::set<ip_endpoint> known{table.m_self.m_bulk};
    for (const member* each : live_members(table)) {
        known.insert(each->m_bulk);
    }
    std::vector<std::string> slots;
    for (const entry_point& each : all) {
        if (each.m_data_centre == table.m_self.m_data_centre && !known.contains(each.m_address)) {
            slots.push_back(each.m_slot);
        }
    }
    return slots;
}

const member& entry_for_slot(const membership_table& table, std::string_view slot) {
    const member* best = &table.m_self;
    for (const member* each : live_members(table)) {
        if (each->m_data_centre == table.m_self.m_data_centre &&
            rendezvous_weight(slot, each->m_instance) > rendezvous_weight(slot, best->m_instance)) {
            best = each;
        }
    }
    return *best;
}

std::size_t watchers_in_each(std::size_t data_centres) {
    const std::size_t count = std::max<std::size_t>(1, data_centres);
    return (least_watchers + count - 1) / count;
}

} // namespace caraway
