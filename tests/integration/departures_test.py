"""Departures of backend servers that nodes have acknowledged, on the platform: they outlive the loss
of any processes, and a late report revives no server."""
import json
import time

from harness import run_tests, wait_until
from platform_standins import ReportingServer
from platform_test import CONTACT_S, DRAIN_S, READY_S, Platform

LATE_S = 3         # by which a report is late
REPORT_DELAY_S = 6  # by which a report is late at most
REPORTED_S = 2     # until a server that reports gets calls again
SOME_CALLS = 20


def drain(server):
    server.state = "draining"
    return server.report()


class Departure:
    """A server that departs, and its report that was under way at that time."""

    def __init__(self, platform, depart):
        self.platform = platform
        self.left = platform.instances[1]
        self.server = self.left.server
        self.server.stopped.set()
        time.sleep(0.4)  # a report may be under way
        self.late_report = self.server.make_report()
        self.sent_at = time.monotonic()
        assert depart(self.server) == 200
        self.acknowledged_at = time.monotonic()

    def send_late_report(self):
        time.sleep(max(0, self.sent_at + LATE_S - time.monotonic()))
        self.server.report(self.late_report)

    def check_no_calls(self):
        """Checks that the server gets no calls, and that its service is available elsewhere."""
        until = time.monotonic() + CONTACT_S
        answered = 0
        while time.monotonic() < until:
            for instance in self.platform.instances:
                answered += instance.call("/orders/a")[0] == 200
        late_runs = [at - self.acknowledged_at for _, at in self.server.runs
                     if at > self.acknowledged_at + DRAIN_S]
        assert not late_runs, f"{len(late_runs)} runs, the first {late_runs[0]:.1f} s later"
        assert answered > SOME_CALLS, answered


def check_all_killed(depart):
    with Platform() as platform:
        departure = Departure(platform, depart)
        platform.restart_all()
        departure.send_late_report()
        departure.check_no_calls()


def test_a_leave_outlives_all_nodes():
    """Guards against an acknowledged leave that only processes know: all were killed, and a late
    report revived the server, which got 10 to 19 of 40 calls."""
    check_all_killed(ReportingServer.leave)


def test_draining_outlives_all_nodes():
    """Guards against the same for a server that reports that it is draining."""
    check_all_killed(drain)


def test_a_leave_outlives_two_kills():
    """Guards against a departure that the processes which are killed the second time have read but
    don't keep."""
    with Platform() as platform:
        departure = Departure(platform, ReportingServer.leave)
        for _ in range(2):
            platform.restart_all()
        departure.send_late_report()
        departure.check_no_calls()


def test_a_late_report_while_only_some_nodes_are_back():
    """Guards against a node that starts alone, takes the late report for one of an unknown server and
    keeps it after the others are back."""
    with Platform() as platform:
        departure = Departure(platform, ReportingServer.leave)
        platform.kill(platform.instances)
        platform.start([departure.left])
        departure.send_late_report()
        platform.start([i for i in platform.instances if i is not departure.left])
        departure.check_no_calls()


def test_a_late_report_while_the_store_is_away():
    """Guards against a node that starts while the store doesn't answer, and takes the late report
    for one of a ready server. A server that goes on reporting is available again."""
    with Platform() as platform:
        departure = Departure(platform, ReportingServer.leave)
        platform.store.down = True
        platform.kill(platform.instances)
        for instance in platform.instances:
            instance.start()
        departure.send_late_report()
        time.sleep(max(0, departure.sent_at + REPORT_DELAY_S + REPORTED_S - time.monotonic()))
        platform.store.down = False
        wait_until(lambda: all(i.ready() for i in platform.instances), READY_S, "ready again")
        departure.check_no_calls()


