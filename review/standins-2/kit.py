"""Stand-ins for the scripts of the review: backend servers, clients and the settings of nodes.

The store is the project's own stand-in (tests/integration/platform_standins.py). Nodes are started
with the command of the deploy file and with settings that the deploy file's template describes.
Only Python's standard library is used, and only loopback addresses.
"""
import hashlib
import http.client
import json
import os
import random
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

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "integration"))
from platform_standins import PlatformStore  # noqa: E402

HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Bounds of the small deployment shedbase-eg, as its page states them.
BOUNDS = {"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6,
          "loss_slack_ms": 200, "config_apply_ms": 2000, "evacuate_ms": 5000, "recovery_s": 15}
HEARTBEAT_MS = 1500
LEAD_S = 8


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes record.txt: one line for each thing sent, answered or run, with seconds since start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.out = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.started

    def note(self, text):
        with self.lock:
            self.out.write(f"{self.now():8.3f} {text}\n")
            self.out.flush()


given_ports = set()


def free_ports(count):
    """Returns ports that are free for TCP and UDP. They lie below those that the system gives to
    outgoing connections, so that none of these takes a port before its node listens, and no port is
    given out twice."""
    ports = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(10000, 32000)
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp, \
                socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((HOST, port))
                udp.bind((HOST, port))
            except OSError:
                continue
        if port not in given_ports:
            given_ports.add(port)
            ports.append(port)
    return ports


def wait_until(check, timeout_s, what):
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        if check():
            return
        time.sleep(0.05)
    raise RuntimeError("not within %s s: %s" % (timeout_s, what))


