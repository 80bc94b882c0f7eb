"""Randomized fault soak: real nodes, backend servers and a store behind the fault-injecting proxy.

usage: soak.py BIN_DIR [--seeds FIRST..LAST | --seeds N,N | --fresh COUNT] [--kept] [--seconds S]

For each seed, faults overlap for some seconds while callers keep calling, and the promises are
checked from what callers and backend servers see; then everything heals, and the mesh has to work
again whole. Only processes that this run started are signalled. One line a seed; exits with 1 if a
promise was broken. kept_seeds.txt holds the seeds that ever failed.
"""
import argparse
import os
import random
import sys
import threading
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "integration"))

from mesh import Mesh, is_refused, mesh_text, wait_ignoring_errors  # noqa: E402

KEPT_SEEDS = os.path.join(ROOT, "tests", "soak", "kept_seeds.txt")
READY_AGAIN_S = 20      # a healed mesh is ready again
IN_FORCE_S = 18         # the limit of design.md for an accepted text
CALLS_AGAIN_S = 10      # a healed mesh answers every call
FAULT_PAUSE_S = (0.2, 1.0)
MOST_AT_ONCE = 3
RATE_PER_S = 60
MOST_CHECKED = 200      # requests whose runs are asked for, of each caller
DATA_CENTRES = ["east", "west", "north"]
GATES, WORKERS = 2, 6   # callers enter at the gates; the second one may be stopped


