"""Stand-ins of the platform: its key-value store and backend servers that report themselves.

Both run as threads of the test. The store keeps items with revisions, and supports watches,
conditional writes and leases; with down set it refuses every call, with silent set it loses it, and
with endless set to a start and a part that repeats it answers with bytes without end. It can be
restored from a copy, which loses all later writes and leases and assigns their revisions
again.
"""
import base64
import copy
import http.client
import http.server
import json
import socket
import threading
import time
import urllib.parse
import uuid

from harness import HOST, free_port, request


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, *_):
        pass  # a peer closed its connection


def _serve(handler, port=None):
    server = _Server((HOST, port or free_port()), handler)
    threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.05},
                     daemon=True).start()
    return server, f"{HOST}:{server.server_address[1]}"


def _cut(connection):
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # the peer has closed it


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def reply(self, status, value=None, headers=None):
        data = value if isinstance(value, bytes) else json.dumps(value or {}).encode()
        self.send_response(status)
        for name, text in (headers or {}).items():
            self.send_header(name, text)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class PlatformStore:
    """The key-value store. Tests write to it as the platform's operators do."""

    def __init__(self):
        self.items, self.events, self.leases = {}, [], {}
        self.revision, self.calls, self.down, self.silent = 1, 0, False, False
        self.oldest_revision = 0  # watches from an earlier revision get 410
        self.waiting_watches = set()  # their connections
        self.era = 0  # number of restorations; answers name it after the first one
        self.copied = None  # what a restoration brings back
        self.end_watches = True  # whether a restoration ends waiting watches
        self.endless = None
        self.hidden_key_parts = ()  # lists omit keys that contain one of these parts
        self.lose_write_of = None  # the next write of a key with this part is lost to a restoration
        self.changed = threading.Condition()
        store = self

        class Handler(_Handler):
            def do_GET(self):
                store.handle_read(self)

            def do_POST(self):
                store.handle_write(self, self.body())

            do_DELETE = do_POST

            def reply(self, status, value=None, headers=None):
                era = {"Store-Era": str(store.era)} if store.era else {}
                super().reply(status, value, {**(headers or {}), **era})

        self.server, self.address = _serve(Handler)

    def put(self, key, value):
        """Writes a value as the operator does. Returns the revision."""
        with self.changed:
            return self._write(key, value.encode(), 0)

    def delete(self, key):
        with self.changed:
            self._delete(key)

    def value(self, key):
        with self.changed:
            item = self.items.get(key)
            return base64.b64decode(item["value"]).decode() if item else None

    def cut_watches(self):
        """Closes the connections of all watches that wait."""
        with self.changed:
            for connection in self.waiting_watches:
                _cut(connection)

    def drop_history(self):
        """Forgets all events, as a compaction does, and cuts the watches."""
        with self.changed:
            self.oldest_revision = self.revision
        self.cut_watches()

    def take_copy(self):
        """Makes the copy that the next restoration brings back."""
        with self.changed:
            self.copied = copy.deepcopy((self.items, self.leases, self.revision))

    def restore(self, outage_s=0, end_watches=True):
        """Is unavailable for a time, then continues from the copy in a new era. Unless end_watches
        is set, watches that wait are answered only when their time is over or an event ends it."""
        with self.changed:
            self.end_watches = end_watches
            self.down = outage_s > 0
            self.changed.notify_all()
        time.sleep(outage_s)
        with self.changed:
            self.items, self.leases, self.revision = copy.deepcopy(self.copied)
            self.events = [e for e in self.events if e["revision"] <= self.revision]
            self.era += 1
            self.down = False
            self.changed.notify_all()

    def _write(self, key, value, lease):
        self.revision += 1
        created = self.items[key]["create_revision"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "lease": lease,
                           "revision": self.revision, "create_revision": created}
        self.events.append(self.items[key])
        self.changed.notify_all()
        return self.revision

    def _delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision, "deleted": True})
            self.changed.notify_all()

    def _expire(self):
        for lease, (expires_at, _) in list(self.leases.items()):
            if time.monotonic() > expires_at:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self._delete(key)

    def handle_read(self, handler):
        if self.silent:
            return self._lose(handler)
        if self.endless:
            return self._send_without_end(handler, *self.endless)
        self.calls += 1
        url = urllib.parse.urlsplit(handler.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        if self.down:
            return handler.reply(503)
        with self.changed:
            self._expire()
            if url.path == "/api/kv-key":
                item = self.items.get(query["key"])
                return handler.reply(200 if item else 404,
                                     {**(item or {}), "current_rev": self.revision})
            prefix = query["path_prefix"]
            if url.path == "/api/kv-range":
                rows = [self.items[k] for k in sorted(self.items)
                        if k.startswith(prefix) and k > query.get("after", "")
                        and not any(part in k for part in self.hidden_key_parts)]
                # Two items a page, so that lists consist of several pages.
                return handler.reply(200, {"items": rows[:2], "has_more": len(rows) > 2,
                                           "current_rev": self.revision})

            if not self.oldest_revision <= int(query["after"]) <= self.revision:
                return handler.reply(410)
            era = self.era

            def pending_events():
                return [e for e in self.events
                        if e["revision"] > int(query["after"]) and e["key"].startswith(prefix)]
            self.waiting_watches.add(handler.connection)
            self.changed.wait_for(lambda: pending_events() or self.down or
                                  (era != self.era and self.end_watches),
                                  int(query["wait_ms"]) / 1000)
            self.waiting_watches.discard(handler.connection)
            if era != self.era and self.end_watches:
                return handler.reply(410)
            answer = {"events": pending_events(), "current_rev": self.revision}
        if self.silent:
            return self._lose(handler)
        return handler.reply(503 if self.down else 200, answer)

    @staticmethod
    def _lose(handler):
        """Answers neither this call nor a later one on the connection."""
        handler.rfile.read()
        handler.close_connection = True

    @staticmethod
    def _send_without_end(handler, start, more):
        handler.close_connection = True
        try:
            handler.connection.sendall(start)
            while True:
                handler.connection.sendall(more)
        except OSError:
            pass  # the node has closed the connection

    def handle_write(self, handler, body):
        if self.silent:
            return self._lose(handler)
        if self.endless:
            return self._send_without_end(handler, *self.endless)
        self.calls += 1
        if self.down:
            return handler.reply(503)
        with self.changed:
            self._expire()
            if handler.path == "/api/kv-lease":
                ttl = json.loads(body)["ttl_ms"]
                lease = len(self.leases) + 1000 + self.revision
                self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
                return handler.reply(200, {"lease": lease, "ttl_ms": ttl})
            if handler.path != "/api/kv-txn":
                lease = int(handler.path.rsplit("/", 1)[1])
                if lease not in self.leases:
                    return handler.reply(404)
                ttl = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
                if handler.command == "DELETE":
                    self._end_lease(lease)
                return handler.reply(200, {"ttl_ms": ttl})
            change = json.loads(body)
            for row in change["expect"]:
                item = self.items.get(row["key"], {"key": row["key"], "revision": 0, "value": ""})
                if item["revision"] != row["revision"]:
                    return handler.reply(412, {"items": [item]})
            for row in change["writes"]:
                if row["lease"] and row["lease"] not in self.leases:
                    return handler.reply(404)
                if row["key"].startswith(("op/", "servers/")):
                    return handler.reply(403)
                self._write(row["key"], base64.b64decode(row["value"]), row["lease"])
            for key in change["deletes"]:
                self._delete(key)
            answer = {"revision": self.revision}
            if self.lose_write_of and any(self.lose_write_of in r["key"] for r in change["writes"]):
                self.lose_write_of = None
                self.restore()
            return handler.reply(200, answer)


class ReportingServer:
    """A backend server that seals its answers, that is, states its instance in them, and reports
    itself to the node beside it."""
    slots = 4

    def __init__(self, service, data_centre, reports_address, version="v1", port=None,
                 instance_id=None):
        self.service, self.data_centre, self.version = service, data_centre, version
        self.reports_address = reports_address
        self.instance_id = instance_id or "i-" + uuid.uuid4().hex[:8]
        self.started_ms, self.sequence, self.state = int(time.time() * 1000), 0, "ready"
        self.runs, self.callers, self.delay_s = [], set(), 0
        self.stopped = threading.Event()
        self.connections = set()
        server = self

        class Handler(_Handler):
            def setup(self):
                super().setup()
                server.connections.add(self.connection)

            def finish(self):
                server.connections.discard(self.connection)
                super().finish()

            def do_GET(self):
                early = server.answers_early(self)
                server.handle_request(self, b"" if early else self.body())

            do_POST = do_GET

        self.server, self.address = _serve(Handler, port)
        self.port = self.server.server_address[1]
        threading.Thread(target=self._report_periodically, daemon=True).start()

    def answers_early(self, handler):
        """Returns whether the request is answered before its body is read."""
        return False

    def handle_request(self, handler, body):
        expected = handler.headers.get("X-Carawaytray-Expected-Instance")
        if expected != self.instance_id:
            return handler.reply(421, headers={"X-Carawaytray-Instance-Id": self.instance_id})
        attempt_id = handler.headers["X-Carawaytray-Attempt-Id"]
        self.runs.append((attempt_id, time.monotonic()))
        self.callers.add(handler.headers.get("X-Carawaytray-Caller-Service"))
        time.sleep(self.delay_s)
        return handler.reply(200, body or f"{self.instance_id} {handler.path}".encode(),
                             {"X-Carawaytray-Attempt-Id": attempt_id,
                              "X-Carawaytray-Server-Seal": self.instance_id})

    def make_report(self):
        """Returns the next report without sending it; a late one is sent later."""
        self.sequence += 1
        return json.dumps({
            "address": self.address, "born": self.started_ms,
            "info": {"service": self.service, "version": self.version,
                     "zone": self.data_centre, "slots": self.slots},
            "status": {"state": self.state, "call_seq": self.sequence, "warmup_left_ms": 0}})

    def report(self, value=None):
        """Sends this report or the next one. Returns the status of the answer, or None if there is
        no answer."""
        value = value or self.make_report()
        try:
            return request(self.reports_address, "POST",
                           "/api/Instances.Heartbeat/" + self.instance_id,
                           value.encode(), timeout_s=1)[0]
        except (OSError, http.client.HTTPException):
            return None

    def leave(self, value="{}"):
        """Sends a leave notice. Returns the status of the answer, or None if there is no answer."""
        try:
            return request(self.reports_address, "POST",
                           "/api/Instances.Deregister/" + self.instance_id, value.encode(),
                           timeout_s=1)[0]
        except (OSError, http.client.HTTPException):
            return None

    def end(self):
        """Ends the server; its connections are closed as by the end of its process."""
        self.stopped.set()
        self.server.shutdown()
        self.server.server_close()
        for connection in list(self.connections):
            _cut(connection)

    def _report_periodically(self):
        while not self.stopped.wait(0.3):
            self.report()


def invalid_reports(server):
    """Returns unreadable and impossible reports and leave notices, as (path, body)."""
    report = json.loads(server.make_report())
    impossible = [{**report, "born": 2**63 - 1}, {**report, "born": 10**15},
                  {**report, "info": {**report["info"], "service": "unknown"},
                   "born": report["born"] + 1},
                  {**report, "status": {**report["status"], "call_seq": 2**64 - 1}},
                  {**report, "address": "127.0.0.1:99999"}]
    bodies = [b"[" * 60_000, b"\xff\xfe", b'{"born":1e999}', b'{"born":' + b"9" * 400 + b"}",
              *(json.dumps(value).encode() for value in impossible)]
    names = (server.instance_id, "i-other")
    reports = [("/api/Instances.Heartbeat/" + name, body) for name in names for body in bodies]
    notices = [("/api/Instances.Deregister/" + name, b'{"born":%d}' % born)
               for name in names for born in (10**15, 2**63 - 1, 2**64 - 1)]
    return reports + notices
