// HTTP server of a node: accepts calls from callers and other nodes, routes them, and enforces
// admission in front of the own backend server.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "config/settings.hpp"
#include "decide/versions/move_evidence.hpp"
#include "observe/metrics.hpp"
#include "traffic/snapshot.hpp"

namespace caraway {

// Callbacks by which the traffic side informs the control thread. They are called on traffic
// threads, so the receiver must post to its own thread.
struct traffic_hooks {
    // A peer's message contained a higher configuration version than this node's.
    std::function<void(const std::string& instance, std::uint64_t version)> m_newer_version_seen;
    // The own backend server refused a connection; server is its identity.
    std::function<void(const std::string& server)> m_server_unreachable;
};

// HTTP server for calls, with its own threads.
class traffic_server {
public:
    // Binds the listening sockets and starts the threads. Returns null, with the reason
    // invalid_settings, if an address can't be bound.
    static std::unique_ptr<traffic_server> start(const node_settings& settings,
                                                 const clock_source& clock, snapshot_cell& snapshot,
                                                 node_metrics& metrics, traffic_hooks hooks,
                                                 error& reason);
    traffic_server(const traffic_server&) = delete;
    traffic_server& operator=(const traffic_server&) = delete;
    traffic_server(traffic_server&&) = delete;
    traffic_server& operator=(traffic_server&&) = delete;
    ~traffic_server();

    // Returns the call counts of the own backend server and resets them. They are meant for the
    // instance that holds the lease of the version move.
    evidence_report take_evidence();

    // Wakes the calls that wait for a newer configuration, after the snapshot has changed.
    void snapshot_changed();

    // Sets the time until which the snapshot is trusted. After it, new calls are answered with an
    // error that states that they did not run, until a later time is set. If this is never called,
    // the snapshot is always trusted.
    void trust_snapshot_until(time_point until);

    // From now on, answers new calls and calls that wait for a slot with an error that states that
    // they did not run. Running calls and their onward calls continue; see end_calls_by.
    void drain();

    // Ends all calls by this time with an answer, so that a process that exits soon after it cuts
    // none off. Onward calls are refused from last_onward on, so that those that are taken have
    // time to be answered.
    void end_calls_by(time_point latest, time_point last_onward);

    // Returns the number of calls that are running or whose response is still being sent.
    std::size_t calls_in_progress() const;

    // Returns the load of the own backend server; see admission_load_permille.
    std::uint32_t load_permille() const;

private:
    class impl;
    explicit traffic_server(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace caraway