class Soak:
    """One seed's mesh, its faults and what they excuse."""

    def __init__(self, mesh, seed):
        self.mesh, self.turns = mesh, random.Random(seed)
        self.busy, self.log, self.out = set(), [], set()
        self.lost_counts = set()    # servers that were killed took their counts with them
        self.killed_gate = False
        self.path_on = True
        self.errors = []

    def text(self):
        routes = {"/read": {"service": "work", "timeout": "2s", "idempotent": True},
                  "/book": {"service": "work", "timeout": "2s"}}
        if self.path_on:
            routes["/extra"] = {"service": "work", "timeout": "2s", "idempotent": True}
        return mesh_text(DATA_CENTRES, {"work": {"version": "1"}, "gate": {"version": "1"}},
                         routes, out=sorted(self.out))

    def start(self):
        for i in range(GATES):
            self.mesh.add(f"gate-{i}", DATA_CENTRES[i], "gate")
        for i in range(WORKERS):
            self.mesh.add(f"work-{i}", DATA_CENTRES[i % 3], "work", service_ms=20)
        self.mesh.start()
        self.mesh.apply(self.text())
        self.mesh.wait_ready()
        self.mesh.wait_members()

    def a_node(self):
        """A node that no fault holds, never the first gate; None if all are held."""
        names = [n for n in self.mesh.instances if n != "gate-0" and n not in self.busy]
        return self.turns.choice(names) if names else None

    # Each fault takes its own source of randomness and returns after it has healed.

    def restart_node(self, turns, name, graceful):
        node = self.mesh.instances[name].node
        self.killed_gate |= name.startswith("gate") and not graceful
        if graceful:
            node.stop()
        else:
            node.kill()
        time.sleep(turns.uniform(0, 1.5))
        self.mesh.start_node(name)

    def pause_node(self, turns, name):
        node = self.mesh.instances[name].node
        node.pause()
        time.sleep(turns.uniform(0.2, 4))
        node.resume()

    def restart_server(self, turns, name):
        self.lost_counts.add(name)
        self.mesh.instances[name].server.kill()
        time.sleep(turns.uniform(0, 2))
        self.mesh.start_server(name)

    def pause_server(self, turns, name):
        server = self.mesh.instances[name].server
        server.pause()
        time.sleep(turns.uniform(0.1, 1.5))
        server.resume()

    def harm_links(self, turns, name):
        harm, heal = turns.choice([({"cut": True}, {"cut": False}),
                                   ({"freeze": True}, {"freeze": False}),
                                   ({"delay_ms": 80}, {"delay_ms": 0}),
                                   ({"loss_permille": 150}, {"loss_permille": 0})])
        links = [f"{kind}/{name}" for kind in ("traffic", "udp", "bulk")]
        links = turns.sample(links, turns.randint(1, 3))
        for link in links:
            self.mesh.set_link_fault(link, **harm)
        time.sleep(turns.uniform(0.2, 3))
        for link in links:
            self.mesh.set_link_fault(link, **heal)

    def cut_one_way(self, turns, data_centre):
        inbound = turns.random() < 0.5
        self.mesh.partition(data_centre, inbound=inbound, outbound=not inbound)
        time.sleep(turns.uniform(0.5, 4))
        self.mesh.partition(data_centre, inbound=False, outbound=False)

    def harm_store(self, turns):
        harm, heal = turns.choice([({"down": True}, {"down": False}),
                                   ({"stall": True}, {"stall": False}),
                                   ({"latency_ms": 400}, {"latency_ms": 0}),
                                   ({"lose_answers_permille": 400}, {"lose_answers_permille": 0})])
        self.mesh.set_store_fault(**harm)
        time.sleep(turns.uniform(0.5, 5))
        self.mesh.set_store_fault(**heal)

    def cut_store(self, turns, data_centre):
        self.mesh.set_link_fault(f"store/{data_centre}", freeze=True)
        time.sleep(turns.uniform(0.5, 4))
        self.mesh.set_link_fault(f"store/{data_centre}", freeze=False)

    def change_text(self, turns):
        if turns.random() < 0.5:
            self.path_on = not self.path_on
        else:
            data_centre = turns.choice(DATA_CENTRES[1:])
            self.out = set() if self.out else {data_centre}
        try:
            self.mesh.apply(self.text(), check=False)
        except OSError as away:  # operators can't reach the store either; they try again later
            self.log.append(f"text not applied: {away}")

    def next_fault(self):
        """Picks a fault: its name, what it holds, and the action."""
        kind = self.turns.choice(["kill", "kill", "terminate", "pause", "server", "server-pause",
                                  "links", "links", "one-way", "store", "store-cut", "text"])
        if kind in ("one-way", "store-cut"):
            place = self.turns.choice(DATA_CENTRES)
            action = self.cut_one_way if kind == "one-way" else self.cut_store
            return f"{kind} {place}", {kind}, lambda t: action(t, place)
        if kind in ("store", "text"):
            action = self.harm_store if kind == "store" else self.change_text
            return kind, {kind}, action
        name = self.a_node()
        if name is None:
            return None
        actions = {"kill": lambda t: self.restart_node(t, name, False),
                   "terminate": lambda t: self.restart_node(t, name, True),
                   "pause": lambda t: self.pause_node(t, name),
                   "server": lambda t: self.restart_server(t, name),
                   "server-pause": lambda t: self.pause_server(t, name),
                   "links": lambda t: self.harm_links(t, name)}
        return f"{kind} {name}", {name}, actions[kind]

    def run_faults(self, seconds):
        threads, until = [], time.monotonic() + seconds
        while time.monotonic() < until:
            time.sleep(self.turns.uniform(*FAULT_PAUSE_S))
            threads = [t for t in threads if t.is_alive()]
            fault = self.next_fault() if len(threads) < MOST_AT_ONCE else None
            if fault is None or fault[1] & self.busy:
                continue
            thread = threading.Thread(target=self.perform, args=(*fault, self.turns.random()))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    def perform(self, name, held, action, seed):
        self.busy |= held
        self.log.append(name)
        try:
            action(random.Random(seed))
        except Exception as fault:  # a process that doesn't start again is a finding
            self.errors.append(f"{name}: {type(fault).__name__}: {fault}")
        self.busy -= held

    def load(self, name, gate):
        return self.mesh.load(name, "--path", "/read/a", "--path", "/book/b", "--rate", RATE_PER_S,
                              "--duration-s", self.seconds, "--response-bytes", 3000,
                              "--deadline-ms", 1500, direct=True, targets=[gate])

    def run(self, seconds):
        self.seconds = seconds
        self.start()
        loads = [self.load(f"callers-{i}", f"gate-{i}") for i in range(GATES)]
        self.run_faults(seconds)
        summaries = [self.mesh.summary(each) for each in loads]
        assert not self.errors, self.errors
        self.check_callers(summaries)
        counted = [n for n in self.mesh.instances if n not in self.lost_counts]
        for each in loads:
            self.check_runs(self.mesh.records(each), counted)
        again = self.check_healed()
        answered = sum(s["answered"] for s in summaries)
        sent = sum(s["sent"] for s in summaries)
        return f"{len(self.log)} faults, {answered} of {sent} answered; {again}; {self.mesh.finish()}"

    def check_callers(self, summaries):
        for i, summary in enumerate(summaries):
            for what in ("crossed", "cut", "lost"):
                # The answers of calls under way at a killed node are lost with it.
                excused = what != "crossed" and i == 1 and self.killed_gate
                assert excused or summary[what] == 0, (f"gate-{i}", what, summary)
            assert summary["answered"] > 0, summary

    def check_runs(self, records, counted):
        """A refused call never ran; one that is not idempotent ran at most once."""
        refused = [r for r in records if is_refused(r)]
        booked = [r for r in records if r["path"].startswith("/book") and not is_refused(r)]
        for most, picked in ((0, refused), (1, booked)):
            for record in picked[:: max(1, len(picked) // MOST_CHECKED)]:
                ran = self.mesh.run_count(record["number"], counted)
                assert ran <= most, f"{record['number']} ran {ran} times: {record}"

    def check_healed(self):
        """A text applied now is in force everywhere in time, and every call is answered."""
        ready = self.mesh.wait_ready(READY_AGAIN_S)
        self.out, self.path_on = set(), True
        before = self.mesh.accepted_version()
        wait_ignoring_errors(lambda: self.mesh.apply(self.text() + "# healed\n", check=False).returncode == 0,
                     IN_FORCE_S, "a text accepted")
        wait_ignoring_errors(lambda: self.mesh.accepted_version() > before, IN_FORCE_S, "a newer version")
        in_force = self.mesh.wait_version(self.mesh.accepted_version(), IN_FORCE_S)
        self.mesh.wait_members(READY_AGAIN_S)

        def all_answered():
            self.checks = getattr(self, "checks", 0) + 1
            calls = self.mesh.load(f"healed-{self.checks}", "--path", "/read/a", "--rate", 100,
                                   "--duration-s", 1, direct=True,
                                   targets=[f"gate-{i}" for i in range(GATES)])
            summary = self.mesh.summary(calls)
            return summary["answered"] == summary["sent"] > 0

        wait_ignoring_errors(all_answered, CALLS_AGAIN_S, "every call answered")
        return f"ready after {ready:.1f} s, in force after {in_force:.1f} s"


def soak(bins, seed, seconds):
    """Runs one seed; returns whether all promises held."""
    started, soaked = time.monotonic(), None
    try:
        with Mesh(bins, proxied=True) as mesh:
            soaked = Soak(mesh, seed)
            result, passed = soaked.run(seconds), True
    except Exception as fault:
        where = traceback.extract_tb(fault.__traceback__)[-1]
        result, passed = f"FAILED {type(fault).__name__}: {fault} at line {where.lineno}", False
        result += f"; faults: {', '.join(soaked.log if soaked else [])}"
    print(f"seed {seed}: {result} ({time.monotonic() - started:.0f} s)", flush=True)
    return passed


def kept_seeds():
    with open(KEPT_SEEDS) as kept:
        return [int(line.split()[0]) for line in kept if line[:1].isdigit()]


def seeds_of(arguments):
    if arguments.fresh:
        return [int.from_bytes(os.urandom(4), "big") for _ in range(arguments.fresh)]
    first, _, last = arguments.seeds.partition("..")
    if last:
        return list(range(int(first), int(last) + 1))
    return [int(seed) for seed in arguments.seeds.split(",")]


def main():
    parser = argparse.ArgumentParser(description="Randomized fault soak")
    parser.add_argument("bins")
    parser.add_argument("--seeds", default="1..3")
    parser.add_argument("--fresh", type=int, default=0)
    parser.add_argument("--kept", action="store_true")
    parser.add_argument("--seconds", type=int, default=12)
    arguments = parser.parse_args()
    seeds = seeds_of(arguments) + (kept_seeds() if arguments.kept else [])
    results = [soak(arguments.bins, seed, arguments.seconds) for seed in seeds]
    print(f"{sum(results)} passed, {len(results) - sum(results)} failed")
    sys.exit(0 if all(results) else 1)


if __name__ == "__main__":
    main()
