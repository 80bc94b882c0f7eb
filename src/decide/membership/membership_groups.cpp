#include "decide/membership/membership_groups.hpp"

#include <algorithm>
#include <string>

#include "base/hash.hpp"

namespace caraway::swim {
namespace {

// Minimum number of alive members, this node included, for a data centre to be a group of its own.
// In a smaller group a few simultaneous deaths could leave no gateway.
constexpr std::size_t min_group_size = 12;
// Gateways of a group; more than one, since changes must still get through while one of them fails.
constexpr std::size_t gateways_per_group = 3;
// Maximum number of non-live entries inspected in a search for a live one.
constexpr int max_tries = 64;

// Key of the rendezvous hash that selects the gateways; all nodes must use the same one.
constexpr std::string_view gateway_role = "carrier";

// If outdated, recomputes whether this data centre has enough alive members to be a group of its
// own and whether this node is one of its gateways. Suspect members do not count, so that a dead
// gateway is replaced before its death is confirmed.
void refresh_grouping(membership_table& table) {
    if (!table.m_grouping_outdated) {
        return;
    }
    table.m_grouping_outdated = false;
    const std::uint64_t own_weight = rendezvous_weight(gateway_role, table.m_self.m_instance);
    std::size_t alive = 1;
    std::size_t higher_ranked = 0;
    for (const std::string& name : table.m_groups[table.m_self.m_data_centre].m_order) {
        const tracked_member* tracked = find_tracked(table, name);
        if (tracked != nullptr && tracked->m_member.m_state == member_state::alive) {
            ++alive;
            higher_ranked += rendezvous_weight(gateway_role, name) > own_weight ? 1 : 0;
        }
    }
    table.m_grouped_by_data_centre = alive >= min_group_size;
    table.m_is_gateway = table.m_grouped_by_data_centre && higher_ranked < gateways_per_group;
}

// Returns the probe orders of the data centres that form the local group.
std::vector<member_group*> local_groups(membership_table& table) {
    if (is_grouped_by_data_centre(table)) {
        return {&table.m_groups[table.m_self.m_data_centre]};
    }
    std::vector<member_group*> groups;
    for (auto& [name, group] : table.m_groups) {
        groups.push_back(&group);
    }
    return groups;
}

// Returns the number of instances in all probe orders.
std::size_t total_size(const std::vector<member_group*>& groups) {
    std::size_t total = 0;
    for (const member_group* group : groups) {
        total += group->m_order.size();
    }
    return total;
}

// Returns the instance at a position in the concatenated probe orders.
const std::string& instance_at(const std::vector<member_group*>& groups, std::size_t position) {
    std::size_t group = 0;
    while (position >= groups[group]->m_order.size()) {
        position -= groups[group]->m_order.size();
        ++group;
    }
    return groups[group]->m_order[position];
}

// Draws a random member from those that remain in this round. Returns null if there is none or if
// the drawn member is not live; the latter is removed from the order.
tracked_member* draw_from_round(membership_table& table, std::span<member_group* const> groups) {
    std::size_t remaining = 0;
    for (const member_group* group : groups) {
        remaining += group->m_order.size() - group->m_next;
    }
    if (remaining == 0) {
        for (member_group* group : groups) {
            group->m_next = 0;
            remaining += group->m_order.size();
        }
        if (remaining == 0) {
            return nullptr;
        }
    }
    std::size_t position = table.m_random.below(remaining);
    std::size_t chosen = 0;
    while (position >= groups[chosen]->m_order.size() - groups[chosen]->m_next) {
        position -= groups[chosen]->m_order.size() - groups[chosen]->m_next;
        ++chosen;
    }
    member_group& group = *groups[chosen];
    std::vector<std::string>& order = group.m_order;
    std::swap(order[group.m_next], order[group.m_next + position]);
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

// Returns the next live member of the groups, or null if none is found within max_tries.
tracked_member* next_target_of(membership_table& table, std::span<member_group* const> groups) {
    for (int tries = 0; tries < max_tries; ++tries) {
        tracked_member* target = draw_from_round(table, groups);
        if (target != nullptr) {
            return target;
        }
    }
    return nullptr;
}

} // namespace

void add_to_probe_order(membership_table& table, tracked_member& tracked) {
    if (!tracked.m_in_probe_order) {
        tracked.m_in_probe_order = true;
        table.m_groups[tracked.m_member.m_data_centre].m_order.push_back(
            tracked.m_member.m_instance);
    }
}

bool is_grouped_by_data_centre(membership_table& table) {
    refresh_grouping(table);
    return table.m_grouped_by_data_centre;
}

bool is_gateway(membership_table& table) {
    refresh_grouping(table);
    return table.m_is_gateway;
}

bool is_remote(membership_table& table, const member& other) {
    return is_grouped_by_data_centre(table) && other.m_data_centre != table.m_self.m_data_centre;
}

tracked_member* next_probe_target(membership_table& table) {
    const std::vector<member_group*> groups = local_groups(table);
    return next_target_of(table, groups);
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
    return next_target_of(table, groups);
}

std::vector<const tracked_member*> pick_members(membership_table& table, std::size_t count,
                                                std::string_view excluded) {
    std::vector<const tracked_member*> picked;
    const std::vector<member_group*> groups = local_groups(table);
    const std::size_t total = total_size(groups);
    const auto add_if_eligible = [&](const std::string& name) {
        const auto found = table.m_members.find(name);
        if (name == excluded || found == table.m_members.end() ||
            !is_live(found->second.m_member.m_state) ||
            std::find(picked.begin(), picked.end(), &found->second) != picked.end()) {
            return;
        }
        picked.push_back(&found->second);
    };
    // If there are few members, all of them are tried in random order. Otherwise random members are
    // tried, with spare attempts for those that are not live.
    if (total <= 4 * count) {
        std::vector<std::size_t> positions(total);
        for (std::size_t i = 0; i < positions.size(); ++i) {
            positions[i] = i;
        }
        for (std::size_t i = 0; i < positions.size() && picked.size() < count; ++i) {
            std::swap(positions[i], positions[i + table.m_random.below(positions.size() - i)]);
            add_if_eligible(instance_at(groups, positions[i]));
        }
        return picked;
    }
    for (std::size_t tries = 0; tries < 8 * count + 16 && picked.size() < count; ++tries) {
        add_if_eligible(instance_at(groups, table.m_random.below(total)));
    }
    return picked;
}

std::vector<const tracked_member*> pick_remote_members(membership_table& table) {
    std::vector<const tracked_member*> picked;
    if (!is_grouped_by_data_centre(table)) {
        return picked;
    }
    for (const auto& [name, group] : table.m_groups) {
        if (name == table.m_self.m_data_centre || group.m_order.empty()) {
            continue;
        }
        for (int tries = 0; tries < max_tries; ++tries) {
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
