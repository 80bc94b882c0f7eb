// TCP sockets of the traffic side and the admin address.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "config/settings.hpp"

namespace caraway {

using tcp = boost::asio::ip::tcp;

// Pause after a failed accept, which is mostly a lack of file descriptors.
constexpr milliseconds accept_retry_delay{10};

// Converts an address of the settings; a malformed address gives an unspecified one, to which no
// connection succeeds.
tcp::endpoint to_tcp_endpoint(const ip_endpoint& endpoint);

// Binds the acceptor to the address and listens. Fails with invalid_settings.
bool listen_at(tcp::acceptor& acceptor, const ip_endpoint& address, error& reason);

// True when an idle connection can't be used: the other side closed it or sent bytes unasked.
bool is_readable_or_closed(tcp::socket& socket);

} // namespace caraway
