// The immutable view that traffic threads route by. The control thread builds a new one for every
// change and swaps the pointer.
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
#include "decide/claim.hpp"
#include "decide/pushback.hpp"

namespace caraway {

// Counters of one backend server as this node sees it, shared by successive snapshots.
struct backend_counters {
    std::atomic<std::uint32_t> m_outstanding{0};
    std::atomic<std::uint32_t> m_load_permille{0};
    std::atomic<std::uint32_t> m_failure_permille{0};
    std::atomic<std::int64_t> m_latency_us{0};
    std::atomic<std::int64_t> m_load_reported_us{0}; // steady clock, microseconds
    std::atomic<std::uint32_t> m_failures{0};        // consecutive failures to reach it
    std::atomic<std::int64_t> m_circuit_open_until_us{0};
    // Until when it is taken to refuse calls, by urgency; steady clock, microseconds.
    std::array<std::atomic<std::int64_t>, urgency_levels> m_refuses_until_us{};
};

// One backend server that calls can be sent to.
struct backend_view {
    std::string m_instance;
    std::string m_version;
    std::string m_data_centre;
    ip_endpoint m_traffic; // of the node beside it
    bool m_is_own = false; // beside this node
    bool m_own_data_centre = false;
    std::shared_ptr<backend_counters> m_counters;
};

// One service as it is routed now.
struct service_view {
    service_spec m_spec;
    // Share of calls for m_new_version; 0 when no move runs or the version is suspended.
    std::uint32_t m_new_weight_permille = 0;
    std::string m_old_version;
    std::string m_new_version;            // empty when no move is in the text
    std::vector<backend_view> m_backends; // alive, ready, data centre not out
    // All known instances that didn't leave, dead ones included, for registrars of keys.
    std::vector<known_instance> m_members;
    // Instances that left by themselves and are not forgotten yet.
    std::vector<departure> m_departures;
    // Times in which one of them was lost, as far as this node knows.
    std::vector<member_loss> m_losses;
};

// The backend server beside this node as calls may use it.
struct own_server_view {
    std::string m_server; // its identity, empty if it doesn't report itself
    std::string m_service;
    std::string m_version;
    std::uint32_t m_slots = 0;               // 0: those of the service
    time_point m_cold_until;                 // it says that it is cold until then
    error_kind m_refusal = error_kind::none; // why it takes no new work now
    friend bool operator==(const own_server_view&, const own_server_view&) = default;
};

struct routing_snapshot {
    std::uint64_t m_config_version = 0; // 0: nothing applied yet
    bool m_ready = false;
    bool m_draining = false;
    bool m_own_data_centre_out = false;
    std::shared_ptr<const mesh> m_mesh;
    std::map<std::string, service_view, std::less<>> m_services;
    // Reason why the own backend server takes no new work, none if it does:
    // version_suspended, version_not_served, data_centre_out, draining.
    error_kind m_own_refusal = error_kind::none;
    own_server_view m_own_server;
    // Traffic address of every live member, for claims and results; dead ones are absent.
    std::map<std::string, ip_endpoint, std::less<>> m_member_traffic;
};

// Holder of the current snapshot; loads and stores are atomic. A mutex, held for the copy of a
// pointer only, because std::atomic<std::shared_ptr> of g++ 12 has a data race: its load() gives up
// its internal lock with relaxed order.
class snapshot_cell {
public:
    std::shared_ptr<const routing_snapshot> load() const {
        const std::lock_guard lock(m_mutex);
        return m_current;
    }
    // The old snapshot is destroyed by the caller, after the lock is given up.
    void store(std::shared_ptr<const routing_snapshot> next) {
        const std::lock_guard lock(m_mutex);
        m_current.swap(next);
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const routing_snapshot> m_current = std::make_shared<const routing_snapshot>();
};

} // namespace caraway
