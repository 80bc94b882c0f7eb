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

replication_round begin_round(std::size_t copies) {
    replication_round round;
    round.m_outstanding = copies;
    round.m_required = std::min(copies, sufficient_replicas);
    return round;
}

replication_result count_reply(replication_round& round, bool confirmed) {
    --round.m_outstanding;
    if (round.m_decided) {
        return replication_result::pending;
    }
    round.m_required -= confirmed ? 1 : 0;
    const bool hopeless = round.m_outstanding < round.m_required;
    round.m_decided = round.m_required == 0 || hopeless;
    if (!round.m_decided) {
        return replication_result::pending;
    }
    return hopeless ? replication_result::failed : replication_result::done;
}

} // namespace caraway