def test_a_late_report_as_the_store_comes_back():
    """Guards against a node that started while the store was away, has taken the late report and
    uses its server as soon as it has a configuration."""
    with Platform() as platform:
        departure = Departure(platform, ReportingServer.leave)
        platform.store.down = True
        platform.kill(platform.instances)
        for instance in platform.instances:
            instance.start()
        departure.send_late_report()
        platform.store.down = False
        departure.check_no_calls()


def test_a_node_restarted_without_the_store_learns_from_members():
    """Guards against a departure that a node forgets when it alone is restarted while the store
    doesn't answer, and against one for which its next server has to wait."""
    with Platform() as platform:
        departure = Departure(platform, ReportingServer.leave)
        platform.store.down = True
        platform.kill([departure.left])
        platform.start([departure.left])
        departure.send_late_report()
        departure.check_no_calls()
        other = platform.instances[0]
        platform.kill([other])
        other.start()
        started_at = time.monotonic()
        wait_until(lambda: other.ready() and other.call("/orders/a")[0] == 200, READY_S, "serves")
        served_s = time.monotonic() - started_at
        assert served_s < REPORT_DELAY_S, served_s
        return f"calls {served_s:.1f} s after the start"


def test_a_departure_is_acknowledged_once_the_store_holds_it():
    """Guards against an acknowledgement that nothing but processes would remember, and against one
    that never comes once the store answers again."""
    with Platform() as platform:
        server = platform.instances[1].server
        server.stopped.set()
        platform.store.down = True
        assert server.leave() == 503
        runs = len(server.runs)
        for _ in range(SOME_CALLS):
            assert platform.instances[3].call("/orders/a")[0] == 200
        assert len(server.runs) == runs, "a call to a server whose leave isn't acknowledged yet"
        platform.store.down = False
        wait_until(lambda: server.leave() == 200, 2, "acknowledged")
        stored = [json.loads(platform.store.value(key)) for key in platform.store.items
                  if key.startswith("caraway/departure/")]
        assert [d["server"] for d in stored] == [server.instance_id], stored
        writes = platform.store.revision
        for _ in range(5):
            assert server.leave() == 200
        assert platform.store.revision == writes, "written again"
        leases = {platform.store.items[key]["lease"] for key in platform.store.items
                  if key.startswith("caraway/departure/")}
        assert 0 not in leases, "a departure that the store never removes"


def test_a_departure_outlives_a_restoration_of_the_store():
    """Guards against an acknowledged departure that a restoration of the store loses, and with it
    the next loss of all processes."""
    with Platform() as platform:
        platform.store.take_copy()
        departure = Departure(platform, ReportingServer.leave)
        platform.store.restore()
        wait_until(lambda: any(key.startswith("caraway/departure/") for key in platform.store.items),
                   3, "written again")
        platform.restart_all()
        departure.send_late_report()
        departure.check_no_calls()


def test_a_write_lost_to_a_restoration_is_not_acknowledged():
    """Guards against an acknowledgement of a departure whose write the store has lost by the time of
    its answer: the answer is of a later era."""
    with Platform() as platform:
        store, server = platform.store, platform.instances[1].server
        server.stopped.set()
        store.take_copy()
        store.lose_write_of = "caraway/departure/"

        def acknowledged():
            status = server.leave()
            held = any(key.startswith("caraway/departure/") for key in store.items)
            assert held or status != 200, "acknowledged, but the store doesn't hold it"
            return status == 200
        wait_until(acknowledged, 3, "acknowledged")
        assert store.era == 1


if __name__ == "__main__":
    run_tests([test_a_leave_outlives_all_nodes, test_draining_outlives_all_nodes,
               test_a_leave_outlives_two_kills, test_a_late_report_while_only_some_nodes_are_back,
               test_a_late_report_while_the_store_is_away,
               test_a_late_report_as_the_store_comes_back,
               test_a_node_restarted_without_the_store_learns_from_members,
               test_a_departure_is_acknowledged_once_the_store_holds_it,
               test_a_departure_outlives_a_restoration_of_the_store,
               test_a_write_lost_to_a_restoration_is_not_acknowledged])
