// A whole node: the control loop on one thread, the traffic server on others.
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
    // Binds all addresses and starts the traffic threads and timers on the context, which the
    // caller runs. Fails with invalid_settings when an address can't be bound.
    static std::unique_ptr<node> start(boost::asio::io_context& context,
                                       const node_settings& settings, adapter platform_adapter,
                                       const clock_source& clock, error& reason);
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    node(node&&) = delete;
    node& operator=(node&&) = delete;
    ~node();

    // Begins a graceful shutdown: announces the leave, refuses new work as not run, finishes what
    // runs within the drain timeout, releases the leases, and stops the context.
    void shut_down();

    // Takes over those of the new settings that can change while the process runs: the times of
    // reports, shutdown and peers. Addresses and names stay; a difference in them is logged.
    void reload(const node_settings& settings);

private:
    class impl;
    explicit node(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace caraway
