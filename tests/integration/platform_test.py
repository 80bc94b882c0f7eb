"""Nodes on the platform, reached through its adapter: real processes, a stand-in of the platform's
store and backend servers that report themselves."""
import time

from harness import Harness, request, run_tests, wait_until
from platform_mesh import FIRST_ROUTES, Instance, config
from platform_standins import PlatformStore, ReportingServer, invalid_reports

READY_S = 10    # until started nodes are ready
APPLY_S = 2     # until an accepted configuration is in force
JOINED_S = 1.2  # until nodes that start together have joined; they look for others after 2 s
EVACUATE_S = 3  # until a data centre that was taken out gets no new calls
CONTACT_S = 3   # from the end of an outage until the bounds hold again
DRAIN_S = 2     # from the acknowledgement of a departure until the server gets no calls

class Platform:
    """A store and four instances in two data centres."""

    def __init__(self, separate_groups=False):
        # If true, the instances of a service at first join only each other.
        self.separate_groups = separate_groups

    def __enter__(self):
        self.harness = Harness()
        self.harness.__enter__()
        self.store = PlatformStore()
        self.store.put("op/config", config(5, FIRST_ROUTES))
        self.instances = []
        for service in ("orders", "stock"):
            self.instances += [Instance(self.harness, self.store, f"{service}-{data_centre}",
                                        service, data_centre) for data_centre in ("north", "south")]
            if self.separate_groups:
                wait_until(lambda: all(i.ready() for i in self.instances), READY_S, "ready")
                # Hides the entry points of "orders" from the instances of "stock".
                self.store.hidden_key_parts = ("/orders-",)
        wait_until(lambda: all(i.ready() for i in self.instances), READY_S, "ready")
        if self.separate_groups:
            time.sleep(JOINED_S)
        self.store.hidden_key_parts = ()
        for path in ("/orders/x", "/stock/x"):
            wait_until(lambda: all(i.call(path)[0] == 200 for i in self.instances), READY_S, path)
        return self

    @staticmethod
    def kill(instances):
        for instance in instances:
            instance.node.kill()

    @staticmethod
    def start(instances):
        for instance in instances:
            instance.start()
        wait_until(lambda: all(i.ready() for i in instances), READY_S, "ready again")

    def restart_all(self):
        """Kills all nodes at the same moment and starts them again."""
        self.kill(self.instances)
        self.start(self.instances)

    def __exit__(self, kind, value, trace):
        for instance in self.instances:
            instance.server.stopped.set()
        self.harness.__exit__(kind, value, trace)


def test_calls_and_configuration_change():
    """Guards against an adapter that loses, changes or misroutes a call, against a configuration
    that is not in force in time, and against 404 for an existing route."""
    with Platform() as platform:
        entry = platform.instances[0]
        body = bytes(range(256)) * 40
        assert entry.call("/orders/big", body) == (200, body)
        assert entry.call("/nowhere/")[0] == 404
        before = [len(i.server.runs) for i in platform.instances]
        for _ in range(40):
            assert entry.call("/both/y")[0] == 200
        runs = [len(i.server.runs) - n for i, n in zip(platform.instances, before)]
        assert runs[0] + runs[1] == 30 and runs[2] + runs[3] == 10, runs
        assert {c for i in platform.instances for c in i.server.callers} <= {"orders", "stock"}
        platform.store.put("op/config", config(9, [*FIRST_ROUTES[:2], ("/new/", "idempotent",
                                                                       {"service": "stock"})]))
        written_at = time.monotonic()
        wait_until(lambda: all(i.call("/new/z")[0] == 200 and i.call("/both/z")[0] == 404
                               for i in platform.instances), APPLY_S, "in force")
        delay_s = time.monotonic() - written_at
        attempts = [n for i in platform.instances for n, _ in i.server.runs]
        assert len(attempts) == len(set(attempts)), "a call ran twice"
        return \
            f"{len(attempts)} runs, applied in {delay_s:.2f} s, {platform.store.calls} store calls"


def test_drain_and_evacuation():
    """Guards against calls to a server after its leave was acknowledged, and to a data centre that
    was taken out, while calls go on elsewhere."""
    with Platform() as platform:
        first, second = platform.instances[0], platform.instances[1]
        first.server.state = "draining"
        assert first.server.report() == 200
        draining_at = time.monotonic()
        for _ in range(20):
            assert first.call("/orders/a")[0] == 200
        assert all(at < draining_at for _, at in first.server.runs), "a run after the leave"
        assert second.server.leave() == 200
        left_at = time.monotonic()
        status, _ = second.call("/orders/b")
        assert status == 503, status
        assert all(at < left_at for _, at in second.server.runs)
        platform.store.put("op/evacuate/north", "{}")
        time.sleep(EVACUATE_S)
        evacuated_at = time.monotonic()
        for _ in range(20):
            assert first.call("/stock/c")[0] == 200
        north, south = platform.instances[2], platform.instances[3]
        assert all(at < evacuated_at for _, at in north.server.runs), \
            "a run in an evacuated data centre"
        assert sum(at > evacuated_at for _, at in south.server.runs) == 20
        platform.store.delete("op/evacuate/north")
        wait_until(lambda: [first.call("/stock/d") for _ in range(8)] and
                   any(at > evacuated_at for _, at in north.server.runs), 5, "taken back")


