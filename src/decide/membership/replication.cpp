#include "decide/membership/replication.hpp"

#include <algorithm>

namespace caraway {

std::vector<ip_endpoint> choose_replicas(const membership_table& table, random_source& random) {
    std::vector<const member*> live = live_members(table);
    std::shuffle(live.begin(), live.end(), random);
    const auto elsewhere = std::find_if(live.begin(), live.end(), [&table](const member* other) {
        return other->m_data_centre != table.m_self.m_data_centre;
    });
    if (elsewhere != live.end()) {
        std::iter_swap(live.begin(), elsewhere);
    }
    live.resize(std::min(live.size(), max_replicas));
    std::vector<ip_endpoint> addresses;
    addresses.reserve(live.size());
    for (const member* replica : live) {
        addresses.push_back(replica->m_bulk);
    }
    return addresses;
}

} // namespace caraway
