// Transports between nodes on the control thread: UDP datagrams for probes and rumours, nng
// request/reply for bulk messages.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "config/settings.hpp"

namespace boost::asio {
class io_context;
}

namespace caraway {

// Told of control bytes: sent, received.
using byte_counter = std::function<void(std::uint64_t, std::uint64_t)>;

// A UDP socket for packets.
class datagram_socket {
public:
    using receiver = std::function<void(const ip_endpoint& from, std::string_view bytes)>;

    // Binds the socket and starts receiving. Fails with invalid_settings when it can't be bound.
    static std::unique_ptr<datagram_socket> open(boost::asio::io_context& context,
                                                 const ip_endpoint& listen, receiver on_packet,
                                                 byte_counter count_bytes, error& reason);
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;
    datagram_socket(datagram_socket&&) = delete;
    datagram_socket& operator=(datagram_socket&&) = delete;
    ~datagram_socket();

    // Sends without waiting; a datagram that the system can't take at once is lost.
    void send(const ip_endpoint& to, std::string_view bytes);

private:
    class impl;
    explicit datagram_socket(std::shared_ptr<impl> implementation);
    std::shared_ptr<impl> m_impl;
};

// Serves bulk requests and sends them to peers.
class bulk_transport {
public:
    // Computes the reply to a request; runs on the control thread.
    using handler = std::function<std::string(std::string_view request)>;
    // kind is none on success; peer_unreachable on timeout or connection failure.
    using callback = std::function<void(error_kind kind, std::string_view reply)>;

    // source is the local IP address of outgoing connections; empty: the system chooses.
    static std::unique_ptr<bulk_transport> open(boost::asio::io_context& context,
                                                const ip_endpoint& listen, handler on_request,
                                                byte_counter count_bytes, error& reason,
                                                std::string_view source_address = {});
    bulk_transport(const bulk_transport&) = delete;
    bulk_transport& operator=(const bulk_transport&) = delete;
    bulk_transport(bulk_transport&&) = delete;
    bulk_transport& operator=(bulk_transport&&) = delete;
    ~bulk_transport();

    // Sends one request over a connection of its own, closed after the reply: peers are many and
    // exchanges rare, so kept connections would grow with the fleet. At most max_pending_requests
    // are under way; above that the callback gets peer_busy.
    void request(const ip_endpoint& to, std::string_view bytes, milliseconds timeout,
                 callback done);

private:
    class impl;
    explicit bulk_transport(std::shared_ptr<impl> implementation);
    std::shared_ptr<impl> m_impl;
};

// Requests of one node under way at a time.
constexpr std::size_t max_pending_requests = 64;

} // namespace caraway
