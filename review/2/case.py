"""The store is silent for a moment, and the watches that wait then are cut."""
import os
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from standins import *  # noqa: E402,F403

SILENT_S = 2.5     # platform_down, how = "silent"
CUT_AFTER_S = 1.0  # when the waiting watches are cut
EVACUATE_S = BOUNDS["evacuate_ms"] / 1000


class SilentStore(Store):
    """While silent, it takes calls and never answers them. Its watches can be cut."""

    def __init__(self, ip, port):
        self.silent, self.waiting, self.lock = False, set(), threading.Lock()
        super().__init__(ip, port)

    def read(self, handler):
        if self.silent:
            return self.swallow(handler)
        watches = handler.path.startswith("/api/kv-watch")
        if watches:
            with self.lock:
                self.waiting.add(handler.connection)
        try:
            return super().read(handler)
        except OSError:
            handler.close_connection = True  # the watch was cut
            return None
        finally:
            with self.lock:
                self.waiting.discard(handler.connection)

    def write(self, handler, body):
        return self.swallow(handler) if self.silent else super().write(handler, body)

    @staticmethod
    def swallow(handler):
        """The call is lost, and the connection carries no more answers."""
        time.sleep(600)
        handler.close_connection = True

    def cut_watches(self):
        with self.lock:
            for connection in self.waiting:
                connection.shutdown(socket.SHUT_RDWR)
            return len(self.waiting)


def case(deployment):
    record, store = deployment.record, deployment.store
    deployment.configure(7, [("/orders/", "non_idempotent", {"service": "orders"})], ["orders"])
    deployment.start_nodes()
    servers = [BackendServer(record, m, "orders") for m in deployment.machines]
    for server in servers:
        server.report()
    client = Client(record, deployment.machines[0])
    deployment.wait(lambda: client.call("/orders/first") == 200, 10, "the first answer")
    for machine in deployment.machines:
        deployment.keep_calling(machine, "/orders/a", 0.05, clients=2)
    deployment.sleep_until(8)
    if TROUBLE:
        begin = record.line("the store is silent")
        store.silent = True
        deployment.sleep_until(begin + CUT_AFTER_S)
        record.line(f"{store.cut_watches()} watches are cut")
        deployment.sleep_until(begin + SILENT_S)
        store.silent = False
        record.line("the store answers again")
    # From contact_ms after the end of the disruption, the core is stable and all are in touch.
    deployment.sleep_until(record.now() + CONTACT_S + 0.1)
    zone = deployment.machines[0].zone
    store.put("op/evacuate/" + zone, {})
    acknowledged = record.line(f"evacuation of {zone} acknowledged")
    deployment.sleep_until(acknowledged + EVACUATE_S + 6)
    deployment.stopping.set()
    return [f"EVAC: {attempt} reaches a server in {zone} {at - acknowledged:.3f} s after the "
            "acknowledgement of its evacuation"
            for server in servers if server.machine.zone == zone
            for at, attempt, _ in server.runs if at > acknowledged + EVACUATE_S]


play(__file__, [("cairo-a", "orders"), ("cairo-a", "orders"), ("cairo-b", "orders"),
                ("cairo-b", "orders")], case, SilentStore)
