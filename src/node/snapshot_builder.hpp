// Builds the routing snapshot from the configuration in force, the member table and the facts.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "decide/membership/membership.hpp"
#include "decide/versions/facts.hpp"
#include "traffic/snapshot.hpp"

namespace caraway {

// Counters of the backend servers by instance. They are kept across snapshots.
using counter_map = std::map<std::string, std::shared_ptr<backend_counters>, std::less<>>;

// The data from which a snapshot is built.
struct snapshot_input {
    std::uint64_t m_config_version = 0;
    bool m_ready = false;
    bool m_draining = false;
    std::shared_ptr<const mesh> m_mesh; // null until the first configuration is in force
    const membership_table* m_members = nullptr;
    const fact_table* m_facts = nullptr;
    time_point m_now; // with m_wall_now, converts the departure times of members to wall-clock time
    wall_time m_wall_now;
    own_server_view m_own_server_view;
};

// Builds the snapshot. Adds counters for new instances and removes those of forgotten ones.
std::shared_ptr<const routing_snapshot> build_snapshot(const snapshot_input& input,
                                                       counter_map& counters);

// Returns why the own backend server accepts no new work, or error_kind::none if it does. Reasons
// are that the node is draining, the data centre is out of service, the version is suspended or
// taken back, or the version is neither the one served nor a move's target.
error_kind own_refusal(const mesh& config, const member& self, const fact_table& facts,
                       bool draining);

} // namespace caraway
