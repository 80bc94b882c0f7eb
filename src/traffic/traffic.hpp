// The HTTP side of a node: takes callers' and other nodes' calls, routes them, and enforces
// admission in front of the own backend server.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "config/settings.hpp"
#include "decide/move_evidence.hpp"
#include "observe/metrics.hpp"
#include "traffic/snapshot.hpp"

namespace caraway {

// What the traffic side tells the control thread. Called on traffic threads; the receiver posts.
struct traffic_hooks {
    // A peer's header named a higher configuration version than the own one.
    std::function<void(const std::string& instance, std::uint64_t version)> m_newer_version_seen;
    // The own backend server, by its identity, refuses connections.
    std::function<void(const std::string& server)> m_server_unreachable;
};

// The traffic server with its threads.
class traffic_server {
public:
    // Binds the listening socket and starts the threads. Fails with invalid_settings when the
    // address can't be bound.
    static std::unique_ptr<traffic_server> start(const node_settings& settings,
                                                 const clock_source& clock, snapshot_cell& snapshot,
                                                 node_metrics& metrics, traffic_hooks hooks,
                                                 error& reason);
    traffic_server(const traffic_server&) = delete;
    traffic_server& operator=(const traffic_server&) = delete;
    traffic_server(traffic_server&&) = delete;
    traffic_server& operator=(traffic_server&&) = delete;
    ~traffic_server();

    // Takes the counts of the own backend server since the last call, for the move's holder.
    evidence_report take_evidence();

    // Tells waiting calls that the snapshot changed (they may wait for a newer version).
    void snapshot_changed();

    // New work is refused as not run after this time, until it is set to a later one. Without a
    // call the snapshot is always trusted.
    void trust_snapshot_until(time_point until);

    // Refuses new work as not run from now on; running calls go on.
    void drain();

    // Calls and answers still under way.
    std::size_t calls_in_progress() const;

    // Load of the own backend server in permille of its limits.
    std::uint32_t load_permille() const;

private:
    class impl;
    explicit traffic_server(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace caraway
