// Immutable state by which the traffic threads route calls. The control thread builds a new
// snapshot for every change and swaps the pointer.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "config/mesh.hpp"
#include "config/settings.hpp"
#include "decide/leases/claim.hpp"
#include "decide/traffic/pushback.hpp"

namespace caraway {

// Counters of one backend server as observed by this node. Successive snapshots share them.
struct backend_counters {
    std::atomic<std::uint32_t> m_outstanding{0};
    std::atomic<std::uint32_t> m_load_permille{0};
    std::atomic<std::uint32_t> m_failure_permille{0};
    std::atomic<std::int64_t> m_latency_us{0};
    std::atomic<std::int64_t> m_load_reported_us{0}; // time of the last load report; steady clock
    // Figures of the last speed report and what this node derived from them; see candidate.
    std::atomic<std::uint32_t> m_slots{0};
    std::atomic<std::uint32_t> m_mean_load_permille{0};
    std::atomic<std::uint32_t> m_slowness_permille{1'000};
    std::atomic<double> m_speed_factor{0};
    std::atomic<std::int64_t> m_network_us{0};
    // Calls sent since the last report; may include some that have ended without one.
    std::atomic<std::uint32_t> m_unreported{0};
    std::atomic<std::uint32_t> m_failures{0}; // consecutive failures to reach the server
    std::atomic<std::int64_t> m_circuit_open_until_us{0};
    // Time until which the server is assumed to refuse calls, by urgency; steady clock,
    // microseconds.
    std::array<std::atomic<std::int64_t>, urgency_levels> m_refuses_until_us{};
};

// A backend server that calls can be sent to.
struct backend_view {
    std::string m_instance;
    std::string m_version;
    std::string m_data_centre;
    ip_endpoint m_traffic; // address of the node beside the server
    bool m_is_own = false; // the server beside this node
    bool m_own_data_centre = false;
    std::shared_ptr<backend_counters> m_counters;
};

// Current routing state of one service.
struct service_view {
    service_spec m_spec;
    // Share of calls that go to m_new_version; 0 if no version move is running or the version is
    // suspended.
    std::uint32_t m_new_weight_permille = 0;
    std::string m_old_version;
    std::string m_new_version; // empty if no move is configured
    // Versions that get no calls because a move to them was not completed (excluded_versions).
    std::vector<std::string> m_excluded_versions;
    std::vector<backend_view> m_backends; // alive, ready and in a data centre in service
    // All known instances that have not left, including dead ones. The registrars of keys are
    // selected from them.
    std::vector<known_instance> m_members;
    // Instances that left voluntarily and are not forgotten yet.
    std::vector<departure> m_departures;
    // Periods during which an instance of the service was suspected or dead, as far as this node
    // knows.
    std::vector<member_loss> m_losses;
};

// Properties of the backend server beside this node that affect calls.
struct own_server_view {
    std::string m_server; // identity of the server; empty if it does not report itself
    std::string m_service;
    std::string m_version;
    std::uint32_t m_slots = 0;               // 0: the slots of the service apply
    time_point m_cold_until;                 // end of the warm-up that the server reports
    error_kind m_refusal = error_kind::none; // why it accepts no new work
    friend bool operator==(const own_server_view&, const own_server_view&) = default;
};

// Everything that the routing of a call depends on, at one point in time.
struct routing_snapshot {
    std::uint64_t m_config_version = 0; // 0: no configuration applied yet
    bool m_ready = false;
    bool m_draining = false;
    bool m_own_data_centre_out = false;
    std::shared_ptr<const mesh> m_mesh;
    std::map<std::string, service_view, std::less<>> m_services;
    // Reason why the own backend server accepts no new work: version_suspended, version_not_served,
    // data_centre_out or draining; none if it accepts work.
    error_kind m_own_refusal = error_kind::none;
    own_server_view m_own_server;
    // Traffic addresses of all live members, for claims and results; dead members are absent.
    std::map<std::string, ip_endpoint, std::less<>> m_member_traffic;
};

// Holds the current snapshot; loads and stores are atomic. It uses a mutex, held only while a
// pointer is copied, because std::atomic<std::shared_ptr> of g++ 12 has a data race: its load()
// releases the internal lock with relaxed order.
class snapshot_cell {
public:
    std::shared_ptr<const routing_snapshot> load() const {
        const std::lock_guard lock(m_mutex);
        return m_current;
    }
    // The previous snapshot is destroyed together with the parameter, after the lock is released.
    void store(std::shared_ptr<const routing_snapshot> next) {
        const std::lock_guard lock(m_mutex);
        m_current.swap(next);
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const routing_snapshot> m_current = std::make_shared<const routing_snapshot>();
};

} // namespace caraway
