"""A small deployment for the scripts of this review, with the figures of the sheet of `tallarake`:
real carawayd processes, started with the command and the settings template of the deploy file, with
the project's stand-in of the platform's store and a stand-in of a backend server that follows the
users' pages.

All addresses are on the loopback interface.
"""
import http.client
import http.server
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import uuid

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(REPOSITORY, "tests", "integration"))

from platform_standins import PlatformStore  # noqa: E402

HOST = "127.0.0.1"
HEARTBEAT_MS = 1500
GRACE_S = 6
READY_S = 15

# Exit statuses of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def wait_until(check, timeout_s, what):
    until = time.monotonic() + timeout_s
    while not check():
        if time.monotonic() > until:
            raise CannotRun(f"not within {timeout_s} s: {what}")
        time.sleep(0.02)


class Record:
    """The file record.txt: one line for each thing sent, answered and run, with the seconds since
    the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
            self.file.flush()


# Below the ports of the integration tests.
_ports = iter(range(10000 + os.getpid() % 40 * 100, 14400))


def free_port():
    """Returns a port below the ephemeral range that is free for TCP and UDP."""
    for port in _ports:
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((HOST, port))
            return port
        except OSError:
            continue
    raise CannotRun("no free port")


def read_body(handler):
    """Reads the body of the request that the handler of http.server has begun to read."""
    if handler.headers.get("Transfer-Encoding", "").strip().lower() != "chunked":
        return handler.rfile.read(int(handler.headers.get("Content-Length") or 0))
    body = b""
    while size := int(handler.rfile.readline().split(b";")[0], 16):
        body += handler.rfile.read(size)
        handler.rfile.readline()
    while handler.rfile.readline().strip():
        pass  # the trailer
    return body


def body_for(attempt, size):
    """Returns the body with which a server answers an attempt."""
    return ((attempt + " ").encode() * (size // (len(attempt) + 1) + 1))[:size]


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, *_):
        pass  # the other side closed the connection


class BackendServer:
    """A server of one service as PROTOCOL.md describes it: it runs up to `slots` requests at a
    time and rejects others, seals and numbers its answers, rejects requests for another instance
    with 421, and reports itself to the node beside it. answer_bytes is the size of its answers, or a
    function of the path that returns it."""

    def __init__(self, record, service, zone, reports, port, slots=6, instance_id=None,
                 answer_bytes=200, work_s=0.05, reporting=True):
        self.record, self.service, self.zone, self.reports = record, service, zone, reports
        self.instance_id = instance_id or "i-" + uuid.uuid4().hex[:8]
        self.born = int(time.time() * 1000)
        self.slots, self.work_s, self.answer_bytes = slots, work_s, answer_bytes
        self.state, self.sequence, self.warm_at = "ready", 0, 0.0
        self.running, self.lock = 0, threading.Lock()
        self.runs = []  # (monotonic time, attempt id, caller service, path, method)
        self.arrivals = []  # (monotonic time, attempt id) of all requests but those that get 421
        self.stopped = threading.Event()
        self.address = f"{HOST}:{port}"
        server = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def handle_any(self):
                server.handle(self)

            do_GET = do_POST = do_PUT = do_DELETE = handle_any

        self.http = _Server((HOST, port), Handler)
        threading.Thread(target=self.http.serve_forever, kwargs={"poll_interval": 0.05},
                         daemon=True).start()
        if reporting:
            threading.Thread(target=self._report_periodically, daemon=True).start()

    def reply(self, handler, status, body=b"", headers=None):
        handler.send_response(status)
        for name, value in (headers or {}).items():
            handler.send_header(name, value)
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)

    def handle(self, handler):
        headers = handler.headers
        read_body(handler)
        attempt = headers.get("X-Carawaytray-Attempt-Id", "")
        expected = headers.get("X-Carawaytray-Expected-Instance")
        if expected and expected != self.instance_id:
            self.record.write(f"server {self.instance_id}: 421 to {attempt}, meant for {expected}")
            return self.reply(handler, 421, b"", {"X-Carawaytray-Instance-Id": self.instance_id,
                                                  "X-Carawaytray-Attempt-Id": attempt})
        not_run = {"X-Carawaytray-Not-Executed": "1", "X-Carawaytray-Attempt-Id": attempt}
        if not attempt:
            return self.reply(handler, 400, b"", not_run)
        with self.lock:
            self.arrivals.append((time.monotonic(), attempt))
            full = self.running >= self.slots
            self.running += 0 if full else 1
        if full:
            self.record.write(f"server {self.instance_id}: rejects {attempt}, it is full")
            return self.reply(handler, 503, b"", not_run)
        try:
            caller = headers.get("X-Carawaytray-Caller-Service")
            self.runs.append((time.monotonic(), attempt, caller, handler.path, handler.command))
            self.record.write(f"server {self.instance_id} ({self.service}): runs {handler.command} "
                              f"{handler.path} {attempt} for caller service {caller}")
            time.sleep(self.work_s)
        finally:
            with self.lock:
                self.running -= 1
        size = self.answer_bytes(handler.path) if callable(self.answer_bytes) else self.answer_bytes
        self.reply(handler, 200, body_for(attempt, size),
                   {"X-Carawaytray-Attempt-Id": attempt,
                    "X-Carawaytray-Server-Seal": self.instance_id + "." + attempt[:4]})

    def make_report(self):
        self.sequence += 1
        left_ms = max(0, int(1000 * (self.warm_at - time.monotonic())))
        return json.dumps({
            "address": self.address, "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": self.zone,
                     "slots": self.slots},
            "status": {"state": self.state, "call_seq": self.sequence,
                       "warmup_left_ms": left_ms}})

    def report(self, value=None):
        """Sends a report. Returns the status of the answer, or None if there is none."""
        try:
            return http_call(self.reports, "POST",
                             "/api/Instances.Heartbeat/" + self.instance_id,
                             value or self.make_report(),
                             {"Content-Type": "application/json"}, timeout_s=1)[0]
        except (OSError, http.client.HTTPException):
            return None

    def _report_periodically(self):
        while not self.stopped.is_set():
            self.report()
            self.stopped.wait(HEARTBEAT_MS / 1000)

    def end(self):
        self.stopped.set()
        self.http.shutdown()
        self.http.server_close()


def http_call(address, method, path, body=b"", headers=None, timeout_s=10):
    """Sends one request on a new connection. Returns status, headers and body."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        content = answer.read()
        return answer.status, {k.lower(): v for k, v in answer.getheaders()}, content
    finally:
        connection.close()


