// Builds the routing snapshot from the configuration in force, the member table and the facts.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "decide/facts.hpp"
#include "decide/membership.hpp"
#include "traffic/snapshot.hpp"

namespace caraway {

// Counters of each backend server by instance; kept across snapshots.
using counter_map = std::map<std::string, std::shared_ptr<backend_counters>, std::less<>>;

// Everything that a snapshot is made of.
struct snapshot_input {
    std::uint64_t m_config_version = 0;
    bool m_ready = false;
    bool m_draining = false;
    std::shared_ptr<const mesh> m_mesh; // null before the first configuration
    const membership_table* m_members = nullptr;
    const fact_table* m_facts = nullptr;
    time_point m_now; // with m_wall_now, dates the departures of members
    wall_time m_wall_now;
    own_server_view m_own;
};

// Builds the snapshot; adds counters for new instances and drops those of forgotten ones.
std::shared_ptr<const routing_snapshot> build_snapshot(const snapshot_input& input,
                                                       counter_map& counters);

// Why the own backend server takes no new work, or none: its data centre is out, its version is
// suspended or taken back, or its version is neither the serving one nor a move's target.
error_kind own_refusal(const mesh& config, const member& self, const fact_table& facts,
                       bool draining);

} // namespace caraway
