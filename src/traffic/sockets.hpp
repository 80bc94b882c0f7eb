// TCP sockets of the traffic side and of the admin server.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "config/settings.hpp"

namespace caraway {

using tcp = boost::asio::ip::tcp;

// Delay before accepting again after a failure, which is usually a lack of file descriptors.
constexpr milliseconds accept_retry_delay{10};

// Converts an endpoint of the settings or of a member. A malformed address is converted to the
// unspecified address.
tcp::endpoint to_tcp_endpoint(const ip_endpoint& endpoint);

// Binds the acceptor to the address and listens. Returns false with invalid_settings if that fails.
bool listen_at(tcp::acceptor& acceptor, const ip_endpoint& address, error& reason);

// Returns true if an idle connection cannot be reused because the peer closed it or sent unexpected
// bytes.
bool is_readable_or_closed(tcp::socket& socket);

// Returns true if the peer hasn't acknowledged all bytes that were written to the socket. After an
// orderly end by the peer, it closed the connection before they had arrived there. Returns false if
// the system can't tell.
bool has_unacknowledged_bytes(tcp::socket& socket);

} // namespace caraway
