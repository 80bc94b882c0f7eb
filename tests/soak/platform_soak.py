"""Randomized fault soak on the platform's interfaces: real nodes, and stand-ins of the store and of
backend servers that come and go.

usage: platform_soak.py BIN_DIR [--seeds FIRST..LAST | --seeds N,N | --fresh COUNT] [--seconds S]

For each seed, injects overlapping faults while clients call through one node that is spared: the
store loses calls, refuses them, cuts its watches, drops its history or is restored from a copy;
nodes are killed or paused;
servers leave, drain and are replaced while their reports arrive late; another writer sends invalid
reports; the operators change the configuration and take a data centre out. Then checks the promises
from what clients, servers and operators have seen, and that changes are in force in time once all
faults are over. Prints one line per seed and exits with 1 if a promise was broken.
"""
import argparse
import collections
import json
import os
import random
import sys
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "integration"))

from harness import Harness, request, wait_until  # noqa: E402
from platform_mesh import Instance, config  # noqa: E402
from platform_standins import PlatformStore, invalid_reports  # noqa: E402
from runner import FaultSchedule, add_seed_arguments, parse_seeds, run_seeds  # noqa: E402

# The platform's bounds. They hold at a time if there was no fault in the CONTACT_S before it.
CONTACT_S, APPLY_S, EVACUATE_S, DRAIN_S = 3, 2, 5, 2
READY_S = 15            # until all nodes are ready
CLIENTS, CLIENT_GAP_S = 4, 0.02
MAX_REPORT_DELAY_S = 4.0
BASE_ROUTES = [("/stock/", "non_idempotent", {"service": "stock"})]
EXTRA_ROUTE = ("/extra/", "idempotent", {"service": "stock"})