class Server:
    """A backend server: answers with its seal and the attempt's id, and reports itself every
    HEARTBEAT_MS. A subclass may change answer()."""

    def __init__(self, record, service, zone, reports, slots=12, run_s=0.02, version="v1"):
        self.record, self.service, self.zone, self.reports = record, service, zone, reports
        self.version = version
        self.slots, self.run_s = slots, run_s
        self.id = "i-" + uuid.uuid4().hex[:8]
        self.born, self.sequence, self.state = int(time.time() * 1000), 0, "ready"
        self.runs, self.lock = [], threading.Lock()
        self.beating, self.stopped = True, False
        self.listener = socket.create_server((HOST, 0), backlog=128)
        self.address = "%s:%d" % (HOST, self.listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def start_beats(self):
        threading.Thread(target=self._beat_periodically, daemon=True).start()

    def _accept(self):
        while not self.stopped:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = connection.makefile("rb")
        try:
            while True:
                request = read_message(stream)
                if request is None or not self.handle(connection, request):
                    return
        except (OSError, ValueError):
            pass
        finally:
            connection.close()

    def handle(self, connection, request):
        """Handles one request. Returns whether the connection stays open."""
        first, headers, body = request
        method, path = first.split(" ")[:2]
        expected = headers.get("x-carawaytray-expected-instance")
        attempt = headers.get("x-carawaytray-attempt-id")
        if path == "/health":
            connection.sendall(make_answer(200, b"", {"X-Carawaytray-Instance-Id": self.id}))
            return True
        if expected is not None and expected != self.id:
            connection.sendall(make_answer(421, b"", {"X-Carawaytray-Instance-Id": self.id}))
            return True
        if not attempt:
            connection.sendall(make_answer(400, b"", {"X-Carawaytray-Not-Executed": "1"}))
            return True
        run = {"at": self.record.now(), "id": attempt, "method": method, "path": path,
               "body": body, "caller": headers.get("x-carawaytray-caller-service"),
               "server": self.id}
        with self.lock:
            self.runs.append(run)
        self.record.note("server %s (%s) runs %s %s %s, body of %d bytes (%s)" %
                         (self.id, self.service, attempt, method, path, len(body), digest(body)))
        time.sleep(self.run_s)
        return self.answer(connection, run)

    def answer(self, connection, run):
        data = ("%s ran %s" % (self.id, run["id"])).encode()
        connection.sendall(make_answer(200, data, self.seal(run)))
        return True

    def seal(self, run):
        return {"X-Carawaytray-Attempt-Id": run["id"], "X-Carawaytray-Server-Seal": self.id + ".0",
                "Keep-Alive": "timeout=10"}

    def make_beat(self):
        """Returns the next heartbeat without sending it."""
        self.sequence += 1
        return json.dumps({
            "address": self.address, "born": self.born,
            "info": {"service": self.service, "version": self.version, "zone": self.zone,
                     "slots": self.slots},
            "status": {"state": self.state, "call_seq": self.sequence, "warmup_left_ms": 0}})

    def send(self, call, body):
        """Sends a report to the node beside the server. Returns the status, or None."""
        connection = http.client.HTTPConnection(self.reports, timeout=1)
        try:
            connection.request("POST", "/api/Instances.%s/%s" % (call, self.id), body,
                               {"Content-Type": "application/json"})
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def _beat_periodically(self):
        while not self.stopped:
            if self.beating:
                self.send("Heartbeat", self.make_beat())
            time.sleep(HEARTBEAT_MS / 1000)

    def end(self):
        self.stopped = True
        self.listener.close()


def digest(body):
    return hashlib.sha256(body).hexdigest()[:8]


def read_message(stream):
    """Reads a request or an answer. Returns its first line, headers (names in lower case) and body,
    or None at the end of the stream."""
    first = stream.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = stream.readline()
        if not line:
            return None
        line = line.rstrip(b"\r\n")
        if not line:
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int(stream.readline().split(b";")[0], 16)
            if size == 0:
                while stream.readline().strip():
                    pass
                break
            body += read_exactly(stream, size)
            stream.readline()
    elif "content-length" in headers:
        body = read_exactly(stream, int(headers["content-length"]))
    return first.decode("latin-1").rstrip("\r\n"), headers, body


def read_exactly(stream, size):
    data = stream.read(size)
    if len(data) < size:
        raise ValueError("the message ends early")
    return data


def make_answer(status, body, headers):
    text = "HTTP/1.1 %d %s\r\n" % (status, http.client.responses.get(status, "-"))
    for name, value in {**headers, "Content-Length": str(len(body))}.items():
        text += "%s: %s\r\n" % (name, value)
    return text.encode() + b"\r\n" + body


def render(template, values):
    """Fills in the placeholders of the deploy file's template: {{a.b}} and {{a.b|json}}."""

    def value_of(match):
        value = values
        for part in match.group(1).split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return json.dumps(value) if match.group(2) else str(value)

    return re.sub(r"\{\{([a-z_0-9.]+)(\|json)?\}\}", value_of, template)


class Node:
    """A machine: a node, started with the command of the deploy file, and the server beside it."""

    def __init__(self, mesh, name, service, zone, server_class=Server, **server_options):
        self.mesh, self.name, self.service, self.zone = mesh, name, service, zone
        callers, traffic, peer, admin, reports = free_ports(5)
        self.callers, self.admin = (HOST, callers), (HOST, admin)
        self.server = server_class(mesh.record, service, zone, "%s:%d" % (HOST, reports),
                                   **server_options)
        values = {
            "node_name": name, "zone": zone, "service": service, "ip": HOST,
            "listen": {"outbound": "%s:%d" % (HOST, callers), "inbound": "%s:%d" % (HOST, traffic),
                       "readiness_addr": "%s:%d" % (HOST, admin),
                       "control": "%s:%d" % (HOST, reports)},
            "peer_ports": [peer, peer + 1], "app_addr": self.server.address,
            "heartbeat_ms": HEARTBEAT_MS, "platform": {"address": mesh.store.address},
            "bounds": BOUNDS, "limits": {"memory_mb": 260, "link_mbps": 1000.0}}
        with open(os.path.join(ROOT, "deploy", "node.toml.in"), encoding="utf-8") as source:
            settings = render(source.read(), values)
        self.settings = os.path.join(mesh.folder, name + ".toml")
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(settings)
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as source:
            run = tomllib.load(source)["roles"]["node"]["run"]
        self.command = [self.settings if word == "/etc/carawaytray/local.toml" else word
                        for word in render(run, values).split(" ")]
        self.process, self.starts = None, 0

    def start(self):
        self.starts += 1
        log = open(os.path.join(self.mesh.folder, "%s-%d.log" % (self.name, self.starts)), "wb")
        self.process = subprocess.Popen(self.command, cwd=ROOT, stdin=subprocess.DEVNULL,
                                        stdout=log, stderr=log,
                                        env={"PATH": os.environ.get("PATH", ""),
                                             "CARAWAYTRAY_CONFIG": self.settings})
        log.close()
        self.mesh.record.note("node %s started" % self.name)

    def signal(self, number):
        self.mesh.record.note("node %s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def ready(self):
        if self.process.poll() is not None:
            raise RuntimeError("node %s ended by itself with %s" % (
                self.name, self.process.returncode))
        connection = http.client.HTTPConnection(*self.admin, timeout=1)
        try:
            connection.request("GET", "/api/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def request(self, method, path, body=b"", attempt=None, deadline_ms=3000, headers=None,
                timeout_s=None, raw=None):
        """Sends one request of a client on a new connection and returns (status, headers, body), or
        None if no complete answer comes. raw: the bytes after the request's fixed headers."""
        attempt = attempt or uuid.uuid4().hex[:16]
        text = "%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Carawaytray-Attempt-Id: %s\r\n" \
               "X-Carawaytray-Deadline-Ms: %d\r\n" % (method, path, attempt, deadline_ms)
        for name, value in (headers or {}).items():
            text += "%s: %s\r\n" % (name, value)
        if raw is None:
            raw = (b"Content-Length: %d\r\n\r\n" % len(body)) + body if body or method != "GET" \
                else b"\r\n"
        self.mesh.record.note("client beside %s sends %s %s %s" %
                              (self.name, attempt, method, path))
        result = None
        try:
            with socket.create_connection(self.callers, 1) as connection:
                connection.settimeout(timeout_s or deadline_ms / 1000 + 1)
                connection.sendall(text.encode() + raw)
                answer = read_message(connection.makefile("rb"))
                if answer:
                    result = (int(answer[0].split(" ")[1]), answer[1], answer[2])
        except (OSError, ValueError):
            pass
        self.mesh.record.note("client beside %s gets for %s: %s" % (
            self.name, attempt, "no answer" if result is None else "%d, seal %s, %d bytes" % (
                result[0], result[1].get("x-carawaytray-server-seal"), len(result[2]))))
        return result


class Mesh:
    """A store and machines. Ends all that it started."""

    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="carawaytray-review-")
        self.store = PlatformStore()
        self.nodes, self.version = [], 5

    def configure(self, routes, limits=None):
        """Writes a configuration: routes as (prefix, kind, service, timeout in ms)."""
        value = {"version": "%08x" % self.version,
                 "routes": [{"name": path, "host": "shop.example", "path_prefix": path,
                             "kind": kind, "service": service, "timeout_ms": timeout,
                             "target_latency_ms": 800, "priority": 1, "attempts": 2}
                            for path, kind, service, timeout in routes],
                 "services": [{"name": name, "max_connections": 110, "warmup_s": 3,
                               "warmup_per_s": 14.0, "health_check_path": "/health"}
                              for name in sorted({service for _, _, service, _ in routes})]}
        if limits:
            value["limits"] = limits
        self.store.put("op/config", json.dumps(value))
        self.record.note("operator writes configuration %s" % value["version"])
        self.version += 3

    def add(self, *arguments, **options):
        self.nodes.append(Node(self, *arguments, **options))
        return self.nodes[-1]

    def start(self):
        for node in self.nodes:
            node.start()
            node.server.start_beats()
        started = time.monotonic()
        wait_until(lambda: all(n.ready() for n in self.nodes), 20, "all nodes are ready")
        # Traffic starts 8 s after the machines do.
        time.sleep(max(0, started + LEAD_S - time.monotonic()))

    def runs(self):
        return [run for node in self.nodes for run in node.server.runs]

    def close(self):
        for node in self.nodes:
            node.server.end()
            if node.process and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case, case_folder):
    """Runs a case, which gets a mesh and returns HELD or BROKEN, and exits with its result."""
    mesh = Mesh(case_folder)
    try:
        mesh.record.note("TROUBLE=%d" % trouble())
        result = case(mesh)
    except Exception as failure:  # the case couldn't run
        mesh.record.note("the case could not run: %r" % failure)
        result = NOT_RUN
    finally:
        mesh.close()
    mesh.record.note({HELD: "the rule held", BROKEN: "the rule was broken",
                      NOT_RUN: "could not run"}[result])
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[result])
    sys.stdout.flush()
    os._exit(result)
