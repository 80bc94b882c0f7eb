// Prometheus metrics of a node. The registry is prometheus-cpp's; its headers stay in metrics.cpp.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "observe/byte_account.hpp"

namespace caraway {

// All metrics of one node process.
class node_metrics {
public:
    static std::unique_ptr<node_metrics> create(std::string_view instance,
                                                std::string_view data_centre);
    node_metrics(const node_metrics&) = delete;
    node_metrics& operator=(const node_metrics&) = delete;
    node_metrics(node_metrics&&) = delete;
    node_metrics& operator=(node_metrics&&) = delete;
    ~node_metrics();

    // Counts a call that ended; side is "entry" or "backend".
    void count_call(std::string_view side, std::string_view service, outcome result,
                    error_kind reason, duration latency);
    void count_retry(std::string_view service);
    // Control bytes sent or received; channel is "udp", "bulk" or "store".
    void count_control_bytes(std::string_view channel, std::uint64_t sent, std::uint64_t received);
    void count_store_call(std::string_view operation, error_kind result);
    void set_config_version(std::uint64_t version);
    // state is a name of member_state_name.
    void set_members(std::string_view state, std::uint64_t count);
    void set_load(std::uint32_t running, std::uint32_t waiting, std::uint32_t limit);
    // The bytes moved, to be added to.
    byte_account& moved_bytes();
    // The text exposition format of all metrics.
    std::string render() const;

private:
    class impl;
    explicit node_metrics(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace caraway