def test_store_unavailable():
    """Guards against calls that fail while the store is unavailable, and against a node that then
    cannot start although members hold the configuration."""
    with Platform() as platform:
        platform.store.down = True
        with platform.store.changed:
            platform.store.changed.notify_all()
        restarted, entry = platform.instances[2], platform.instances[0]
        restarted.node.kill()
        restarted.node.wait(5)
        for _ in range(20):
            assert entry.call("/stock/a")[0] == 200
        restarted.start()
        wait_until(restarted.ready, READY_S, "ready without the store")
        wait_until(lambda: restarted.call("/orders/a")[0] == 200, 5, "calls without the store")
        platform.store.down = False
        platform.store.put("op/config", config(6, FIRST_ROUTES[:2]))
        wait_until(lambda: all(i.call("/both/a")[0] == 404 for i in platform.instances), 5,
                   "in force after the store's return")


def check_change_after_silence(disturb_watches):
    """Loses all calls to the store for 2.5 s and disturbs the watches meanwhile. Checks that a
    change is in force in time once the store has answered again for CONTACT_S."""
    with Platform() as platform:
        platform.store.silent = True
        time.sleep(1)
        disturb_watches(platform.store)
        time.sleep(1.5)
        platform.store.silent = False
        time.sleep(CONTACT_S)
        platform.store.put("op/config", config(9, FIRST_ROUTES[:2]))
        wait_until(lambda: all(i.call("/both/z")[0] == 404 for i in platform.instances), APPLY_S,
                   "in force")


def test_watches_begun_in_a_silent_outage():
    """Guards against a watch whose call was lost and that holds back every other read: after the
    watches were cut while the store was silent, nothing was read for 12 s."""
    check_change_after_silence(PlatformStore.cut_watches)


def test_watches_answered_in_a_silent_outage():
    """Guards against a watch whose answer was lost, which looks like one that still waits."""
    check_change_after_silence(
        lambda store: store.put("op/config", config(7, FIRST_ROUTES)))


def check_departure_outlives_the_node(depart, late_s):
    """Restarts a node right after it has acknowledged a departure of its server, and sends the
    server's report that was under way at the time late. Checks that no call reaches the server."""
    with Platform() as platform:
        # The entry prefers servers of its own data centre, that is, the one that leaves.
        left, entry = platform.instances[1], platform.instances[3]
        left.server.stopped.set()
        time.sleep(0.4)  # a report may be under way
        late_report = left.server.make_report()
        assert depart(left.server) == 200
        departed_at = time.monotonic()
        left.node.kill()
        left.node.wait(5)
        left.start()
        wait_until(left.ready, READY_S, "ready")
        time.sleep(max(0, departed_at + late_s - time.monotonic()))
        left.server.report(late_report)
        until = time.monotonic() + CONTACT_S
        while time.monotonic() < until:
            entry.call("/orders/a")
        late_runs = [at - departed_at for _, at in left.server.runs if at > departed_at + DRAIN_S]
        assert not late_runs, f"{len(late_runs)} runs, the first {late_runs[0]:.1f} s later"


def test_leave_outlives_the_node():
    """Guards against a leave notice that only the process that acknowledged it knows: the restarted
    node took a late report for that of a ready server and sent it 68 calls."""
    check_departure_outlives_the_node(ReportingServer.leave, late_s=3)


def test_draining_outlives_the_node():
    """Guards against the same for a server that reports that it is draining."""
    def drain(server):
        server.state = "draining"
        return server.report()
    check_departure_outlives_the_node(drain, late_s=2.5)


def test_invalid_entries_and_reports():
    """Guards against one invalid entry of another writer that ends the nodes that read it, or that
    makes all reports of a real server count as stale."""
    invalid_values = ["[" * 60_000, '{"port":99999}', "127.0.0.1:99999", "127.0.0.1:" + "9" * 400,
                  "\x00", ""]
    with Platform() as platform:
        for number, value in enumerate(invalid_values):
            platform.store.put(f"caraway/entry/north/invalid{number}", value)
            platform.store.put(f"caraway/entry/{number}", value)
            platform.store.put(f"status/rollout/invalid{number}", value)
        for instance in platform.instances:
            for path, body in invalid_reports(instance.server):
                status = request(instance.reports, "POST", path, body, timeout_s=2)[0]
                assert status == 400, (path, body[:60], status)
        restarted = platform.instances[0]
        restarted.node.kill()
        restarted.start()
        wait_until(restarted.ready, READY_S, "ready")
        begin = time.monotonic()
        wait_until(lambda: [i.call(f"/{i.service}/a") for i in platform.instances] and
                   all(any(at > begin for _, at in i.server.runs) for i in platform.instances),
                   5, "calls at all servers")
        assert all(i.node.running() for i in platform.instances)


def test_groups_that_started_apart():
    """Guards against nodes that start together, join only each other and never join the rest. In a
    test of one day with a power loss, 3 of 8 runs refused a fifth of the day's calls after it."""
    with Platform(separate_groups=True) as platform:
        for instance in platform.instances:
            wait_until(lambda: all(instance.call(path)[0] == 200
                                   for path in ("/orders/x", "/stock/x")),
                       READY_S, instance.name)


if __name__ == "__main__":
    run_tests([test_calls_and_configuration_change, test_drain_and_evacuation,
               test_store_unavailable, test_watches_begun_in_a_silent_outage,
               test_watches_answered_in_a_silent_outage, test_leave_outlives_the_node,
               test_draining_outlives_the_node, test_invalid_entries_and_reports,
               test_groups_that_started_apart])
