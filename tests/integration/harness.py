"""Helpers of the integration tests: programs, free ports, HTTP with JSON, and waiting.

Uses only Python's standard library. A test file gets the folder of programs as its first
command-line argument.
"""
import concurrent.futures
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

HOST = "127.0.0.1"
# The ports are below the ephemeral range. A port from that range could become the local port of
# another connection before a program listens on it.
FIRST_PORT = 14400
SLOT_PORTS = 2000
# Test files that run at the same time use different slots, that is, ranges of ports, since a node
# that is restarted must find its port still free.
_first_port = FIRST_PORT + SLOT_PORTS * (int(os.environ.get("CARAWAY_PORT_SLOT", "0")) % 9)
_next_port = [_first_port]
_port_lock = threading.Lock()


def bin_dir():
    """Returns the folder of programs: the first command-line argument, or build/bin."""
    return os.path.abspath(sys.argv[1] if len(sys.argv) > 1 else "build/bin")


_seed = None


def seed():
    """Returns the seed of this run: CARAWAY_SEED, or a random one. Prints it, so that the run
    can be repeated."""
    global _seed
    if _seed is None:
        _seed = int(os.environ.get("CARAWAY_SEED") or random.randrange(1 << 31))
        print(f"CARAWAY_SEED={_seed}", flush=True)
    return _seed


def free_port():
    """Returns a port that is free for TCP and UDP; each call returns a different one until the range
    is used up."""
    while True:
        with _port_lock:
            port = _next_port[0]
            wrapped = port + 1 >= _first_port + SLOT_PORTS
            _next_port[0] = _first_port if wrapped else port + 1
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((HOST, port))
            return port
        except OSError:
            continue


def free_ports(count):
    return [free_port() for _ in range(count)]


def free_address():
    return f"{HOST}:{free_port()}"


def free_addresses(count):
    return [f"{HOST}:{port}" for port in free_ports(count)]


def wait_until(check, timeout_s=10, what="condition", interval_s=0.02):
    """Calls check until it returns a true value and returns that value. Raises AssertionError
    after the timeout."""
    deadline = time.monotonic() + timeout_s
    while True:
        result = check()
        if result:
            return result
        if time.monotonic() > deadline:
            raise AssertionError(f"not within {timeout_s} s: {what}")
        time.sleep(interval_s)