def render(template, fields):
    """Fills in the placeholders {{a.b}} and {{a|json}} of a template, as DEPLOY.md says."""
    def value_of(match):
        name, _, form = match.group(1).partition("|")
        value = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return json.dumps(value) if form == "json" else str(value)
    return re.sub(r"\{\{([a-z_0-9.|]+)\}\}", value_of, template)


def configuration(version, routes, services, warmup_per_s=26.0, target_latency_ms=600):
    """Returns the text of op/config. A route is (path, kind, service, timeout_ms)."""
    return json.dumps({
        "version": f"{version:08x}",
        "routes": [{"name": "r" + path.strip("/"), "host": "shop.example", "path_prefix": path,
                    "kind": kind, "timeout_ms": timeout_ms,
                    "target_latency_ms": target_latency_ms,
                    "priority": 1, "service": service, "attempts": 2}
                   for path, kind, service, timeout_ms in routes],
        "services": [{"name": name, "health_check_path": "/health", "max_connections": 120,
                      "protocol": "h1", "tls": False, "warmup_s": 3.0,
                      "warmup_per_s": warmup_per_s} for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})


class Machine:
    """A sidecar machine: a node and the server beside it."""

    def __init__(self, mesh, name, service, zone, memory_mb=110, link_mbps=1000.0, **server_options):
        self.mesh, self.name, self.service, self.zone = mesh, name, service, zone
        ports = {key: free_port() for key in ("inbound", "outbound", "readiness_addr", "control")}
        peer, server_port = free_port(), free_port()
        self.address = {key: f"{HOST}:{port}" for key, port in ports.items()}
        self.server_port = server_port
        self.fields = {
            "node_name": name, "zone": zone, "service": service, "ip": HOST,
            "listen": self.address, "peer_ports": [peer, peer], "app_addr": f"{HOST}:{server_port}",
            "heartbeat_ms": HEARTBEAT_MS, "platform": {"address": mesh.store.address},
            "bounds": {"grace_s": GRACE_S},
            "limits": {"memory_mb": memory_mb, "link_mbps": link_mbps}}
        self.starts = 0
        self.process = None
        self.start()
        self.server = BackendServer(mesh.record, service, zone, self.address["control"],
                                    server_port, **server_options)

    def start(self):
        self.starts += 1
        role = self.mesh.role
        settings = os.path.join(self.mesh.folder, self.name + ".toml")
        with open(os.path.join(REPOSITORY, role["template"]), encoding="utf-8") as template:
            text = render(template.read(), self.fields)
        with open(settings, "w", encoding="utf-8") as out:
            out.write(text)
        command = [settings if word == "/etc/carawaytray/local.toml" else render(word, self.fields)
                   for word in role["run"].split(" ")]
        log = open(os.path.join(self.mesh.folder, f"{self.name}-{self.starts}.log"), "wb")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        self.process = subprocess.Popen(command, cwd=REPOSITORY, stdin=subprocess.DEVNULL,
                                        stdout=log, stderr=log,
                                        env={**environment, "CARAWAYTRAY_CONFIG": settings})
        log.close()
        self.mesh.record.write(f"{self.name}: node started")

    def ready(self):
        try:
            return http_call(self.address["readiness_addr"], "GET", "/api/ready",
                             timeout_s=1)[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    def call(self, path, method="GET", body=b"", deadline_ms=4000, headers=None, attempt=None):
        """Sends a client's request to the node. Returns attempt id, status, headers and body; the
        status is None if the connection ended without a complete answer."""
        attempt = attempt or uuid.uuid4().hex[:16]
        sent = {"Host": "shop.example", "X-Carawaytray-Attempt-Id": attempt,
                "X-Carawaytray-Deadline-Ms": str(deadline_ms), **(headers or {})}
        self.mesh.sent_at[attempt] = time.monotonic()
        self.mesh.record.write(f"client at {self.name}: sends {method} {path} {attempt} "
                               f"{headers or ''}")
        try:
            status, answered, content = http_call(self.address["outbound"], method, path, body,
                                                  sent, timeout_s=deadline_ms / 1000 + 1)
        except (OSError, http.client.HTTPException) as failure:
            self.mesh.record.write(f"client at {self.name}: no complete answer to {attempt} "
                                   f"({failure!r})")
            return attempt, None, {}, b""
        sealed = answered.get("x-carawaytray-server-seal")
        self.mesh.record.write(f"client at {self.name}: {status} to {attempt}, seal {sealed}, "
                               f"{content[:120]!r}")
        return attempt, status, answered, content

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.mesh.record.write(f"{self.name}: node killed")


# Routes of the scripts: (path, kind, service, timeout in ms).
ROUTES = [("/rake/", "non_idempotent", "rakeops", 600), ("/load/", "idempotent", "rakeops", 500),
          ("/haul/", "non_idempotent", "intakewatch", 400),
          ("/loss/", "idempotent", "intakewatch", 400)]
SERVICES = ("rakeops", "intakewatch")


def four_machines(mesh, **options):
    """Adds a server of each service in each of two zones."""
    for zone in ("martin-dam", "yates-dam"):
        for service in SERVICES:
            mesh.add(f"{service}-{zone}", service, zone, **options)
    mesh.wait_ready(["/load/a", "/loss/a"])
    return mesh.machines


class Mesh:
    """The deployment. Ends all processes that it started on exit."""

    def __init__(self, record, config):
        self.record = record
        with open(os.path.join(REPOSITORY, "deploy", "system.toml"), "rb") as deploy:
            (self.role,) = tomllib.load(deploy)["roles"].values()
        program = os.path.join(REPOSITORY, self.role["run"].split(" ")[0])
        if not os.access(program, os.X_OK):
            raise CannotRun("the build of the deploy file has not been run")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = PlatformStore()
        self.store.put("op/config", config)
        self.machines = []
        self.sent_at = {}  # by attempt id

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for machine in self.machines:
            machine.process.kill()
            machine.process.wait()
            machine.server.stopped.set()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def runs(self):
        """Returns the runs at all servers."""
        return [run for machine in self.machines for run in list(machine.server.runs)]

    def add(self, name, service, zone, **options):
        self.machines.append(Machine(self, name, service, zone, **options))
        return self.machines[-1]

    def wait_ready(self, paths):
        """Waits until all nodes are ready and serve these paths, then for the nodes to settle."""
        wait_until(lambda: all(m.ready() for m in self.machines), READY_S, "nodes ready")
        for machine in self.machines:
            for path in paths:
                wait_until(lambda: machine.call(path)[1] == 200, READY_S, f"{path} served")
        time.sleep(3)


def run(folder, case):
    """Runs a case, a function of the record that returns the list of breaches, and exits."""
    record = Record(folder)
    # Ends the processes, too, when the time limit of run.sh ends this one.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        breaches = case(record)
    except CannotRun as reason:
        record.write(f"the case could not run: {reason}")
        print("not run:", reason)
        sys.exit(NOT_RUN)
    except Exception as failure:  # a fault of the script says nothing about the rule
        record.write(f"the script failed: {failure!r}")
        print("not run:", repr(failure))
        sys.exit(NOT_RUN)
    for breach in breaches:
        record.write("BROKEN " + breach)
    record.write("the rule was broken" if breaches else "the rule held")
    print("\n".join(breaches[:5]) or "held")
    sys.exit(BROKEN if breaches else HELD)
