#include "decide/membership_groups.hpp"

#include <algorithm>
#include <string>

#include "base/hash.hpp"

namespace caraway::swim {
namespace {

// Alive members of a data centre, this node included, from which on it is a group of its own. In
// smaller ones a few deaths at once would leave nobody who carries news.
constexpr std::size_t least_group = 12;
// Members of a group that carry news; more than one, since news must pass while one of them fails.
constexpr std::size_t carriers_per_group = 3;
// Entries of members that are gone, met while looking for a live one, before the search ends.
constexpr int most_tries = 64;

constexpr std::string_view carrier_role = "carrier";

// Works out anew whether the own data centre is a group and this node a carrier of it. Suspected
// members carry nothing, so that a dead carrier is replaced before its death is certain.
void refresh_group(membership_table& table) {
    if (!table.m_group_changed) {
        return;
    }
    table.m_group_changed = false;
    const std::uint64_t own = rendezvous_weight(carrier_role, table.m_self.m_instance);
    std::size_t alive = 1;
    std::size_t ahead = 0;
    for (const std::string& name : table.m_groups[table.m_self.m_data_centre].m_order) {
        const tracked_member* each = find_tracked(table, name);
        if (each != nullptr && each->m_member.m_state == member_state::alive) {
            ++alive;
            ahead += rendezvous_weight(carrier_role, name) > own ? 1 : 0;
        }
    }
    table.m_grouped = alive >= least_group;
    table.m_carrier = table.m_grouped && ahead < carriers_per_group;
}

// The orders of the data centres that count as near.
std::vector<member_group*> near_groups(membership_table& table) {
    if (is_grouped(table)) {
        return {&table.m_groups[table.m_self.m_data_centre]};
    }
    std::vector<member_group*> groups;
    for (auto& [name, group] : table.m_groups) {
        groups.push_back(&group);
    }
    return groups;
}

std::size_t total_size(const std::vector<member_group*>& groups) {
    std::size_t total = 0;
    for (const member_group* each : groups) {
        total += each->m_order.size();
    }
    return total;
}

const std::string& name_at(const std::vector<member_group*>& groups, std::size_t place) {
    std::size_t group = 0;
    while (place >= groups[group]->m_order.size()) {
        place -= groups[group]->m_order.size();
        ++group;
    }
    return groups[group]->m_order[place];
}

// Takes a random one of the members that are left in this round; null if it is gone, which drops it
// from the order.
tracked_member* take_from_round(membership_table& table, std::span<member_group* const> groups) {
    std::size_t left = 0;
    for (const member_group* each : groups) {
        left += each->m_order.size() - each->m_next;
    }
    if (left == 0) {
        for (member_group* each : groups) {
            each->m_next = 0;
            left += each->m_order.size();
        }
        if (left == 0) {
            return nullptr;
        }
    }
    std::size_t place = table.m_random.below(left);
    std::size_t chosen = 0;
    while (place >= groups[chosen]->m_order.size() - groups[chosen]->m_next) {
        place -= groups[chosen]->m_order.size() - groups[chosen]->m_next;
        ++chosen;
    }
    member_group& group = *groups[chosen];
    std::vector<std::string>& order = group.m_order;
    std::swap(order[group.m_next], order[group.m_next + place]);
    tracked_member* target = find_tracked(table, order[group.m_next]);
    if (target != nullptr && is_live(target->m_member.m_state)) {
        ++group.m_next;
        return target;
    }
    if (target != nullptr) {
        target->m_in_probe_order = false;
    }
    std::swap(order[group.m_next], order.back());
    order.pop_back();
    return nullptr;
}

tracked_member* next_of(membership_table& table, std::span<member_group* const> groups) {
    for (int tries = 0; tries < most_tries; ++tries) {
        tracked_member* target = take_from_round(table, groups);
        if (target != nullptr) {
            return target;
        }
    }
    return nullptr;
}

} // namespace

void add_to_group(membership_table& table, tracked_member& tracked) {
    if (!tracked.m_in_probe_order) {
        tracked.m_in_probe_order = true;
        table.m_groups[tracked.m_member.m_data_centre].m_order.push_back(
            tracked.m_member.m_instance);
    }
}

bool is_grouped(membership_table& table) {
    refresh_group(table);
    return table.m_grouped;
}

bool is_carrier(membership_table& table) {
    refresh_group(table);
    return table.m_carrier;
}

bool is_remote(membership_table& table, const member& other) {
    return is_grouped(table) && other.m_data_centre != table.m_self.m_data_centre;
}

tracked_member* next_probe_target(membership_table& table) {
    const std::vector<member_group*> groups = near_groups(table);
    return next_of(table, groups);
}

tracked_member* next_remote_target(membership_table& table, std::string_view data_centre) {
    std::vector<member_group*> groups;
    for (auto& [name, group] : table.m_groups) {
        const bool wanted =
            data_centre.empty() ? name != table.m_self.m_data_centre : name == data_centre;
        if (wanted) {
            groups.push_back(&group);
        }
    }
    return next_of(table, groups);
}

std::vector<const tracked_member*> pick_members(membership_table& table, std::size_t count,
                                                std::string_view except) {
    std::vector<const tracked_member*> picked;
    const std::vector<member_group*> groups = near_groups(table);
    const std::size_t total = total_size(groups);
    const auto take = [&](const std::string& name) {
        const auto found = table.m_members.find(name);
        if (name == except || found == table.m_members.end() ||
            !is_live(found->second.m_member.m_state) ||
            std::find(picked.begin(), picked.end(), &found->second) != picked.end()) {
            return;
        }
        picked.push_back(&found->second);
    };
    // A short order is walked from a random place in random order; a long one is sampled, with some
    // tries to spare for entries of members that are gone.
    if (total <= 4 * count) {
        std::vector<std::size_t> places(total);
        for (std::size_t i = 0; i < places.size(); ++i) {
            places[i] = i;
        }
        for (std::size_t i = 0; i < places.size() && picked.size() < count; ++i) {
            std::swap(places[i], places[i + table.m_random.below(places.size() - i)]);
            take(name_at(groups, places[i]));
        }
        return picked;
    }
    for (std::size_t tries = 0; tries < 8 * count + 16 && picked.size() < count; ++tries) {
        take(name_at(groups, table.m_random.below(total)));
    }
    return picked;
}

std::vector<const tracked_member*> pick_remote_members(membership_table& table) {
    std::vector<const tracked_member*> picked;
    if (!is_grouped(table)) {
        return picked;
    }
    for (const auto& [name, group] : table.m_groups) {
        if (name == table.m_self.m_data_centre || group.m_order.empty()) {
            continue;
        }
        for (int tries = 0; tries < most_tries; ++tries) {
            const std::string& chosen = group.m_order[table.m_random.below(group.m_order.size())];
            const tracked_member* found = find_tracked(table, chosen);
            if (found != nullptr && found->m_member.m_state == member_state::alive) {
                picked.push_back(found);
                break;
            }
        }
    }
    return picked;
}

} // namespace caraway::swim
