#include "base/dead_peer.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace caraway {
namespace {

// Together these end a connection about 3 s after the peer stops answering: by keepalive probes
// while it is idle, by the user timeout while sent data is unacknowledged.
constexpr int idle_before_probe_s = 1;
constexpr int probe_interval_s = 1;
constexpr int max_unanswered_probes = 2;
constexpr unsigned user_timeout_ms = 3'000;

// Ignores errors: without these options a dead connection is only detected later.
void set_socket_option(int socket, int level, int name, int value) {
    static_cast<void>(::setsockopt(socket, level, name, &value, sizeof(value)));
}

} // namespace

void detect_dead_peer(int socket) {
    set_socket_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_socket_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, idle_before_probe_s);
    set_socket_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_s);
    set_socket_option(socket, IPPROTO_TCP, TCP_KEEPCNT, max_unanswered_probes);
    set_socket_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(user_timeout_ms));
}

} // namespace caraway
