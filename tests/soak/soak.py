"""Randomized fault soak: real nodes, backend servers and a store behind the fault-injecting proxy.

usage: soak.py BIN_DIR [--seeds FIRST..LAST | --seeds N,N | --fresh COUNT] [--kept] [--seconds S]

For each seed, injects overlapping faults for some seconds while callers send calls, and checks the
guarantees from the records of callers and backend servers. Then it removes all faults and checks
that the whole mesh works again. Signals only processes that this run started. Prints one line per
seed and exits with 1 if a guarantee was violated. --kept adds the seeds that failed in earlier
runs, which kept_seeds.txt lists.
"""
import argparse
import os
import random
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "integration"))

from mesh import Mesh, is_refused, mesh_text, wait_ignoring_errors  # noqa: E402
from runner import FaultSchedule, add_seed_arguments, parse_seeds, run_seeds  # noqa: E402

KEPT_SEEDS = os.path.join(ROOT, "tests", "soak", "kept_seeds.txt")
READY_LIMIT_S = 20  # until all nodes are ready after the faults
IN_FORCE_LIMIT_S = 18  # until an accepted text is in force; limit of design.md
CALLS_ANSWERED_LIMIT_S = 10  # until every call is answered after the faults
RATE_PER_S = 60  # calls of each load generator
# Of more requests of a load and kind than this, a sample of at least this size is checked.
MIN_CHECKED_REQUESTS = 200
DATA_CENTRES = ["east", "west", "north"]
GATE_COUNT, WORKER_COUNT = 2, 6  # gates receive the callers' calls; node faults spare gate-0


