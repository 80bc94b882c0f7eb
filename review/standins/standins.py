"""Stand-ins of the platform for the review cases: store, backend servers, clients and machines.

They follow PROTOCOL.md and DEPLOY.md: JSON bodies, one HTTP/1.1 store, servers that report to the
node beside them, clients that call the node of their own machine. Nodes are real processes, started
with the command of the deploy file. All addresses are loopback addresses; every machine has its own
one, and the ports are the same on all machines.
"""
import base64
import http.client
import http.server
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
import traceback
import urllib.parse
import uuid

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "ficu95.example"

# The bounds of the small deployment that the cases take (shedbase-eg).
MEMORY_MB = 160  # of an instance
BOUNDS = {"contact_ms": 3000, "drain_ms": 2000, "grace_s": 6, "addr_reuse_s": 2,
          "config_apply_ms": 2000, "evacuate_ms": 5000}
HEARTBEAT_MS = 1500
RESTART_DELAY_S = 0.5
CONTACT_S = BOUNDS["contact_ms"] / 1000
DRAIN_S = BOUNDS["drain_ms"] / 1000


class CannotRun(Exception):
    """The case couldn't be set up, so nothing can be said about the rule."""


class Record:
    """What was sent, answered and run, in the order in which it happened."""

    def __init__(self, path):
        self.start, self.lock = time.monotonic(), threading.Lock()
        self.out = open(path, "w")

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        at = self.now()
        with self.lock:
            if not self.out.closed:
                self.out.write(f"{at:8.3f} {text}\n")
                self.out.flush()
        return at

    def close(self, text):
        """Writes the last line."""
        self.line(text)
        with self.lock:
            self.out.close()


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    allow_reuse_address = True

    def handle_error(self, request, client_address):
        pass  # a peer that closes its connection is no event of a case


def serve(handler, ip, port):
    server = _Server((ip, port), handler)
    threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.05},
                     daemon=True).start()
    return server


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = 1 << 16

    def log_message(self, *_):
        pass

    def body(self):
        if self.headers.get("Transfer-Encoding", "").lower() == "chunked":
            out = b""
            while size := int(self.rfile.readline().split(b";")[0], 16):
                out += self.rfile.read(size)
                self.rfile.readline()
            self.rfile.readline()
            return out
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def reply(self, status, value=None, headers=None):
        data = value if isinstance(value, bytes) else json.dumps(value or {}).encode()
        self.send_response(status)
        for name, text in (headers or {}).items():
            self.send_header(name, text)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)
        self.wfile.flush()


