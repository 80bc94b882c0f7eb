#include "traffic/sockets.hpp"

#include <cerrno>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace caraway {

namespace asio = boost::asio;
using boost::system::error_code;

tcp::endpoint to_tcp_endpoint(const ip_endpoint& endpoint) {
    error_code ignored;
    return {asio::ip::make_address(endpoint.m_address, ignored), endpoint.m_port};
}

bool listen_at(tcp::acceptor& acceptor, const ip_endpoint& address, error& reason) {
    error_code failed;
    const tcp::endpoint endpoint = to_tcp_endpoint(address);
    acceptor.open(endpoint.protocol(), failed);
    if (!failed) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
    }
    if (!failed) {
        acceptor.bind(endpoint, failed);
    }
    if (!failed) {
        acceptor.listen(asio::socket_base::max_listen_connections, failed);
    }
    if (failed) {
        fail(reason, error_kind::invalid_settings,
             "listen on " + format_endpoint(address) + ": " + failed.message());
        return false;
    }
    return true;
}

bool is_readable_or_closed(tcp::socket& socket) {
    char byte = 0;
    const auto size = ::recv(socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool has_unacknowledged_bytes(tcp::socket& socket) {
    int bytes = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

} // namespace caraway
