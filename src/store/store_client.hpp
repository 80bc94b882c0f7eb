// Asynchronous HTTP client of the platform's key-value service. Runs on the io_context of the code
// that creates it (the control thread). Each call has a timeout and reports exactly one reply
// unless the client is destroyed first. Revisions are versions (store/store_version.hpp), so that a
// revision that was assigned again after a restoration of the store is not taken for the old one.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "base/endpoint.hpp"
#include "base/error.hpp"
#include "store/store_codec.hpp"

namespace boost::asio {
class io_context;
}

namespace caraway {

// Receives the reply to a call.
using store_callback = std::function<void(const store_reply&)>;
// Called after every finished call with the command, its result, the bytes sent and the bytes
// received.
using store_observer =
    std::function<void(const store_command&, error_kind, std::uint64_t, std::uint64_t)>;

// Runs calls over a few persistent connections, which are opened on demand. After a failed
// connection attempt the next attempt uses the next of the service's addresses.
class store_client {
public:
    // Creates a client of the store at these addresses. timeout bounds a connection attempt and
    // each call except watches. observer may be empty.
    static std::unique_ptr<store_client> create(boost::asio::io_context& context,
                                                std::vector<ip_endpoint> addresses,
                                                store_codec codec, milliseconds timeout,
                                                store_observer observer);
    store_client(const store_client&) = delete;
    store_client& operator=(const store_client&) = delete;
    store_client(store_client&&) = delete;
    store_client& operator=(store_client&&) = delete;
    ~store_client();

    // Reads the value and revision of a key. Fails with store_not_found if it is absent.
    void get(std::string_view key, store_callback done);
    // Writes the value if the key's revision is if_revision: 0 requires that the key is absent, and
    // an empty optional writes unconditionally. The key is attached to the lease unless lease is
    // empty.
    void put(std::string_view key, std::string_view value, std::optional<std::uint64_t> if_revision,
             std::string_view lease, store_callback done);
    // Writes like put(), and writes the fence or requires it.
    void put_fenced(std::string_view key, std::string_view value,
                    std::optional<std::uint64_t> if_revision, std::string_view lease,
                    store_fence fence, store_callback done);
    // Deletes a key if its revision is if_revision; unconditionally if that is empty.
    void remove(std::string_view key, std::optional<std::uint64_t> if_revision,
                store_callback done);
    // Lists the keys with the prefix and their values, in as many requests as there are pages.
    void list(std::string_view prefix, store_callback done);
    // Lists like list(), but may return data that is some seconds old, which costs the store less.
    void list_stale(std::string_view prefix, store_callback done);
    // Returns the changes of keys with the prefix since the store revision `after`. If there are
    // none, waits for one for at most `wait`. An empty reply with the same revision means that
    // nothing changed.
    void watch(std::string_view prefix, std::uint64_t after, milliseconds wait,
               store_callback done);
    // Like list() and watch(), but without the values, for keys with large values.
    void list_keys(std::string_view prefix, store_callback done);
    void watch_keys(std::string_view prefix, std::uint64_t after, milliseconds wait,
                    store_callback done);
    // Creates a lease that expires when it isn't renewed within the period.
    void create_lease(milliseconds period, store_callback done);
    void renew_lease(std::string_view lease, store_callback done);
    void end_lease(std::string_view lease, store_callback done);

    // Returns the highest era that an answer has stated or that learn_era was told.
    std::uint64_t era() const;
    // States that the store is in this era or a later one. Answers of earlier eras are then
    // ignored.
    void learn_era(std::uint64_t era);

private:
    class impl;
    explicit store_client(std::shared_ptr<impl> implementation);
    void run(store_command command, milliseconds timeout, store_callback done);
    void run_list(store_operation operation, std::string_view prefix, bool allow_stale,
                  store_callback done);
    void run_watch(store_operation operation, std::string_view prefix, std::uint64_t after,
                   milliseconds wait, store_callback done);
    std::shared_ptr<impl> m_impl; // shared with the calls in progress
};

} // namespace caraway