class Store:
    """The platform's metadata store. Its operations are linearizable; it loses nothing."""

    def __init__(self, ip, port):
        self.items, self.events, self.leases = {}, [], {}
        self.revision, self.next_lease = 1, 1000
        self.changed = threading.Condition()
        store = self

        class StoreHandler(Handler):
            def do_GET(self):
                store.read(self)

            def do_POST(self):
                store.write(self, self.body())

            do_DELETE = do_POST

        self.address = f"{ip}:{port}"
        self.server = serve(StoreHandler, ip, port)

    def put(self, key, value):
        """Writes an item as the operator does; the return is the acknowledgement."""
        with self.changed:
            return self._put(key, json.dumps(value).encode(), 0)

    def delete(self, key):
        with self.changed:
            self._delete(key)

    def get(self, key):
        with self.changed:
            item = self.items.get(key)
            return json.loads(base64.b64decode(item["value"])) if item else None

    def _put(self, key, value, lease):
        self.revision += 1
        created = self.items[key]["create_revision"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(),
                           "revision": self.revision, "create_revision": created, "lease": lease}
        self.events.append(self.items[key])
        self.changed.notify_all()
        return self.revision

    def _delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision, "deleted": True})
            self.changed.notify_all()

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self._delete(key)

    def _expire(self):
        for lease, (expires_at, _) in list(self.leases.items()):
            if time.monotonic() > expires_at:
                self._end_lease(lease)

    def read(self, handler):
        url = urllib.parse.urlsplit(handler.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        with self.changed:
            self._expire()
            if url.path == "/api/kv-key":
                item = self.items.get(query["key"])
                answer = {**(item or {}), "current_rev": self.revision}
                status = 200 if item else 404
            elif url.path == "/api/kv-range":
                rows = [self.items[k] for k in sorted(self.items)
                        if k.startswith(query["path_prefix"]) and k > query.get("after", "")]
                status, answer = 200, {"items": rows[:500], "has_more": len(rows) > 500,
                                       "current_rev": self.revision}
            elif url.path == "/api/kv-watch":
                def events():
                    return [e for e in self.events if e["revision"] > int(query["after"])
                            and e["key"].startswith(query["path_prefix"])]
                self.changed.wait_for(events, int(query["wait_ms"]) / 1000)
                status, answer = 200, {"events": events(), "current_rev": self.revision}
            else:
                status, answer = 404, {}
        handler.reply(status, answer)

    def write(self, handler, body):
        with self.changed:
            self._expire()
            status, answer = self._write(handler.command, handler.path, body)
        handler.reply(status, answer)

    def _write(self, method, path, body):
        if path == "/api/kv-lease":
            ttl = max(1000, json.loads(body)["ttl_ms"])
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        if path != "/api/kv-txn":
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            if method == "DELETE":
                self._end_lease(lease)
            return 200, {"lease": lease, "ttl_ms": ttl}
        change = json.loads(body)
        expected = change.get("expect", [])
        absent = {"revision": 0, "value": ""}
        current = [self.items.get(r["key"], {"key": r["key"], **absent}) for r in expected]
        if any(item["revision"] != r["revision"] for item, r in zip(current, expected)):
            return 412, {"items": current}
        writes, deletes = change.get("writes", []), change.get("deletes", [])
        if any(key.startswith(("op/", "servers/"))
               for key in [row["key"] for row in writes] + list(deletes)):
            return 403, {}
        if any(row.get("lease") and row["lease"] not in self.leases for row in writes):
            return 404, {}
        for row in writes:
            self._put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in deletes:
            self._delete(key)
        return 200, {"revision": self.revision}


class BackendServer:
    """A sound backend server: it reports itself, checks the expected instance and seals answers."""

    def __init__(self, record, machine, service, instance_id=None, version="v1", slots=12,
                 work_s=0.1, warmup_left_ms=0):
        self.record, self.machine, self.service = record, machine, service
        self.version, self.slots, self.work_s = version, slots, work_s
        self.id = instance_id or "i-" + uuid.uuid4().hex[:8]
        self.born = int(time.time() * 1000)
        self.sequence, self.state, self.warmup_left_ms = 0, "ready", warmup_left_ms
        self.free = threading.Semaphore(slots)
        self.runs = []  # (time, attempt id, caller service)
        self.connections, self.lock = set(), threading.Lock()
        self.reporting = threading.Event()
        self.ended = threading.Event()
        server = self

        class ServerHandler(Handler):
            def setup(self):
                super().setup()
                with server.lock:
                    server.connections.add(self.connection)

            def finish(self):
                with server.lock:
                    server.connections.discard(self.connection)
                super().finish()

            def serve_request(self):
                server.run(self, self.body())

            do_GET = do_POST = do_PUT = serve_request

        self.server = serve(ServerHandler, machine.ip, machine.app_port)
        record.line(f"server {self.id} of {service} started at {machine.name}, born {self.born}")

    def run(self, handler, body):
        if handler.path == "/health":
            ready = self.state == "ready"
            return handler.reply(200 if ready else 503, b"",
                                 {"X-Carawaytray-Instance-Id": self.id})
        attempt = handler.headers.get("X-Carawaytray-Attempt-Id")
        expected = handler.headers.get("X-Carawaytray-Expected-Instance")
        if expected and expected != self.id:
            self.record.line(f"server {self.id} answers 421 to {attempt}")
            return handler.reply(421, b"", {"X-Carawaytray-Instance-Id": self.id})
        if not attempt:
            return handler.reply(400, b"", {"X-Carawaytray-Not-Executed": "1"})
        if not self.free.acquire(blocking=False):
            return handler.reply(503, b"", {"X-Carawaytray-Not-Executed": "1",
                                            "X-Carawaytray-Attempt-Id": attempt})
        try:
            caller = handler.headers.get("X-Carawaytray-Caller-Service")
            at = self.record.line(f"server {self.id} at {self.machine.name} runs {attempt} "
                                  f"{handler.command} {handler.path}, caller service {caller}")
            self.runs.append((at, attempt, caller))
            time.sleep(self.work_s)
            if self.ended.is_set():
                handler.close_connection = True
                return None
            headers = {"X-Carawaytray-Attempt-Id": attempt,
                       "X-Carawaytray-Server-Seal": f"{self.id}.{attempt}"}
            return handler.reply(200, body or f"{self.id} {handler.path}".encode(), headers)
        finally:
            self.free.release()

    def beat(self):
        """Returns the next heartbeat without sending it. A late one is sent later."""
        self.sequence += 1
        return {"address": f"{self.machine.ip}:{self.machine.app_port}", "born": self.born,
                "info": {"service": self.service, "version": self.version,
                         "zone": self.machine.zone, "slots": self.slots},
                "status": {"state": self.state, "call_seq": self.sequence,
                           "warmup_left_ms": self.warmup_left_ms}}

    def send_beat(self, value):
        status = self.machine.control("/api/Instances.Heartbeat/" + self.id, value)
        self.record.line(f"heartbeat of {self.id}, state {value['status']['state']}, "
                         f"call_seq {value['status']['call_seq']}: answer {status}")
        return status

    def leave(self):
        """Sends the leave notice. Returns the time of its acknowledgement, or nothing."""
        status = self.machine.control("/api/Instances.Deregister/" + self.id,
                                      {"born": self.born})
        at = self.record.line(f"leave notice of {self.id}: answer {status}")
        return at if status is not None and 200 <= status < 300 else None

    def report(self):
        """Sends heartbeats until stop_reporting is called."""
        self.reporting.set()

        def loop():
            while self.reporting.is_set():
                self.send_beat(self.beat())
                time.sleep(HEARTBEAT_MS / 1000)
        threading.Thread(target=loop, daemon=True).start()

    def stop_reporting(self):
        self.reporting.clear()

    def exit(self):
        """Ends the server; its open connections are closed as by the end of its process."""
        self.stop_reporting()
        self.ended.set()
        self.server.shutdown()
        self.server.server_close()
        with self.lock:
            for connection in list(self.connections):
                try:
                    connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
        self.record.line(f"server {self.id} has ended")


class Machine:
    """A machine: a node process and the addresses of the server and the clients beside it."""

    def __init__(self, deployment, index, zone, service):
        self.deployment, self.record = deployment, deployment.record
        self.name, self.zone, self.service = f"sidecar-{zone}-{index}", zone, service
        self.ip = f"127.0.77.{index + 1}"
        ports = deployment.ports
        self.app_port, self.inbound, self.outbound = ports[0], ports[1], ports[2]
        self.readiness, self.control_port, self.peer = ports[3], ports[4], ports[5]
        self.process = None

    def fields(self):
        return {
            "node_name": self.name, "zone": self.zone, "service": self.service, "ip": self.ip,
            "peer_ports": [self.peer, self.peer], "heartbeat_ms": HEARTBEAT_MS,
            "app_addr": f"{self.ip}:{self.app_port}",
            "listen": {"inbound": f"{self.ip}:{self.inbound}",
                       "outbound": f"{self.ip}:{self.outbound}",
                       "readiness_addr": f"{self.ip}:{self.readiness}",
                       "control": f"{self.ip}:{self.control_port}"},
            "bounds": BOUNDS, "limits": {"memory_mb": MEMORY_MB}, "platform": {"address": self.deployment.store.address}}

    def start(self):
        """Writes the settings from the template of the deploy file and starts the node."""
        with open(os.path.join(ROOT, "deploy", "node.toml.in")) as source:
            template = source.read()

        def fill(match):
            value = self.fields()
            path, _, form = match.group(1).partition("|")
            for part in path.split("."):
                value = value[int(part)] if isinstance(value, list) else value[part]
            return json.dumps(value) if form == "json" else str(value)

        settings = os.path.join(self.deployment.folder, self.name + ".toml")
        with open(settings, "w") as out:
            out.write(re.sub(r"{{([^}]+)}}", fill, template))
        log = open(os.path.join(self.deployment.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(["target/bin/carawayd", "--platform", settings], cwd=ROOT,
                                        stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        return self.record.line(f"node of {self.name} started")

    def signal(self, number):
        self.process.send_signal(number)
        return self.record.line(f"node of {self.name} gets {signal.Signals(number).name}")

    def kill(self):
        at = self.signal(signal.SIGKILL)
        self.process.wait(5)
        return at

    def control(self, path, value):
        """Calls the node's control address as the server beside it. Returns the status."""
        try:
            connection = http.client.HTTPConnection(self.ip, self.control_port, timeout=1)
            connection.request("POST", path, json.dumps(value),
                               {"Content-Type": "application/json"})
            status = connection.getresponse().status
            connection.close()
            return status
        except (OSError, http.client.HTTPException):
            return None

    def ready(self):
        try:
            connection = http.client.HTTPConnection(self.ip, self.readiness, timeout=1)
            connection.request("GET", "/api/ready")
            status = connection.getresponse().status
            connection.close()
            return status == 200
        except (OSError, http.client.HTTPException):
            return False


class Client:
    """A client on a machine. It sends one request at a time to the node beside it."""

    def __init__(self, record, machine):
        self.record, self.machine, self.connection = record, machine, None
        self.results = []  # (time sent, time answered, attempt id, status or None)
        self.foreign = []  # attempt ids whose success doesn't bear the seal of that request

    def call(self, path, method="POST", body=b"x" * 200, deadline_ms=3000, fresh=False):
        """Sends one request. Returns the status, or nothing if the connection ended."""
        attempt = uuid.uuid4().hex[:16]
        sent = self.record.line(f"client at {self.machine.name} sends {attempt} {method} {path}")
        status, seal, answer = None, None, b""
        try:
            if fresh or self.connection is None:
                self.close()
                self.connection = http.client.HTTPConnection(
                    self.machine.ip, self.machine.outbound, timeout=deadline_ms / 1000 + 1)
            self.connection.request(method, path, body if method != "GET" else None,
                                    {"Host": HOST, "X-Carawaytray-Attempt-Id": attempt,
                                     "X-Carawaytray-Deadline-Ms": str(deadline_ms)})
            response = self.connection.getresponse()
            status, seal = response.status, response.getheader("X-Carawaytray-Server-Seal")
            answer = response.read()
            if response.will_close:
                self.close()
        except (OSError, http.client.HTTPException) as failure:
            self.close()
            seal = type(failure).__name__
        at = self.record.line(f"client at {self.machine.name} gets {attempt} {status} seal {seal}")
        self.results.append((sent, at, attempt, status))
        if status == 200 and not (seal or "").endswith("." + attempt):
            self.foreign.append(attempt)
        self.last_answer = answer
        return status

    def close(self):
        if self.connection is not None:
            self.connection.close()
            self.connection = None


class Deployment:
    """A store and some machines. Everything that it started ends with it."""

    def __init__(self, folder_of_case, places, store_class=Store):
        """places: a list of (zone, service), one for each machine."""
        self.record = Record(os.path.join(folder_of_case, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.stopping = threading.Event()
        self.ports = self._free_ports(len(places))
        self.store = store_class("127.0.77.250", self.ports[6])
        self.machines = [Machine(self, i, zone, service) for i, (zone, service) in
                         enumerate(places)]

    @staticmethod
    def _free_ports(machines):
        ips = [f"127.0.77.{i + 1}" for i in range(machines)] + ["127.0.77.250"]
        for _ in range(100):
            ports = random.sample(range(18000, 30000), 7)
            held = []
            try:
                for ip in ips:
                    for port in ports:
                        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                            test = socket.socket(socket.AF_INET, kind)
                            held.append(test)
                            test.bind((ip, port))
                return ports
            except OSError:
                continue
            finally:
                for test in held:
                    test.close()
        raise CannotRun("no free ports")

    def configure(self, version, routes, services):
        """Writes a configuration. Returns the time of its acknowledgement."""
        rows = [{"name": "r-" + path.strip("/"), "host": HOST, "path_prefix": path, "kind": kind,
                 "timeout_ms": 2500, "target_latency_ms": 800, "priority": 1, "attempts": 2,
                 **target} for path, kind, target in routes]
        self.store.put("op/config", {
            "version": f"{version:08x}", "routes": rows,
            "services": [{"name": name, "health_check_path": "/health", "max_connections": 110,
                          "protocol": "h1", "tls": False, "warmup_s": 3.0, "warmup_per_s": 14.0}
                         for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "base_version": "00000000"})
        return self.record.line(f"configuration {version} acknowledged")

    def wait(self, condition, seconds, what):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if condition():
                return
            time.sleep(0.05)
        raise CannotRun("not in time: " + what)

    def start_nodes(self):
        for machine in self.machines:
            machine.start()
        self.wait(lambda: all(m.ready() for m in self.machines), 15, "all nodes ready")

    def keep_calling(self, machine, path, gap_s, clients=1, method="POST"):
        """Clients on the machine send requests until the deployment stops."""
        out = []
        for i in range(clients):
            client = Client(self.record, machine)
            out.append(client)

            def loop(client=client, offset=gap_s * i / clients):
                time.sleep(offset)
                while not self.stopping.is_set():
                    client.call(path, method)
                    time.sleep(gap_s)
            threading.Thread(target=loop, daemon=True).start()
        return out

    def sleep_until(self, at):
        time.sleep(max(0.0, at - self.record.now()))

    def end(self):
        self.stopping.set()
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                try:
                    machine.process.send_signal(signal.SIGCONT)
                except OSError:
                    pass
                machine.process.kill()
                machine.process.wait(5)
        if os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(case_file, places, case, store_class=Store):
    """Runs a case. Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run.

    case(deployment) returns a list of breaches, one line each."""
    folder = os.path.dirname(os.path.abspath(case_file))
    deployment, code = None, 2

    def give_up(number, _):
        raise CannotRun(f"signal {number}")

    signal.signal(signal.SIGTERM, give_up)
    signal.signal(signal.SIGINT, give_up)
    try:
        deployment = Deployment(folder, places, store_class)
        breaches = case(deployment)
        for number, text in enumerate(breaches):
            deployment.record.line("BREACH " + text)
            if number < 10:
                print(text)
        verdict = f"{len(breaches)} breaches" if breaches else "the rule held"
        deployment.stopping.set()
        deployment.record.close(verdict + (" (with the disruption)" if TROUBLE else
                                           " (without the disruption)"))
        print(verdict)
        code = 1 if breaches else 0
    except CannotRun as failure:
        print("cannot run:", failure)
    except Exception:  # a fault of the case says nothing about the rule
        traceback.print_exc()
    finally:
        if deployment is not None:
            deployment.end()
    sys.stdout.flush()
    os._exit(code)
