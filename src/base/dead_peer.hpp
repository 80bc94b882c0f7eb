// Detection of dead TCP connections. A peer that lost power or was cut off from the network sends
// no reset.
#pragma once

namespace caraway {

// Enables TCP keepalive and a user timeout, so that the kernel ends the connection about 3 s after
// the peer stops acknowledging probes or data. socket is the descriptor of a connected TCP socket.
// Errors are ignored.
void detect_dead_peer(int socket);

} // namespace caraway
