"""Requests that arrive at any time of a planned stop: each is answered, or refused as not run. Real
nodes on the platform, with the settings of its deployments."""
import itertools
import socket
import threading
import time
import uuid

from harness import Harness, run_tests, wait_until
from platform_mesh import Instance, config
from platform_standins import PlatformStore, ReportingServer

READY_S = 10
GRACE_S = 6              # from SIGTERM until the platform would kill the process
SHORT_GRACE_S = 3
ANNOUNCE_MS = 2900       # setting: new requests are taken for this long
LOSS_SLACK_S = 0.2       # a request that is cut off sooner has crossed the close
TIMEOUT_MS = 8000        # longer than the grace
DEADLINE_MARGIN_MS = 20  # kept by the nodes for the way of the answer
RECONNECT_PAUSE_S = 0.05
WORK_MS = (50, 1000, 2000, 3500, 7000)
ROUTES = [(f"/{service}/", kind, {"service": service, "timeout_ms": TIMEOUT_MS,
                                  "target_latency_ms": TIMEOUT_MS})
          for service, kind in (("orders", "non_idempotent"), ("stock", "idempotent"))]


class WorkingServer(ReportingServer):
    """Works for as long as the last segment of the path says, in milliseconds. Records when each run
    began and ended."""
    slots = 200

    def __init__(self, *arguments, **named):
        self.run_times = {}
        self.call_onward = None  # makes one call through the own node for the given attempt
        super().__init__(*arguments, **named)

    def handle_request(self, handler, body):
        work = handler.path.rsplit("/", 1)[1]
        if work.isdigit():
            begun = time.monotonic()
            attempt = handler.headers["X-Carawaytray-Attempt-Id"]
            done = begun + int(work) / 1000
            self.run_times[attempt] = (begun, done)
            stops_at = begun + int(handler.headers["X-Carawaytray-Deadline-Ms"]) / 1000
            while "/calls/" in handler.path and time.monotonic() < min(done, stops_at):
                self.call_onward(attempt, stops_at)
            time.sleep(max(0, done - time.monotonic()))
        return super().handle_request(handler, body)


class StoppingInstance(Instance):
    """An instance with the times of a stop on the platform."""
    grace_s = GRACE_S

    def start(self):
        with open(self.settings_path) as settings:
            text = settings.read()
        text = text.replace('announce_time = "500ms"', f'announce_time = "{ANNOUNCE_MS}ms"')
        text = text.replace('drain_timeout = "3s"', f'drain_timeout = "{self.grace_s}s"')
        with open(self.settings_path, "w") as settings:
            settings.write(text)
        super().start()


class ShortInstance(StoppingInstance):
    grace_s = SHORT_GRACE_S