class Soak:
    """The run of one seed: the mesh, its faults, and which failures they excuse."""

    def __init__(self, mesh, seed, faults):
        self.mesh, self.rng, self.faults = mesh, random.Random(seed), faults
        self.schedule = FaultSchedule(self.rng, faults, self.next_fault)
        self.data_centres_out = set()
        self.killed_servers = set()  # their execution counts are lost
        self.gate_was_killed = False
        self.extra_route_enabled = True

    def text(self):
        routes = {"/read": {"service": "work", "timeout": "2s", "idempotent": True},
                  "/book": {"service": "work", "timeout": "2s"}}
        if self.extra_route_enabled:
            routes["/extra"] = {"service": "work", "timeout": "2s", "idempotent": True}
        return mesh_text(DATA_CENTRES, {"work": {"version": "1"}, "gate": {"version": "1"}},
                         routes, out=sorted(self.data_centres_out))

    def start(self):
        for i in range(GATE_COUNT):
            self.mesh.add(f"gate-{i}", DATA_CENTRES[i], "gate")
        for i in range(WORKER_COUNT):
            self.mesh.add(f"work-{i}", DATA_CENTRES[i % 3], "work", service_ms=20)
        self.mesh.start()
        self.mesh.apply(self.text())
        self.mesh.wait_ready()
        self.mesh.wait_members()

    def pick_free_node(self):
        """Returns a random node without an active fault, never gate-0; None if there is none."""
        held = self.schedule.held_targets
        names = [n for n in self.mesh.instances if n != "gate-0" and n not in held]
        return self.rng.choice(names) if names else None

    # Each of these methods injects one fault, with a random generator of its own, and returns after
    # the fault has been removed.

    def restart_node(self, rng, name, graceful):
        node = self.mesh.instances[name].node
        self.gate_was_killed |= name.startswith("gate") and not graceful
        if graceful:
            node.stop()
        else:
            node.kill()
        time.sleep(rng.uniform(0, 1.5))
        self.mesh.start_node(name)

    def pause_node(self, rng, name):
        node = self.mesh.instances[name].node
        node.pause()
        time.sleep(rng.uniform(0.2, 4))
        node.resume()

    def restart_server(self, rng, name):
        self.killed_servers.add(name)
        self.mesh.instances[name].server.kill()
        time.sleep(rng.uniform(0, 2))
        self.mesh.start_server(name)

    def pause_server(self, rng, name):
        server = self.mesh.instances[name].server
        server.pause()
        time.sleep(rng.uniform(0.1, 1.5))
        server.resume()

    def inject_link_fault(self, rng, name):
        fault, clear = rng.choice([({"cut": True}, {"cut": False}),
                                   ({"freeze": True}, {"freeze": False}),
                                   ({"delay_ms": 80}, {"delay_ms": 0}),
                                   ({"loss_permille": 150}, {"loss_permille": 0})])
        links = [f"{kind}/{name}" for kind in ("traffic", "udp", "bulk")]
        links = rng.sample(links, rng.randint(1, 3))
        for link in links:
            self.mesh.set_link_fault(link, **fault)
        time.sleep(rng.uniform(0.2, 3))
        for link in links:
            self.mesh.set_link_fault(link, **clear)

    def cut_one_way(self, rng, data_centre):
        inbound = rng.random() < 0.5
        self.mesh.partition(data_centre, inbound=inbound, outbound=not inbound)
        time.sleep(rng.uniform(0.5, 4))
        self.mesh.partition(data_centre, inbound=False, outbound=False)

    def inject_store_fault(self, rng):
        fault, clear = rng.choice([({"down": True}, {"down": False}),
                                   ({"stall": True}, {"stall": False}),
                                   ({"latency_ms": 400}, {"latency_ms": 0}),
                                   ({"lose_answers_permille": 400}, {"lose_answers_permille": 0})])
        self.mesh.set_store_fault(**fault)
        time.sleep(rng.uniform(0.5, 5))
        self.mesh.set_store_fault(**clear)

    def cut_store(self, rng, data_centre):
        self.mesh.set_link_fault(f"store/{data_centre}", freeze=True)
        time.sleep(rng.uniform(0.5, 4))
        self.mesh.set_link_fault(f"store/{data_centre}", freeze=False)

    def change_text(self, rng):
        if rng.random() < 0.5:
            self.extra_route_enabled = not self.extra_route_enabled
        else:
            data_centre = rng.choice(DATA_CENTRES[1:])
            self.data_centres_out = set() if self.data_centres_out else {data_centre}
        try:
            self.mesh.apply(self.text(), check=False)
        except OSError as error:  # the store may be unreachable from here too
            self.faults.append(f"text not applied: {error}")

    def next_fault(self):
        """Picks a fault. Returns its name, the targets that no other fault may use meanwhile, and
        its action, or None if no node is free."""
        kind = self.rng.choice(["kill", "kill", "terminate", "pause", "server", "server-pause",
                                "links", "links", "one-way", "store", "store-cut", "text"])
        if kind in ("one-way", "store-cut"):
            data_centre = self.rng.choice(DATA_CENTRES)
            action = self.cut_one_way if kind == "one-way" else self.cut_store
            return f"{kind} {data_centre}", {kind}, lambda rng: action(rng, data_centre)
        if kind in ("store", "text"):
            action = self.inject_store_fault if kind == "store" else self.change_text
            return kind, {kind}, action
        name = self.pick_free_node()
        if name is None:
            return None
        actions = {"kill": lambda rng: self.restart_node(rng, name, False),
                   "terminate": lambda rng: self.restart_node(rng, name, True),
                   "pause": lambda rng: self.pause_node(rng, name),
                   "server": lambda rng: self.restart_server(rng, name),
                   "server-pause": lambda rng: self.pause_server(rng, name),
                   "links": lambda rng: self.inject_link_fault(rng, name)}
        return f"{kind} {name}", {name}, actions[kind]

    def start_load(self, name, gate):
        return self.mesh.start_load(name, "--path", "/read/a", "--path", "/book/b",
                                    "--rate", RATE_PER_S, "--duration-s", self.seconds,
                                    "--response-bytes", 3000, "--deadline-ms", 1500, direct=True,
                                    targets=[gate])

    def run(self, seconds):
        self.seconds = seconds
        self.start()
        loads = [self.start_load(f"callers-{i}", f"gate-{i}") for i in range(GATE_COUNT)]
        self.schedule.run(seconds)
        summaries = [self.mesh.summary(load) for load in loads]
        assert not self.schedule.errors, self.schedule.errors
        self.check_callers(summaries)
        counted_names = [n for n in self.mesh.instances if n not in self.killed_servers]
        for load in loads:
            self.check_runs(self.mesh.records(load), counted_names)
        healed = self.check_recovery()
        answered = sum(s["answered"] for s in summaries)
        sent = sum(s["sent"] for s in summaries)
        return \
            f"{len(self.faults)} faults, {answered}/{sent} answered; {healed}; {self.mesh.finish()}"

    def check_callers(self, summaries):
        for i, summary in enumerate(summaries):
            for what in ("crossed", "cut", "lost"):
                # A killed node loses the answers of its calls in progress.
                excused = what != "crossed" and i == 1 and self.gate_was_killed
                assert excused or summary[what] == 0, (f"gate-{i}", what, summary)
            assert summary["answered"] > 0, summary

    def check_runs(self, records, counted_names):
        """Checks that refused calls never ran and that the other non-idempotent calls ran at most
        once, by the counts of the backend servers beside the named instances."""
        refused = [r for r in records if is_refused(r)]
        non_idempotent = [r for r in records if r["path"].startswith("/book") and not is_refused(r)]
        for max_runs, selected in ((0, refused), (1, non_idempotent)):
            for record in selected[:: max(1, len(selected) // MIN_CHECKED_REQUESTS)]:
                ran = self.mesh.run_count(record["number"], counted_names)
                assert ran <= max_runs, f"{record['number']} ran {ran} times: {record}"

    def check_recovery(self):
        """Checks that all nodes become ready in time, that a new text is in force on every node in
        time and that every call is answered. Returns the times as text."""
        ready = self.mesh.wait_ready(READY_LIMIT_S)
        self.data_centres_out, self.extra_route_enabled = set(), True
        before = self.mesh.accepted_version()
        wait_ignoring_errors(
            lambda: self.mesh.apply(self.text() + "# healed\n", check=False).returncode == 0,
            IN_FORCE_LIMIT_S, "a text accepted")
        wait_ignoring_errors(lambda: self.mesh.accepted_version() > before, IN_FORCE_LIMIT_S,
                             "a newer version")
        in_force_s = self.mesh.wait_version(self.mesh.accepted_version(), IN_FORCE_LIMIT_S)
        self.mesh.wait_members(READY_LIMIT_S)

        def all_answered():
            self.checks = getattr(self, "checks", 0) + 1
            calls = self.mesh.start_load(f"healed-{self.checks}", "--path", "/read/a",
                                         "--rate", 100, "--duration-s", 1, direct=True,
                                         targets=[f"gate-{i}" for i in range(GATE_COUNT)])
            summary = self.mesh.summary(calls)
            return summary["answered"] == summary["sent"] > 0

        wait_ignoring_errors(all_answered, CALLS_ANSWERED_LIMIT_S, "every call answered")
        return f"ready after {ready:.1f} s, in force after {in_force_s:.1f} s"


def kept_seeds():
    with open(KEPT_SEEDS) as kept:
        return [int(line.split()[0]) for line in kept if line[:1].isdigit()]


def main():
    parser = argparse.ArgumentParser(description="Randomized fault soak")
    add_seed_arguments(parser)
    parser.add_argument("--kept", action="store_true")
    arguments = parser.parse_args()

    def play(seed, faults):
        with Mesh(arguments.bins, proxied=True) as mesh:
            return Soak(mesh, seed, faults).run(arguments.seconds)
    run_seeds(parse_seeds(arguments) + (kept_seeds() if arguments.kept else []), play)


if __name__ == "__main__":
    main()
