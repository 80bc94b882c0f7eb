// Ports for tests that use real sockets.
#pragma once

#include <cstdint>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace caraway {

// Range below the ephemeral ports and below the ports of the integration tests. A port chosen by
// the system could become the local port of another process's connection before the test listens on
// it.
constexpr std::uint16_t first_test_port = 10'000;
constexpr std::uint16_t test_port_count = 4'000;

// Returns a port on which nothing listens; each call returns a different one.
inline std::uint16_t free_port() {
    static auto s_next = static_cast<std::uint16_t>(::getpid() % test_port_count);
    for (;;) {
        s_next = static_cast<std::uint16_t>((s_next + 1) % test_port_count);
        const auto port = static_cast<std::uint16_t>(first_test_port + s_next);
        boost::asio::io_context io;
        boost::asio::ip::tcp::acceptor acceptor(io);
        boost::system::error_code failed;
        acceptor.open(boost::asio::ip::tcp::v4());
        acceptor.set_option(boost::asio::socket_base::reuse_address(true));
        acceptor.bind({boost::asio::ip::address_v4::loopback(), port}, failed);
        if (!failed) {
            acceptor.listen(1, failed);
        }
        if (!failed) {
            return port;
        }
    }
}

} // namespace caraway