class Sent:
    """A request and what became of it: a status, or None if its connection ended."""

    def __init__(self, path, parent="", deadline_ms=TIMEOUT_MS):
        self.path, self.deadline_ms = path, deadline_ms
        self.attempt = (parent + "." if parent else "") + uuid.uuid4().hex[:16]
        self.sent_at = self.ended_at = self.status = None

    def bytes(self, body=b""):
        return (f"{'POST' if body else 'GET'} {self.path} HTTP/1.1\r\nHost: shop.example\r\n"
                f"X-Carawaytray-Attempt-Id: {self.attempt}\r\n"
                f"X-Carawaytray-Deadline-Ms: {self.deadline_ms}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body

    def end(self, status=None):
        self.status, self.ended_at = status, time.monotonic()


class Mesh:
    """The instance that is stopped, with a server of "orders", and two of "stock" that stay."""

    def __init__(self, instance_class=StoppingInstance):
        self.instance_class, self.grace_s = instance_class, instance_class.grace_s

    def __enter__(self):
        self.harness = Harness()
        self.harness.__enter__()
        store = PlatformStore()
        store.put("op/config", config(5, ROUTES))
        self.stopping = self.instance_class(self.harness, store, "orders-0", "orders", "north",
                                            WorkingServer)
        self.instances = [self.stopping] + [
            StoppingInstance(self.harness, store, f"stock-{i}", "stock", "north", WorkingServer)
            for i in range(2)]
        wait_until(lambda: all(i.ready() for i in self.instances), READY_S, "ready")
        for path in ("/orders/x", "/stock/x"):
            wait_until(lambda: all(i.call(path)[0] == 200 for i in self.instances), READY_S, path)
        time.sleep(4)  # until the servers are no longer in cold start
        self.sent, self.lock = [], threading.Lock()
        return self

    def __exit__(self, kind, value, trace):
        for instance in self.instances:
            instance.server.stopped.set()
        self.harness.__exit__(kind, value, trace)

    def add(self, path, *parent):
        request = Sent(path, *parent)
        with self.lock:
            self.sent.append(request)
        return request

    def connect(self):
        host, port = self.stopping.callers.rsplit(":", 1)
        return socket.create_connection((host, int(port)), timeout=GRACE_S + TIMEOUT_MS / 1000)

    def run(self):
        """Returns the run times of all requests that a server began to work on."""
        return {k: v for i in self.instances for k, v in i.server.run_times.items()}

    def check(self, stopped_at):
        """Checks that no request was lost. Returns the numbers of requests by result."""
        runs, wrong, results = self.run(), [], {}
        for request in self.sent:
            if request.sent_at is None:
                continue  # not sent completely
            begun, done = runs.get(request.attempt, (None, None))
            sent_s = request.sent_at - stopped_at
            # The server was still at work in the last sixth of the grace, on a request that was
            # sent in its first half.
            long_work = done is not None and done - stopped_at > self.grace_s * 5 / 6
            held_s = request.ended_at - request.sent_at
            excused = (sent_s <= self.grace_s / 2 and long_work) or \
                held_s * 1000 >= request.deadline_ms - DEADLINE_MARGIN_MS
            if request.status is None:
                lost = begun is not None or held_s > LOSS_SLACK_S
            elif request.status == 200:
                lost = begun is None
            elif request.status == 503:
                lost = begun is not None
            else:
                lost = not excused
            results[request.status] = results.get(request.status, 0) + 1
            if lost:
                wrong.append((request.path, request.status, f"sent at {sent_s:.2f} s",
                              f"held {held_s:.2f} s", begun and f"ran at {begun - stopped_at:.2f}"))
        assert not wrong, (len(wrong), wrong[:8])
        assert sum(results.values()) >= 20 and results.get(503), results
        return str(results)


def read_answer(file, request):
    """Reads an answer with a length into the request. Returns whether the connection can be used
    again."""
    whole, head = False, []
    try:
        while not head or head[-1] not in (b"\r\n", b""):
            head.append(file.readline().lower())
        length = next(int(line.split(b":")[1]) for line in head if line.startswith(b"content-length:"))
        whole = len(file.read(length)) == length
    except (OSError, StopIteration):
        pass  # the connection has ended
    request.end(int(head[0].split()[1]) if whole else None)
    return whole and b"connection: close\r\n" not in head


def stop_under_load(mesh, start_clients):
    """Runs clients over the whole stop of the instance. Each is a function that is called with a
    connection until the process has ended."""
    ended = threading.Event()

    def repeat(client):
        while not ended.is_set():
            try:
                with mesh.connect() as connection, connection.makefile("rb") as answers:
                    client(connection, answers)
            except OSError:
                pass  # the connection has ended
            time.sleep(RECONNECT_PAUSE_S)
    threads = [threading.Thread(target=repeat, args=(client,)) for client in start_clients]
    for thread in threads:
        thread.start()
    time.sleep(1)
    stopped_at = time.monotonic()
    mesh.stopping.node.terminate()
    status = mesh.stopping.node.wait(4 * GRACE_S)
    took_s = time.monotonic() - stopped_at
    ended.set()
    for thread in threads:
        thread.join()
    results = f"{mesh.check(stopped_at)} in {took_s:.1f} s"
    assert status == 0 and took_s < mesh.grace_s, (status, results)
    return results


def one_after_the_other(mesh, path, pause_s=0.05, per_connection=1000):
    def client(connection, answers):
        for _ in range(per_connection):
            request = mesh.add(path)
            try:
                connection.sendall(request.bytes(b"x" * 100))
                request.sent_at = time.monotonic()
            except OSError:
                return
            if not read_answer(answers, request):
                return
            time.sleep(pause_s)
    return client


def pipelined(mesh, path, depth=4):
    """Sends further requests before the earlier ones are answered. Those behind an answer that closes
    the connection count as not read."""
    def client(connection, answers):
        while True:
            requests = [mesh.add(path) for _ in range(depth)]
            connection.sendall(b"".join(request.bytes() for request in requests))
            for request in requests:
                request.sent_at = time.monotonic()
            for i, request in enumerate(requests):
                if not read_answer(answers, request):
                    for later in requests[i + 1:]:
                        later.end()
                        if request.status is not None and later.attempt not in mesh.run():
                            later.sent_at = None
                    return
    return client


def slow_upload(mesh, path, send_s):
    """Sends a body over some time, so that the request is complete only late in the grace."""
    def client(connection, answers):
        request = mesh.add(path)
        data = request.bytes(b"x" * 2000)
        for at in range(0, len(data), 200):
            connection.sendall(data[at:at + 200])
            time.sleep(send_s * 200 / len(data))
        request.sent_at = time.monotonic()
        read_answer(answers, request)
    return client


def test_kept_connections():
    """Guards against requests on open connections that are taken late in the grace, passed on, and
    cut off at its end."""
    with Mesh() as mesh:
        return stop_under_load(mesh, [one_after_the_other(mesh, f"/{service}/{work}")
                                      for service in ("orders", "stock") for work in WORK_MS
                                      for _ in range(3)])


def test_new_connections():
    """Guards against the same on connections that are opened during the stop."""
    with Mesh() as mesh:
        return stop_under_load(mesh, [one_after_the_other(mesh, f"/{service}/{work}",
                                                          per_connection=1)
                                      for service in ("orders", "stock") for work in WORK_MS
                                      for _ in range(3)])


def test_pipelined_requests():
    """Guards against the same with requests that are sent before earlier ones are answered."""
    with Mesh() as mesh:
        return stop_under_load(mesh, [pipelined(mesh, f"/stock/{work}") for work in WORK_MS
                                      for _ in range(3)])


def test_slow_uploads():
    """Guards against the same with requests whose bodies end late in the grace."""
    with Mesh() as mesh:
        return stop_under_load(mesh, [slow_upload(mesh, f"/{service}/{work}", send_s)
                                      for service in ("orders", "stock") for work in WORK_MS
                                      for send_s in (0.7, 2, 3.5, 5)])


def test_onward_calls():
    """Guards against calls of the server for work in progress that are cut off at the end of the
    grace."""
    with Mesh() as mesh:
        def call_onward(path, parent, stops_at):
            left_ms = int((stops_at - time.monotonic()) * 1000)
            if left_ms > 0:
                with mesh.connect() as connection, connection.makefile("rb") as answers:
                    request = mesh.add(path, parent, left_ms)
                    connection.sendall(request.bytes(b"x"))
                    request.sent_at = time.monotonic()
                    read_answer(answers, request)
        paths = itertools.cycle(["/orders/50", "/stock/50", "/orders/300", "/stock/300"])
        mesh.stopping.server.call_onward = \
            lambda parent, stops_at: call_onward(next(paths), parent, stops_at)
        return stop_under_load(mesh, [one_after_the_other(mesh, f"/orders/calls/{work}")
                                      for work in WORK_MS for _ in range(3)])


def test_short_grace():
    """Guards against requests that are taken for as long as usual although the grace ends before
    they can be answered."""
    with Mesh(ShortInstance) as mesh:
        return stop_under_load(mesh, [one_after_the_other(mesh, f"/{service}/{work}")
                                      for service in ("orders", "stock") for work in WORK_MS
                                      for _ in range(3)])


if __name__ == "__main__":
    run_tests([test_kept_connections, test_new_connections, test_pipelined_requests,
               test_slow_uploads, test_onward_calls, test_short_grace], max_parallel=2)
