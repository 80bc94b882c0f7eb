"""Orders to move a service to a version, one after the other, on the platform: real processes, a
stand-in of the platform's store, and backend servers of good and bad versions."""
import functools
import json
import threading
import time

from harness import run_tests, wait_until
from platform_mesh import Instance
from platform_standins import ReportingServer
from platform_test import APPLY_S, READY_S, Platform

MOVE_S = 12      # time that an order gives
OBSERVED_S = 3   # for which calls are watched after a change
SENDERS = 6
PAUSE_S = 0.02


class FailingServer(ReportingServer):
    """A server of a bad version: all of its answers are failures."""

    def handle_request(self, handler, body):
        attempt_id = handler.headers["X-Carawaytray-Attempt-Id"]
        self.runs.append((attempt_id, time.monotonic()))
        return handler.reply(500, b"failed", {"X-Carawaytray-Attempt-Id": attempt_id,
                                              "X-Carawaytray-Server-Seal": self.instance_id})


class MovingPlatform(Platform):
    """A platform whose callers send to the service "stock" all the time."""

    def __enter__(self):
        super().__enter__()
        self.ended = threading.Event()
        self.entries = list(self.instances)
        for number in range(SENDERS):
            threading.Thread(target=self._send, args=(self.entries[number % 4],),
                             daemon=True).start()
        return self

    def __exit__(self, kind, value, trace):
        self.ended.set()
        super().__exit__(kind, value, trace)

    def _send(self, entry):
        while not self.ended.wait(PAUSE_S):
            try:
                entry.call("/stock/a")
            except (OSError, ValueError):
                pass  # the node is being restarted

    def add_version(self, version, server_class=ReportingServer):
        """Starts two servers of a version and the nodes beside them."""
        added = [Instance(self.harness, self.store, f"stock-{version}-{data_centre}", "stock",
                          data_centre, functools.partial(server_class, version=version))
                 for data_centre in ("north", "south")]
        self.instances += added
        wait_until(lambda: all(i.ready() for i in added), READY_S, version + " is ready")
        return added

    def order(self, version):
        self.store.put("op/rollout/stock", json.dumps(
            {"service": "stock", "target_version": version, "duration_s": MOVE_S}))

    def wait_for_state(self, version, state):
        def reached():
            status = json.loads(self.store.value("status/rollout/stock") or "{}")
            return (status.get("target_version"), status.get("state")) == (version, state)
        wait_until(reached, MOVE_S + 5, f"{version} is {state}")

    def check_no_calls(self, instances, what):
        """Checks that the servers get no calls, and that others do."""
        time.sleep(APPLY_S)
        before = sum(len(i.server.runs) for i in instances)
        others_before = sum(len(i.server.runs) for i in self.instances)
        time.sleep(OBSERVED_S)
        late = sum(len(i.server.runs) for i in instances) - before
        others = sum(len(i.server.runs) for i in self.instances) - others_before - late
        assert late == 0, f"{late} calls at {instances[0].server.version} {what}, {others} elsewhere"
        assert others > 0, f"no calls {what}"


def test_a_version_taken_back_gets_no_calls_after_the_next_order():
    """Guards against calls to a version that was taken back, from the next order on or after a
    restart of all nodes: it counted as an old version."""
    with MovingPlatform() as platform:
        bad = platform.add_version("v2", FailingServer)
        platform.order("v2")
        platform.wait_for_state("v2", "rolled_back")
        platform.add_version("v3")
        platform.order("v3")
        platform.check_no_calls(bad, "after the next order")
        platform.restart_all()
        platform.check_no_calls(bad, "after a restart of all nodes")
        platform.store.delete("op/rollout/stock")
        platform.check_no_calls(bad, "after the order is deleted")
        platform.order("v2")
        platform.wait_for_state("v2", "rolled_back")
        platform.check_no_calls(bad, "after it was ordered and taken back again")


def test_a_version_whose_order_was_replaced_gets_no_calls():
    """Guards against full traffic for an untested version, whose order was replaced or deleted while
    its move was running."""
    with MovingPlatform() as platform:
        untested = platform.add_version("v2")
        platform.order("v2")
        platform.wait_for_state("v2", "running")
        platform.store.delete("op/rollout/stock")
        platform.check_no_calls(untested, "after its order was deleted")
        platform.order("v3")
        platform.check_no_calls(untested, "after the next order")
        platform.restart_all()
        platform.check_no_calls(untested, "after a restart of all nodes")


if __name__ == "__main__":
    run_tests([test_a_version_taken_back_gets_no_calls_after_the_next_order,
               test_a_version_whose_order_was_replaced_gets_no_calls])