class PlatformSoak:
    """The run of one seed: the nodes, the faults and the times from which the promises follow."""

    def __init__(self, harness, seed, faults):
        self.rng, self.harness, self.store = random.Random(seed), harness, PlatformStore()
        self.faults, self.schedule = faults, FaultSchedule(self.rng, faults, self.next_fault)
        self.outages, self.disturbances = [], {}  # [begin, end] of the store, and by instance
        self.departures, self.evacuations, self.versions = [], [], []
        self.calls, self.probes, self.servers = [], [], []
        self.stopping = threading.Event()
        self.operators = threading.RLock()  # what they wrote and the items of the store agree
        self.config, self.evacuated = None, False

    def start(self):
        self.write_config(False)
        self.gate = Instance(self.harness, self.store, "gate", "orders", "north")
        self.workers = [Instance(self.harness, self.store, f"stock-{i}", "stock",
                                 "north" if i % 2 == 0 else "south") for i in range(4)]
        self.servers = [(worker, worker.server) for worker in self.workers]
        self.disturbances = {worker: [] for worker in self.workers}
        self.wait_until_served()

    def wait_until_served(self):
        nodes = [self.gate, *self.workers]
        wait_until(lambda: all(node.ready() for node in nodes), READY_S, "all nodes ready")
        wait_until(lambda: all(node.call("/stock/x", b"x")[0] == 200 for node in nodes), READY_S,
                   "calls served by all nodes")

    def write_config(self, with_extra_route):
        version = 5 + len(self.versions)
        routes = [*BASE_ROUTES, EXTRA_ROUTE] if with_extra_route else BASE_ROUTES
        with self.operators:
            self.config = config(version, routes)
            self.store.put("op/config", self.config)
            self.versions.append((time.monotonic(), with_extra_route))

    def disturb(self, intervals, begin, end, seconds):
        """Runs begin and, after the time, end. Records the time between them."""
        interval = [time.monotonic(), float("inf")]
        intervals.append(interval)
        begin()
        time.sleep(seconds)
        end()
        interval[1] = time.monotonic()

    # Each of these methods injects one fault and returns after it is over.

    def silence_store(self, rng):
        def begin():
            self.store.silent = True
            if rng.random() < 0.5:
                time.sleep(rng.uniform(0, 0.5))
                self.store.cut_watches()

        def end():
            self.store.silent = False
        self.disturb(self.outages, begin, end, rng.uniform(0.3, 4))

    def stop_store(self, rng):
        def set_down(value):
            with self.store.changed:
                self.store.down = value
                self.store.changed.notify_all()
        self.disturb(self.outages, lambda: set_down(True), lambda: set_down(False),
                     rng.uniform(0.3, 4))

    def drop_history(self, _):
        self.disturb(self.outages, self.store.drop_history, lambda: None, 0)

    def restore_store(self, rng):
        """Restores the store from a copy that lacks up to 3 s of writes; the operators then write
        again what they had written."""
        self.store.take_copy()
        time.sleep(rng.uniform(0.5, 3))

        def begin():
            with self.operators:
                self.store.restore(rng.uniform(0.1, 1))

        def end():
            with self.operators:
                self.store.put("op/config", self.config)
                if self.evacuated:
                    self.store.put("op/evacuate/south", "{}")
                else:
                    self.store.delete("op/evacuate/south")
        self.disturb(self.outages, begin, end, rng.uniform(0.3, 3))

    def restart_node(self, rng, worker):
        self.disturb(self.disturbances[worker], worker.node.kill, worker.start,
                     rng.uniform(0, 1))

    def pause_node(self, rng, worker):
        self.disturb(self.disturbances[worker], worker.node.pause, worker.node.resume,
                     rng.uniform(0.1, 2))

    def replace_server(self, rng, worker):
        """Lets a server depart while its last report is late, and starts another one after it."""
        server = worker.server
        late_report = server.make_report()
        if rng.random() < 0.5:
            server.stopped.set()
            status = server.leave(json.dumps({"born": server.started_ms}))
        else:
            server.state = "draining"
            status = server.report()
        if status == 200:
            self.departures.append((worker, server, time.monotonic()))
        if rng.random() < 0.5:
            self.restart_node(rng, worker)
        delay_s = rng.uniform(0.3, MAX_REPORT_DELAY_S)
        time.sleep(delay_s)
        server.report(late_report)
        time.sleep(rng.uniform(DRAIN_S, MAX_REPORT_DELAY_S))
        worker.replace_server(server.instance_id if rng.random() < 0.3 else None)
        self.servers.append((worker, worker.server))

    def send_invalid_report(self, rng, worker):
        path, body = rng.choice(invalid_reports(worker.server))
        try:
            request(worker.reports, "POST", path, body, timeout_s=2)
        except OSError:
            pass  # the node is down or paused

    def change_config(self, _):
        self.write_config(not self.versions[-1][1])

    def evacuate(self, rng):
        with self.operators:
            self.evacuated = True
            self.store.put("op/evacuate/south", "{}")
        evacuation = [time.monotonic(), float("inf")]
        self.evacuations.append(evacuation)
        time.sleep(EVACUATE_S + rng.uniform(0, 2))
        evacuation[1] = time.monotonic()
        with self.operators:
            self.evacuated = False
            self.store.delete("op/evacuate/south")

    def next_fault(self):
        """Picks a fault for the schedule."""
        kind, action, target = self.rng.choice([
            ("silence", self.silence_store, "store"), ("silence", self.silence_store, "store"),
            ("down", self.stop_store, "store"), ("history", self.drop_history, "store"),
            ("restore", self.restore_store, "store"),
            ("kill", self.restart_node, None), ("pause", self.pause_node, None),
            ("server", self.replace_server, None), ("server", self.replace_server, None),
            ("report", self.send_invalid_report, None), ("config", self.change_config, "config"),
            ("evacuate", self.evacuate, "evacuate")])
        if target is not None:
            return kind, {target}, action
        worker = self.rng.choice(self.workers)
        return f"{kind} {worker.name}", {worker.name}, lambda rng: action(rng, worker)

    def keep_calling(self, client):
        number = 0
        while not self.stopping.is_set():
            number += 1
            path, log = ("/extra/", self.probes) if number % 5 == 0 else ("/stock/x", self.calls)
            sent_at, attempt = time.monotonic(), f"client-{client}-{number}"
            try:
                status = self.gate.call(path, b"x", attempt_id=attempt)[0]
            except OSError as error:
                status = type(error).__name__
            log.append((sent_at, time.monotonic(), attempt, status))
            time.sleep(CLIENT_GAP_S)

    def run(self, seconds):
        self.start()
        clients = [threading.Thread(target=self.keep_calling, args=(i,)) for i in range(CLIENTS)]
        for client in clients:
            client.start()
        try:
            self.schedule.run(seconds)
            time.sleep(CONTACT_S)
            self.write_config(not self.versions[-1][1])
            time.sleep(APPLY_S + 1)
        finally:
            self.stopping.set()
            for client in clients:
                client.join()
        assert not self.schedule.errors, self.schedule.errors
        self.check_departures()
        self.check_evacuations()
        self.check_versions()
        self.check_runs()
        assert all(node.node.running() for node in [self.gate, *self.workers]), "a node has ended"
        self.wait_until_served()
        answered = sum(status == 200 for *_, status in self.calls)
        return f"{len(self.faults)} faults, {len(self.departures)} departures, " \
               f"{answered}/{len(self.calls)} answered"

    @staticmethod
    def is_calm(intervals, at):
        """Returns whether none of the intervals reaches into the CONTACT_S before the time."""
        return all(end + CONTACT_S < at or begin > at for begin, end in intervals)

    def check_departures(self):
        for worker, server, acknowledged_at in self.departures:
            late = [at - acknowledged_at for _, at in server.runs
                    if at > acknowledged_at + DRAIN_S and
                    self.is_calm(self.disturbances[worker], at)]
            assert not late, f"{len(late)} runs at {worker.name} after its server's departure, " \
                             f"the first after {late[0]:.1f} s"

    def check_evacuations(self):
        for begin, end in self.evacuations:
            for worker, server in self.servers:
                late = [at - begin for _, at in server.runs
                        if worker.data_centre == "south" and begin + EVACUATE_S < at < end and
                        self.is_calm(self.outages, at) and
                        self.is_calm(self.disturbances[worker], at)]
                assert not late, f"{len(late)} runs at {worker.name} in a data centre that was " \
                                 f"taken out, the first after {late[0]:.1f} s"

    def check_versions(self):
        """Checks that each probe was handled by a version that may be in force."""
        for sent_at, answered_at, attempt, status in self.probes:
            in_force = [extra for (written_at, extra), (replaced_at, _) in
                        zip(self.versions, [*self.versions[1:], (float("inf"), None)])
                        if written_at < answered_at and replaced_at + APPLY_S > sent_at]
            if self.is_calm(self.outages, sent_at):
                found = status != 404
                assert found in in_force, f"{attempt} got {status}; the extra route may be in " \
                                          f"force: {in_force}"

    def check_runs(self):
        """Checks that no call ran twice, and that none ran that was refused."""
        counts = collections.Counter(attempt for _, server in self.servers
                                     for attempt, _ in server.runs)
        ran_twice = [a for *_, a, _ in self.calls if counts[a] > 1]
        assert not ran_twice, f"ran twice: {ran_twice[:5]}"
        refused_but_run = [a for *_, a, status in self.calls
                           if status in (408, 421, 429, 503) and counts[a] > 0]
        assert not refused_but_run, f"refused but run: {refused_but_run[:5]}"


def main():
    parser = argparse.ArgumentParser(description="Randomized fault soak on the platform")
    add_seed_arguments(parser)
    arguments = parser.parse_args()

    def play(seed, faults):
        with Harness(os.path.abspath(arguments.bins)) as harness:
            return PlatformSoak(harness, seed, faults).run(arguments.seconds)
    run_seeds(parse_seeds(arguments), play)


if __name__ == "__main__":
    main()
