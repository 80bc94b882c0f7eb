// Asynchronous client of the platform's key-value service over HTTP. Runs on the caller's
// io_context (the control thread); each call has a timeout and reports exactly one reply.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "config/settings.hpp"
#include "store/store_codec.hpp"

namespace boost::asio {
class io_context;
}

namespace caraway {

using store_callback = std::function<void(const store_reply&)>;
// Told of every finished call: the command, its result, bytes sent, bytes received.
using store_observer =
    std::function<void(const store_command&, error_kind, std::uint64_t, std::uint64_t)>;

// A client that spreads calls over a few persistent connections, opened when needed. After a
// connection failure the next call tries the next of the service's addresses.
class store_client {
public:
    static std::unique_ptr<store_client> create(boost::asio::io_context& context,
                                                std::vector<ip_endpoint> addresses,
                                                store_codec codec, milliseconds timeout,
                                                store_observer observer);
    store_client(const store_client&) = delete;
    store_client& operator=(const store_client&) = delete;
    store_client(store_client&&) = delete;
    store_client& operator=(store_client&&) = delete;
    ~store_client();

    void get(std::string_view key, store_callback done);
    // Writes if the key's revision is if_revision (0: absent; nothing: unconditionally), attached
    // to the lease unless it is empty.
    void put(std::string_view key, std::string_view value, std::optional<std::uint64_t> if_revision,
             std::string_view lease, store_callback done);
    void remove(std::string_view key, std::optional<std::uint64_t> if_revision,
                store_callback done);
    void list(std::string_view prefix, store_callback done);
    // The same where an answer that is some seconds old will do, which costs the service less.
    void list_stale(std::string_view prefix, store_callback done);
    // Waits up to wait for a change below the prefix after a store revision. An empty reply with
    // the same revision means that nothing changed.
    void watch(std::string_view prefix, std::uint64_t after, milliseconds wait,
               store_callback done);
    // The same without values, for keys that hold much.
    void list_keys(std::string_view prefix, store_callback done);
    void watch_keys(std::string_view prefix, std::uint64_t after, milliseconds wait,
                    store_callback done);
    void create_lease(milliseconds period, store_callback done);
    void renew_lease(std::string_view lease, store_callback done);
    void end_lease(std::string_view lease, store_callback done);

private:
    class impl;
    explicit store_client(std::shared_ptr<impl> implementation);
    void run(store_command command, milliseconds timeout, store_callback done);
    void run_list(store_operation operation, std::string_view prefix, bool allow_stale,
                  store_callback done);
    void run_watch(store_operation operation, std::string_view prefix, std::uint64_t after,
                   milliseconds wait, store_callback done);
    std::shared_ptr<impl> m_impl; // calls under way keep it alive until they end
};

} // namespace caraway
