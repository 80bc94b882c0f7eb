"""Runs fault soaks: draws overlapping faults from a seed, and runs a list of seeds."""
import os
import random
import sys
import threading
import time
import traceback

FAULT_PAUSE_S = (0.2, 1.0)  # bounds of the random time between two faults
MAX_CONCURRENT_FAULTS = 3


class FaultSchedule:
    """Injects faults for a time, up to MAX_CONCURRENT_FAULTS at once.

    next_fault() picks a fault: its name, the targets that no other fault may use meanwhile, and its
    action, which gets a random generator of its own and returns after the fault has been removed;
    or None if there is nothing to disturb. Names of faults are added to the list faults.
    """

    def __init__(self, rng, faults, next_fault):
        self.rng, self.faults, self.next_fault = rng, faults, next_fault
        self.held_targets, self.errors = set(), []

    def run(self, seconds):
        threads, until = [], time.monotonic() + seconds
        while time.monotonic() < until:
            time.sleep(self.rng.uniform(*FAULT_PAUSE_S))
            threads = [t for t in threads if t.is_alive()]
            fault = self.next_fault() if len(threads) < MAX_CONCURRENT_FAULTS else None
            if fault is None or fault[1] & self.held_targets:
                continue
            thread = threading.Thread(target=self._perform, args=(*fault, self.rng.random()))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    def _perform(self, name, targets, action, seed):
        self.held_targets |= targets
        self.faults.append(name)
        try:
            action(random.Random(seed))
        except Exception as error:  # a process that doesn't restart is a failure
            self.errors.append(f"{name}: {type(error).__name__}: {error}")
        self.held_targets -= targets


def add_seed_arguments(parser):
    parser.add_argument("bins")
    parser.add_argument("--seeds", default="1..3")
    parser.add_argument("--fresh", type=int, default=0)
    parser.add_argument("--seconds", type=int, default=12)


def parse_seeds(arguments):
    if arguments.fresh:
        return [int.from_bytes(os.urandom(4), "big") for _ in range(arguments.fresh)]
    first, _, last = arguments.seeds.partition("..")
    if last:
        return list(range(int(first), int(last) + 1))
    return [int(seed) for seed in arguments.seeds.split(",")]


def run_seed(seed, play):
    """Plays one seed and prints its result. play gets the seed and the list of faults to fill, and
    returns a text, or raises if a guarantee was violated. Returns whether all guarantees held."""
    started, faults = time.monotonic(), []
    try:
        result, passed = play(seed, faults), True
    except Exception as error:
        frame = traceback.extract_tb(error.__traceback__)[-1]
        result, passed = f"FAILED {type(error).__name__}: {error} at line {frame.lineno}", False
        result += f"; faults: {', '.join(faults)}"
    print(f"seed {seed}: {result} ({time.monotonic() - started:.0f} s)", flush=True)
    return passed


def run_seeds(seeds, play):
    """Plays all seeds, prints the summary and ends the process, with 1 if one failed. Threads of
    stand-ins may still be running then."""
    results = [run_seed(seed, play) for seed in seeds]
    print(f"{sum(results)} passed, {len(results) - sum(results)} failed")
    sys.stdout.flush()
    os._exit(0 if all(results) else 1)
