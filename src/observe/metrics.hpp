// Prometheus metrics of a node. Only metrics.cpp includes the headers of prometheus-cpp.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "observe/byte_account.hpp"
#include "observe/text_progress.hpp"

namespace caraway {

// Holds all metrics of one node process. Every metric is labelled with instance and data centre.
class node_metrics {
public:
    static std::unique_ptr<node_metrics> create(std::string_view instance,
                                                std::string_view data_centre);
    node_metrics(const node_metrics&) = delete;
    node_metrics& operator=(const node_metrics&) = delete;
    node_metrics(node_metrics&&) = delete;
    node_metrics& operator=(node_metrics&&) = delete;
    ~node_metrics();

    // Counts a finished call and records its latency. side is "entry" or "backend".
    void count_call(std::string_view side, std::string_view service, outcome result,
                    error_kind reason, duration latency);
    // Counts an attempt of the entry side after the first one.
    void count_retry(std::string_view service);
    // Counts an attempt of the entry side by the data centre of the chosen backend server.
    void count_attempt(bool own_data_centre);
    // Adds bytes of control traffic. channel is "udp", "bulk" or "store".
    void count_control_bytes(std::string_view channel, std::uint64_t sent, std::uint64_t received);
    // Counts a call to the key-value store by its result.
    void count_store_call(std::string_view operation, error_kind result);
    void set_config_version(std::uint64_t version);
    // Records how long the phases of a configuration version took that is now in force.
    void count_applied_config(const text_phases& phases);
    // Sets for how long this node has known of a newer version than the one in force, 0 if it
    // knows of none.
    void set_config_behind(duration time);
    // Sets the number of values in the configuration in force that this program doesn't know.
    void set_unknown_config_values(std::uint64_t count);
    // Sets the number of operators' items that are not in force because they can't be used.
    void set_unusable_items(std::uint64_t count);
    // Sets how often the store was restored from a copy.
    void set_store_era(std::uint64_t era);
    // Sets the number of operators' items that are in force though the restored store lacks them.
    void set_kept_items(std::uint64_t count);
    // Sets the number of known members in a state, which is a name that member_state_name returns.
    void set_members(std::string_view state, std::uint64_t count);
    // Sets the running and waiting calls of the own backend server and its concurrency limit.
    void set_load(std::uint32_t running, std::uint32_t waiting, std::uint32_t limit);
    // Sets the slots that background calls may use, the number of routes of which only a part of
    // the calls is let in, and the seconds until the large answers that are due have been sent.
    void set_overload(double background_slots, std::uint64_t limited_routes, double link_backlog_s);
    // Sets the present run times of the own backend server relative to its usual ones, and its mean
    // load, both in permille.
    void set_speed(std::uint32_t slowness_permille, std::uint32_t mean_load_permille);
    // Sets the bytes held for clients and their limit.
    void set_held_bytes(std::uint64_t held, std::uint64_t limit);
    // Sets the number of connections rejected so far for a cause.
    void set_rejected_connections(std::string_view cause, std::uint64_t count);
    // Returns the counters of bytes exchanged with other nodes, to which the calling code adds.
    // Owned by this object.
    byte_account& moved_bytes();
    // Returns all metrics in the Prometheus text exposition format.
    std::string render() const;

private:
    class impl;
    explicit node_metrics(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace caraway
