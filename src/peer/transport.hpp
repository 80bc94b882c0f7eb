// Transports between nodes: UDP datagrams for probes and rumours, nng request/reply for bulk
// messages. All functions and callbacks run on the control thread.
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

// Receives the number of bytes sent and received, in this order, after each transfer.
using byte_counter = std::function<void(std::uint64_t, std::uint64_t)>;

// UDP socket for encoded packets. Reports each received datagram to its receiver.
class datagram_socket {
public:
    // Receives the bytes of each datagram and the address of its sender.
    using receiver = std::function<void(const ip_endpoint& from, std::string_view bytes)>;

    // Binds the socket and starts receiving. Fails with invalid_settings if binding fails.
    static std::unique_ptr<datagram_socket> open(boost::asio::io_context& context,
                                                 const ip_endpoint& listen, receiver on_packet,
                                                 byte_counter count_bytes, error& reason);
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;
    datagram_socket(datagram_socket&&) = delete;
    datagram_socket& operator=(datagram_socket&&) = delete;
    ~datagram_socket();

    // Sends a datagram without blocking. The datagram is lost if the kernel can't accept it at
    // once.
    void send(const ip_endpoint& to, std::string_view bytes);

private:
    class impl;
    explicit datagram_socket(std::shared_ptr<impl> implementation);
    std::shared_ptr<impl> m_impl;
};

// Serves bulk requests of peers and sends bulk requests to them.
class bulk_transport {
public:
    // Returns the encoded reply to an encoded request.
    using handler = std::function<std::string(std::string_view request)>;
    // Receives the result of a request: kind is none on success, peer_unreachable on a timeout or
    // connection failure, or peer_busy.
    using callback = std::function<void(error_kind kind, std::string_view reply)>;

    // Listens for requests. source_address is the local IP address of outgoing connections; the
    // kernel chooses one if it is empty. Fails with invalid_settings if listening fails.
    static std::unique_ptr<bulk_transport> open(boost::asio::io_context& context,
                                                const ip_endpoint& listen, handler on_request,
                                                byte_counter count_bytes, error& reason,
                                                std::string_view source_address = {});
    bulk_transport(const bulk_transport&) = delete;
    bulk_transport& operator=(const bulk_transport&) = delete;
    bulk_transport(bulk_transport&&) = delete;
    bulk_transport& operator=(bulk_transport&&) = delete;
    ~bulk_transport();

    // Sends one request over its own connection, which is closed after the reply: if connections
    // were kept for the few exchanges, their number would grow with the number of nodes. Calls done
    // with peer_busy at once if max_pending_requests are in progress.
    void request(const ip_endpoint& to, std::string_view bytes, milliseconds timeout,
                 callback done);

private:
    class impl;
    explicit bulk_transport(std::shared_ptr<impl> implementation);
    std::shared_ptr<impl> m_impl;
};

// Maximum number of outgoing requests of one node in progress at the same time.
constexpr std::size_t max_pending_requests = 64;

} // namespace caraway
