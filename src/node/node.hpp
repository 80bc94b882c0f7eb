// A complete node: the control loop runs on one thread, the traffic server on others.
#pragma once

#include <memory>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "config/adapter.hpp"
#include "config/settings.hpp"

namespace boost::asio {
class io_context;
}

namespace caraway {

class node {
public:
    // Binds all addresses and starts the traffic threads, and the timers on the context, which the
    // caller runs. Returns null and sets reason to invalid_settings if an address can't be bound.
    static std::unique_ptr<node> start(boost::asio::io_context& context,
                                       const node_settings& settings, adapter platform_adapter,
                                       const clock_source& clock, error& reason);
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    node(node&&) = delete;
    node& operator=(node&&) = delete;
    ~node();

    // Begins a graceful shutdown: announces the leave, rejects new work as not run, lets calls in
    // progress finish within the drain timeout, releases the leases and stops the context.
    void shut_down();

    // Applies the settings that can change while the process runs: seeds, the join rate, and the
    // times of reports, shutdown and peer requests. Addresses and names don't change; a difference
    // in them is logged as needing a restart.
    void reload(const node_settings& settings);

private:
    class impl;
    explicit node(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace caraway
