"""What reaches a caller when a backend server sends answers that are not HTTP or never end. Real
nodes on the platform, with a server that sends raw bytes."""
import concurrent.futures
import http.client
import json

from harness import Harness, run_tests, wait_until
from platform_mesh import Instance, config
from platform_standins import PlatformStore
from raw_answers import EARLY, ENDLESS, INVALID, PAUSING, PIECES, UNUSUAL, RawServer

READY_S = 10
# A server may send this much of an endless answer: the limit of a body (16 MiB), the framing of the
# chunks, and the socket buffers, which hold some megabytes that the node never reads.
MAX_ENDLESS_BYTES = 40 << 20
# An idempotent call that meets the faulty server is answered by the other one. After some failures
# its circuit breaker is open and it gets single calls.
IDEMPOTENT_CALLS = 60
MAX_FAULTY_RUNS = 12
# Twice the time for which a node prefers a server because the other one was slower before.
FIRST_FAULTY_RUN_S = 20

LONG_CALL_MS = 20_000  # longer than all pauses, so that no deadline ends the call
PARALLEL_CALLS = 3  # below the four slots of a server, so that no call waits for another
UPLOAD_BYTES = 14_000_000  # above what the socket buffers hold
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 16 << 20, "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000}
ROUTES = [("/orders/", "non_idempotent", {"service": "orders"}),
          ("/long/", "non_idempotent", {"service": "orders", "timeout_ms": LONG_CALL_MS,
                                        "target_latency_ms": LONG_CALL_MS // 2}),
          ("/stock/", "idempotent", {"service": "stock"})]


class Mesh:
    """A node beside a server of "orders" that sends raw answers, and two nodes of "stock", one of
    them beside such a server."""

    def __enter__(self):
        self.harness = Harness()
        self.harness.__enter__()
        self.store = PlatformStore()
        text = json.loads(config(5, ROUTES))
        self.store.put("op/config", json.dumps({**text, "limits": LIMITS}))
        self.orders = Instance(self.harness, self.store, "orders-raw", "orders", "north", RawServer)
        self.faulty = Instance(self.harness, self.store, "stock-raw", "stock", "north", RawServer)
        self.sound = Instance(self.harness, self.store, "stock-sound", "stock", "north")
        self.instances = [self.orders, self.faulty, self.sound]
        wait_until(lambda: all(i.ready() for i in self.instances), READY_S, "ready")
        for path in ("/orders/x", "/stock/x"):
            wait_until(lambda: all(i.call(path)[0] == 200 for i in self.instances), READY_S, path)
        return self

    def __exit__(self, kind, value, trace):
        for instance in self.instances:
            instance.server.stopped.set()
        self.harness.__exit__(kind, value, trace)

    def call(self, entry, path, deadline_ms=2000, body=b""):
        """Returns the status and the body of the answer, or the name of the error if the caller
        can't read it."""
        try:
            return entry.call(path, body, deadline_ms=deadline_ms)
        except (http.client.HTTPException, OSError) as error:
            return type(error).__name__, b""


def test_invalid_answers_reach_no_caller():
    """Guards against an invalid answer that reaches a caller, that runs a call twice that isn't
    idempotent, or whose connection is used for another call."""
    with Mesh() as mesh:
        server, wrong = mesh.orders.server, []
        for entry in (mesh.sound, mesh.orders):
            for name in INVALID:
                runs = len(server.runs)
                status, _ = mesh.call(entry, "/orders/" + name)
                ran = len(server.runs) - runs
                # An ordinary call is served, so that the circuit breaker stays closed.
                ordinary = mesh.call(entry, "/orders/x")[0]
                later = server.names_after(name)
                if (status, ran, ordinary, later) != (502, 1, 200, []):
                    wrong.append((entry.name, name, status, ran, ordinary, later))
        assert not wrong, wrong
        return f"{2 * len(INVALID)} calls"


def test_unusual_answers_reach_the_caller():
    """Guards against a check that rejects valid answers, and against body bytes after an answer that
    has no body and that are taken for the next answer on the connection."""
    with Mesh() as mesh:
        wrong = []
        for entry in (mesh.sound, mesh.orders):
            for name, (_, expected) in UNUSUAL.items():
                answers = [mesh.call(entry, "/orders/" + name), mesh.call(entry, "/orders/x")[0]]
                if answers != [expected, 200]:
                    wrong.append((entry.name, name, answers))
        assert not wrong, wrong


def test_answers_in_pieces_reach_the_caller():
    """Guards against a node that a server ends by the way in which it splits a valid answer."""
    with Mesh() as mesh:
        answers = {name: mesh.call(mesh.sound, "/orders/" + name) for name in PIECES}
        assert answers == {name: (200, body) for name, (_, body) in PIECES.items()}, answers
        assert all(instance.node.running() for instance in mesh.instances)


def test_endless_answers_are_cut_off():
    """Guards against an endless answer that a node reads until the call's deadline or keeps in
    memory."""
    with Mesh() as mesh:
        server, wrong = mesh.orders.server, []
        for name in ENDLESS:
            status, _ = mesh.call(mesh.sound, "/orders/" + name)
            ordinary = mesh.call(mesh.sound, "/orders/x")[0]
            sent = server.bytes_sent[name]
            if (status, ordinary) != (502, 200) or sent > MAX_ENDLESS_BYTES:
                wrong.append((name, status, ordinary, sent))
        assert not wrong, wrong
        assert mesh.orders.node.running()
        return f"{max(server.bytes_sent.values())} bytes sent at most"


def test_pauses_within_an_answer_are_bounded():
    """Guards against a server that stops within an answer and holds the call until its deadline, and
    against a bound that ends a call whose server works for long before it answers."""
    with Mesh() as mesh, concurrent.futures.ThreadPoolExecutor(PARALLEL_CALLS) as pool:
        calls = {name: pool.submit(mesh.call, mesh.sound, "/long/" + name, LONG_CALL_MS)
                 for name in PAUSING}
        statuses = {name: call.result()[0] for name, call in calls.items()}
        expected = {name: status for name, (_, _, status) in PAUSING.items()}
        assert statuses == expected, statuses


def test_resets_during_an_upload_complete_no_answer():
    """Guards against part of an answer that reaches a caller as a whole one because the server reset
    the connection while the upload was still being written."""
    with Mesh() as mesh, concurrent.futures.ThreadPoolExecutor(PARALLEL_CALLS) as pool:
        wrong, upload = [], bytes(UPLOAD_BYTES)
        for entry in (mesh.sound, mesh.orders):
            def check(name, entry=entry):
                answer = mesh.call(entry, "/long/" + name, LONG_CALL_MS, upload)
                ordinary = mesh.call(entry, "/long/x", LONG_CALL_MS)[0]
                if (answer[0], ordinary) != (502, 200):
                    wrong.append((entry.name, name, answer[0], len(answer[1]), ordinary))
            list(pool.map(check, EARLY))
        assert not wrong, wrong
        return f"{2 * len(EARLY)} uploads of {UPLOAD_BYTES} bytes, {PARALLEL_CALLS} at a time"


def test_idempotent_calls_are_tried_elsewhere():
    """Guards against an invalid answer that is not tried again at another server, and against a
    server that keeps getting calls although all its answers are invalid."""
    with Mesh() as mesh:
        server, statuses = mesh.faulty.server, []
        ordinary = len(server.runs)

        def call():
            statuses.append(mesh.call(mesh.orders, "/stock/status-000")[0])
            return len(server.runs) - ordinary
        wait_until(call, FIRST_FAULTY_RUN_S, "a call at the faulty server")
        runs = [call() for _ in range(IDEMPOTENT_CALLS)][-1]
        assert set(statuses) == {200}, statuses
        assert runs <= MAX_FAULTY_RUNS, runs
        return f"{runs} of {len(statuses)} calls went to the faulty server first"


if __name__ == "__main__":
    run_tests([test_invalid_answers_reach_no_caller, test_unusual_answers_reach_the_caller,
               test_answers_in_pieces_reach_the_caller, test_endless_answers_are_cut_off,
               test_pauses_within_an_answer_are_bounded,
               test_resets_during_an_upload_complete_no_answer,
               test_idempotent_calls_are_tried_elsewhere])
