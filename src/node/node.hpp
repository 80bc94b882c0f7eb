// A complete node: the control loop runs on one thread, the traffic server on others.
#pragma once

#include <memory>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "config/settings.hpp"
#include "node/adapter.hpp"

namespace boost::asio {
class io_context;
}

namespace caraway {

class node {
public:
    // Binds all addresses, starts the traffic threads and posts the control loop to the context,
    // which the calling code must run. Returns null and sets reason to invalid_settings if an
    // address can't be bound.
    static std::unique_ptr<node> start(boost::asio::io_context& context,
                                       const node_settings& settings, adapter platform_adapter,
                                       const clock_source& clock, error& reason);
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    node(node&&) = delete;
    node& operator=(node&&) = delete;
    ~node();

    // Begins a graceful shutdown: announces the leave, then answers new calls with an error that
    // states that they did not run, lets calls in progress finish within the drain timeout,
    // releases the leases and stops the context.
    void shut_down();

    // Applies the settings that can change while the process runs: seeds, joins_per_second,
    // join_backoff_max, report_interval, fetch_timeout, drain_timeout and announce_time. Logs
    // whether any other setting differs, which needs a restart.
    void reload(const node_settings& settings);

private:
    class impl;
    explicit node(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace caraway
