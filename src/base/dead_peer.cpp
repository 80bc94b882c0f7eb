#include "base/dead_peer.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace caraway {
namespace {

constexpr int probe_after_s = 1;
constexpr int probe_interval_s = 1;
constexpr int probes = 2;
constexpr unsigned unanswered_ms = 3'000;

// Without these options a dead connection is only noticed later, so a failure to set one is no
// error of the connection.
void set(int socket, int level, int name, int value) {
    static_cast<void>(::setsockopt(socket, level, name, &value, sizeof(value)));
}

} // namespace

void detect_dead_peer(int socket) {
    set(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set(socket, IPPROTO_TCP, TCP_KEEPIDLE, probe_after_s);
    set(socket, IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_s);
    set(socket, IPPROTO_TCP, TCP_KEEPCNT, probes);
    set(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(unanswered_ms));
}

} // namespace caraway
