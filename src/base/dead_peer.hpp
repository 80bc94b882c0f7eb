// Detection of dead TCP connections: one whose other side lost power or was cut off resets nothing.
#pragma once

namespace caraway {

// Has the kernel probe the connection while it is silent, and end it about 3 s after the other side
// stopped to answer, be it probes or sent bytes. The descriptor is that of a connected TCP socket.
void detect_dead_peer(int socket);

} // namespace caraway