def request(address, method, path, body=b"", headers=None, timeout_s=10):
    """Sends one HTTP request on a new connection. Returns status, headers (lower case) and body.
    Raises OSError or http.client.HTTPException if no complete answer arrives."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        data = body.encode() if isinstance(body, str) else body
        connection.request(method, path, data, headers or {})
        answer = connection.getresponse()
        content = answer.read()
        return answer.status, {k.lower(): v for k, v in answer.getheaders()}, content
    finally:
        connection.close()


def get_json(address, path, timeout_s=10):
    """Sends a GET and returns the JSON of the answer. Raises AssertionError unless its status is
    200."""
    status, _, body = request(address, "GET", path, timeout_s=timeout_s)
    if status != 200:
        raise AssertionError(f"GET {path}: {status} {body[:200]!r}")
    return json.loads(body)


def post_json(address, path, value, timeout_s=10):
    """Posts a JSON value and returns the JSON of the answer. Raises AssertionError unless its
    status is 200."""
    status, _, body = request(address, "POST", path, json.dumps(value), timeout_s=timeout_s)
    if status != 200:
        raise AssertionError(f"POST {path} {value}: {status} {body[:200]!r}")
    return json.loads(body)


class Program:
    """A started program. Its standard output and standard error go to a file, to which it logs one
    JSON object per line."""

    def __init__(self, name, process, log_path):
        self.name, self.process, self.log_path = name, process, log_path

    def log(self):
        """Returns the log lines written so far as objects. A line that is not JSON becomes
        {"text": ...}."""
        lines = []
        with open(self.log_path, errors="replace") as file:
            for line in file:
                if not line.endswith("\n"):
                    break
                try:
                    lines.append(json.loads(line))
                except ValueError:
                    lines.append({"text": line.rstrip("\n")})
        return lines

    def events(self, event):
        return [line for line in self.log() if line.get("event") == event]

    def wait_event(self, event, timeout_s=10):
        """Waits for a log line with this event and returns it. Raises AssertionError if the program
        ends first."""

        def check():
            found = self.events(event)
            if found:
                return found[0]
            if self.process.poll() is not None:
                raise AssertionError(f"{self.name} ended with {self.process.returncode}: "
                                     f"{self.log()[-5:]}")
            return None

        return wait_until(check, timeout_s, f"{event} of {self.name}")

    def running(self):
        return self.process.poll() is None

    def wait(self, timeout_s=60):
        """Waits until the program ends and returns its exit status."""
        return self.process.wait(timeout_s)

    def terminate(self):
        """Sends SIGTERM without waiting for the program to end."""
        if self.running():
            self.process.send_signal(signal.SIGTERM)

    def stop(self, timeout_s=40):
        """Sends SIGTERM, waits until the program ends and returns its exit status."""
        self.terminate()
        return self.process.wait(timeout_s)

    def kill(self):
        if self.running():
            self.process.kill()
        self.process.wait()

    def pause(self):
        self.process.send_signal(signal.SIGSTOP)

    def resume(self):
        self.process.send_signal(signal.SIGCONT)


class Harness:
    """Starts programs in a temporary folder and ends those still running on exit. If the test
    fails, the folder is kept and its path is printed."""

    def __init__(self, bins=None):
        self.bins = bins or bin_dir()
        self.dir = tempfile.mkdtemp(prefix="caraway-")
        self.programs = []

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        for program in self.programs:
            program.kill()
        if kind is not None:
            print(f"logs kept in {self.dir}", file=sys.stderr)
            return
        for name in os.listdir(self.dir):
            os.unlink(os.path.join(self.dir, name))
        os.rmdir(self.dir)

    def path(self, name):
        """Returns the path of a file in the temporary folder."""
        return os.path.join(self.dir, name)

    def start(self, program, *arguments, name=None, ready="listening", timeout_s=10, env=None):
        """Starts a program and waits for the log event that ready names; None: doesn't wait."""
        label = name or f"{program}-{len(self.programs)}"
        log_path = self.path(label + ".log")
        with open(log_path, "wb") as log:
            process = subprocess.Popen([os.path.join(self.bins, program), *map(str, arguments)],
                                       stdin=subprocess.DEVNULL, stdout=log,
                                       stderr=log, env={**os.environ, **(env or {})})
        started_program = Program(label, process, log_path)
        self.programs.append(started_program)
        if ready:
            started_program.wait_event(ready, timeout_s)
        return started_program

    def start_load(self, *arguments, name="load"):
        """Starts a load generator with the run's seed, unless --seed is given. Returns the program,
        for wait_for_load."""
        return self.start("load_generator", "--out", self.path(name + ".json"),
                          "--records", self.path(name + ".records"), "--run-id", name,
                          "--seed", seed(), *arguments, name=name, ready="started")

    def wait_for_load(self, program, timeout_s=120):
        """Waits until a load generator ends. Returns its summary and its records."""
        status = program.wait(timeout_s)
        if status != 0:
            raise AssertionError(f"{program.name} ended with {status}: {program.log()[-3:]}")
        with open(self.path(program.name + ".json")) as file:
            summary = json.load(file)
        with open(self.path(program.name + ".records")) as file:
            return summary, [json.loads(line) for line in file]


def run_tests(tests, max_parallel=1):
    """Runs the test functions, up to max_parallel at a time, and prints a line for each with the
    text that the test returns. Exits with 1 if a test failed, otherwise with 0."""
    seed()
    print_lock = threading.Lock()

    def run(test):
        start = time.monotonic()
        try:
            details = test() or ""
            passed, result = True, "ok"
        except Exception as error:  # an exception fails only its own test
            frames = traceback.extract_tb(error.__traceback__)
            location = " < ".join(f"{os.path.basename(f.filename)}:{f.lineno}"
                                  for f in frames[::-1])
            passed, result, details = False, f"FAILED {type(error).__name__}: {error}", location
        with print_lock:
            print(
                f"{test.__name__}: {result} ({time.monotonic() - start:.1f} s) {details}".rstrip(),
                flush=True)
        return passed

    with concurrent.futures.ThreadPoolExecutor(max_parallel) as pool:
        results = list(pool.map(run, tests))
    sys.exit(0 if all(results) else 1)
