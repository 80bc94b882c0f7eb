"""Memory, descriptors and answers of a node whose clients or backend server stay outside the limits.

The tests check only what doesn't depend on the speed of the machine: the process stays alive, its
peak memory and its open descriptors stay under a bound, and one ordinary request is answered
afterwards. The settings lower the limits, so that few clients are enough. Run this file alone.
"""
import concurrent.futures
import json
import os
import socket
import time

from harness import Harness, request, run_tests, wait_until
from platform_mesh import Instance, config
from platform_standins import PlatformStore, ReportingServer

READY_S = 10
SEND_S = 20                # until a client gives up sending
MAX_PEAK_KB = 160_000_000 // 1024  # memory of the smallest instance
MAX_CONNECTIONS = 50       # setting of the node
SURPLUS_CONNECTIONS = 60   # above the limit
MAX_DESCRIPTORS = 200
STALLED_CLIENTS = 20       # their bodies take 240 MB
STALLED_BYTES = 12_000_000
UNREAD_CLIENTS = 12        # each pipelines four requests, whose answers take 4 MB each
ADMIN_CONNECTIONS = 20     # above the limit of 16
PEER_CONNECTIONS = 40
LARGEST_BODY_BYTES = 64 << 20
ANSWERS_AT_ONCE = 45       # of 3.9 MB each, below the limit of a single one
ANSWER_BYTES = 3_900_000
HOLD_S = 6                 # deadline of the calls whose answers never end

TRAFFIC_SETTINGS = f"""
[traffic]
threads = 1
max_connections = {MAX_CONNECTIONS}
max_body_bytes = 16777216
max_answer_bytes = 4194304
"""
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": LARGEST_BODY_BYTES,
          "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
ROUTES = [("/orders/", "idempotent", {"service": "orders", "timeout_ms": 30000})]


class LimitedInstance(Instance):
    """An instance with TRAFFIC_SETTINGS."""

    def start(self):
        with open(self.settings_path) as settings:
            text = settings.read()
        with open(self.settings_path, "a") as out:
            if "[traffic]" not in text:
                out.write(TRAFFIC_SETTINGS)
        addresses = dict(line.split(" = ") for line in text.splitlines() if " = " in line)
        self.traffic = addresses["traffic"].strip('"')
        self.peer = addresses["peer_bulk"].strip('"')
        super().start()


class EndlessAnswerServer(ReportingServer):
    """Answers to /orders/FRAMING-END with a large body that goes on, but never ends: with a byte now
    and then, or with nothing. Counts the calls that have got the large part."""
    slots = 2 * ANSWERS_AT_ONCE

    def __init__(self, *arguments, **named):
        self.sent = 0
        super().__init__(*arguments, **named)

    def handle_request(self, handler, body):
        framing, _, end = handler.path.rsplit("/", 1)[1].partition("-")
        if not end:
            return super().handle_request(handler, body)
        head = "HTTP/1.1 200 OK\r\n" \
               f"X-Carawaytray-Attempt-Id: {handler.headers['X-Carawaytray-Attempt-Id']}\r\n" \
               f"X-Carawaytray-Server-Seal: {self.instance_id}\r\n"
        head += {"length": f"Content-Length: {ANSWER_BYTES + 1000}\r\n", "none": "",
                 "chunked": "Transfer-Encoding: chunked\r\n"}[framing]
        chunk = b"1000\r\n" + bytes(0x1000) + b"\r\n" if framing == "chunked" else bytes(0x1000)
        more = b"1\r\nx\r\n" if framing == "chunked" else b"x"
        handler.close_connection = True
        try:
            handler.connection.sendall(head.encode() + b"\r\n")
            for _ in range(ANSWER_BYTES // 0x1000):
                handler.connection.sendall(chunk)
            self.sent += 1
            for _ in range(HOLD_S):
                time.sleep(1)
                handler.connection.sendall(more if end == "trickle" else b"")
        except OSError:
            pass  # the node has closed the connection


class LoadedNode:
    """One node with a backend server, and the open connections of its clients."""

    def __init__(self, limits=None, server_class=ReportingServer):
        self.limits, self.server_class = limits, server_class

    def __enter__(self):
        self.harness = Harness()
        self.harness.__enter__()
        self.store = store = PlatformStore()
        text = json.loads(config(5, ROUTES))
        if self.limits:
            text["limits"] = self.limits
        store.put("op/config", json.dumps(text))
        self.instance = LimitedInstance(self.harness, store, "orders-north", "orders", "north",
                                        self.server_class)
        wait_until(self.instance.ready, READY_S, "ready")
        wait_until(lambda: self.instance.call("/orders/x")[0] == 200, READY_S, "first call")
        self.clients = []
        return self

    def __exit__(self, kind, value, trace):
        for client in self.clients:
            client.close()
        self.instance.server.stopped.set()
        self.harness.__exit__(kind, value, trace)

    def connect(self, address):
        host, port = address.rsplit(":", 1)
        client = socket.create_connection((host, int(port)), timeout=SEND_S)
        self.clients.append(client)
        return client

    def send_from_clients(self, address, count, make_pieces):
        """Opens connections, sends the pieces of data that make_pieces() yields on each of them at
        the same time, and leaves them open. A client whose connection the node closes ends."""
        def send(client):
            try:
                for piece in make_pieces():
                    client.sendall(piece)
            except OSError:
                pass
        clients = [self.connect(address) for _ in range(count)]
        with concurrent.futures.ThreadPoolExecutor(count) as pool:
            list(pool.map(send, clients))

    def status_kb(self, name):
        with open(f"/proc/{self.instance.node.process.pid}/status") as status:
            return next(int(line.split()[1]) for line in status if line.startswith(name + ":"))

    def check(self):
        """Checks the bounds and that an ordinary request is answered. Returns the figures."""
        assert self.instance.node.running(), "the process has ended"
        peak_kb = self.status_kb("VmHWM")
        descriptors = len(os.listdir(f"/proc/{self.instance.node.process.pid}/fd"))
        status, body = self.instance.call("/orders/x", b"ordinary", deadline_ms=30000)
        figures = f"peak {peak_kb} kB, {descriptors} descriptors, answer {status}"
        assert peak_kb <= MAX_PEAK_KB, figures
        assert descriptors <= MAX_DESCRIPTORS, figures
        assert (status, body) == (200, b"ordinary"), figures
        return figures


def head(path="/orders/x", fields="", method="POST"):
    return (f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n"
            f"X-Carawaytray-Attempt-Id: {os.urandom(8).hex()}\r\n"
            f"X-Carawaytray-Deadline-Ms: 30000\r\n{fields}\r\n").encode()


def stalled_body():
    """A body of declared length that stops one byte before its end."""
    yield head(fields=f"Content-Length: {STALLED_BYTES}\r\n")
    yield bytes(STALLED_BYTES - 1)


def stalled_chunks(chunk_bytes=100_000):
    """A chunked body that lacks its last chunk."""
    yield head(fields="Transfer-Encoding: chunked\r\n")
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, bytes(chunk_bytes))
    for _ in range(STALLED_BYTES // chunk_bytes):
        yield chunk


def one_byte_chunks():
    """A body of 1 MB in chunks of one byte that lacks its last chunk."""
    yield head(fields="Transfer-Encoding: chunked\r\n")
    for _ in range(100):
        yield b"1\r\nx\r\n" * 10_000


def check_stalled(name, make_pieces):
    with LoadedNode() as node:
        node.send_from_clients(getattr(node.instance, name), STALLED_CLIENTS, make_pieces)
        return node.check()


def test_stalled_bodies_of_callers():
    """Guards against a process that runs out of memory because many bodies of declared length stop
    before their end."""
    return check_stalled("callers", stalled_body)


def test_stalled_chunked_bodies_of_callers():
    """Guards against the same with chunked bodies."""
    return check_stalled("callers", stalled_chunks)


def test_stalled_bodies_at_the_traffic_port():
    """Guards against the same at the port for other nodes."""
    return check_stalled("traffic", stalled_body)


def test_one_byte_chunks():
    """Guards against memory that grows with the number of chunks instead of their content."""
    return check_stalled("callers", one_byte_chunks)


def test_unread_answers():
    """Guards against a process that runs out of memory because clients don't read their answers."""
    body = bytes(4_000_000)
    with LoadedNode() as node:
        def pieces():
            for _ in range(4):
                yield head(fields=f"Content-Length: {len(body)}\r\n")
                yield body
        for client in range(UNREAD_CLIENTS):
            node.connect(node.instance.callers).settimeout(3)
        clients = node.clients

        def send(client):
            try:
                for piece in pieces():
                    client.sendall(piece)
            except OSError:
                pass
        with concurrent.futures.ThreadPoolExecutor(UNREAD_CLIENTS) as pool:
            list(pool.map(send, clients))
        time.sleep(1)
        return node.check()


def test_silent_connections():
    """Guards against connections without a request that take all places of ordinary callers."""
    with LoadedNode() as node:
        node.send_from_clients(node.instance.callers, SURPLUS_CONNECTIONS, lambda: ())
        return node.check()


def test_unfinished_heads():
    """Guards against heads that never end and take all places of ordinary callers."""
    with LoadedNode() as node:
        node.send_from_clients(node.instance.callers, SURPLUS_CONNECTIONS,
                               lambda: (bytes([byte]) for byte in head()[:-2]))
        return node.check()


def test_endless_heads_extensions_and_trailers():
    """Guards against memory that grows with a head, a chunk extension or a trailer."""
    chunked = head(fields="Transfer-Encoding: chunked\r\n")
    filler = b"x" * 100_000
    starts = (head()[:-2] + b"X-Long: ", head()[:-2], chunked + b"1;extension=",
              chunked + b"1\r\nx\r\n0\r\nX-Trailer: ", chunked + b"1\r\nx\r\n0\r\n")

    def pieces(start, filler):
        yield start
        for _ in range(40):
            yield filler
    with LoadedNode() as node:
        for start in starts:
            for text in (filler, b"X-Many: x\r\n" * 10_000):
                node.send_from_clients(node.instance.callers, 4, lambda: pieces(start, text))
        return node.check()


def test_largest_body():
    """Guards against a body inside the operators' limits that is refused, or that doesn't fit into
    the memory of an instance."""
    with LoadedNode(LIMITS) as node:
        server = node.instance.server

        def answer_length(handler, body):
            attempt = handler.headers["X-Carawaytray-Attempt-Id"]
            return handler.reply(200, body if len(body) < 100 else str(len(body)).encode(),
                                 {"X-Carawaytray-Attempt-Id": attempt,
                                  "X-Carawaytray-Server-Seal": server.instance_id})
        server.handle_request = answer_length
        answer = node.instance.call("/orders/large", bytes(LARGEST_BODY_BYTES), deadline_ms=30000)
        assert answer == (200, str(LARGEST_BODY_BYTES).encode()), answer
        return node.check()


def test_silent_connections_at_admin_and_reports():
    """Guards against connections without a request that keep readiness probes and reports of the
    server from being answered."""
    with LoadedNode() as node:
        instance = node.instance
        for address in (instance.admin, instance.reports):
            node.send_from_clients(address, ADMIN_CONNECTIONS, lambda: ())
        assert request(instance.admin, "GET", "/api/ready")[0] == 200
        assert instance.server.report() == 200
        return node.check()


def test_large_bodies_at_admin_and_reports():
    """Guards against bodies above the limit at the other HTTP ports."""
    with LoadedNode() as node:
        for address in (node.instance.admin, node.instance.reports):
            for make_pieces in (stalled_body, stalled_chunks):
                node.send_from_clients(address, 10, make_pieces)
        return node.check()


def test_peer_port():
    """Guards against memory that grows with data at the peer port that isn't from a node: no
    handshake, messages of a large declared length, messages that stop before their end."""
    handshake = b"\0SP\0\0\x30\0\0"  # protocol REQ0

    def stalled_message(size):
        return handshake + size.to_bytes(8, "big") + bytes(size - 1)
    with LoadedNode() as node:
        for data in (b"", b"GET / HTTP/1.1\r\n\r\n", handshake + b"\x7f" + b"\xff" * 7,
                     stalled_message(7 << 20), stalled_message((3 << 20) - 100)):
            node.send_from_clients(node.instance.peer, PEER_CONNECTIONS, lambda: (data,))
            node.check()
        return node.check()


def check_endless_answers(framing):
    """Lets many calls at once get an answer that doesn't end, and makes an ordinary call beside
    them."""
    with LoadedNode(server_class=EndlessAnswerServer) as node, \
            concurrent.futures.ThreadPoolExecutor(ANSWERS_AT_ONCE) as pool:
        for end in ("trickle", "silence"):
            calls = [pool.submit(node.instance.call, f"/orders/{framing}-{end}", b"", HOLD_S * 1000)
                     for _ in range(ANSWERS_AT_ONCE)]
            time.sleep(HOLD_S / 2)
            node.check()
            statuses = [call.result()[0] for call in calls]
            assert set(statuses) <= {502, 503, 504}, statuses
        return f"{node.instance.server.sent} large answers, " + node.check()


def test_endless_answers_without_a_length():
    """Guards against a process that runs out of memory because its server sends answers that never
    end to many calls at once."""
    return check_endless_answers("none")


def test_endless_answers_with_a_length():
    """Guards against the same with a length that isn't reached."""
    return check_endless_answers("length")


def test_endless_answers_in_chunks():
    """Guards against the same with chunks without end."""
    return check_endless_answers("chunked")


def test_endless_answers_of_the_store():
    """Guards against a process that runs out of memory because the store sends bytes without end to
    all its calls."""
    ok, chunked = b"HTTP/1.1 200 OK\r\n", b"Transfer-Encoding: chunked\r\n\r\n"
    filler = b"a" * 100_000
    with LoadedNode() as node:
        for answer in ((ok, b"x-more: a\r\n" * 10_000), (ok + b"\r\n", filler),
                       (ok + chunked, b"186a0\r\n" + filler + b"\r\n"),
                       (ok + chunked + b"1;a=", filler), (ok + chunked, b"0" * 100_000),
                       (ok + chunked + b"0\r\nx-more: ", filler), (b"", filler)):
            node.store.endless = answer
            time.sleep(2)
            node.check()
        node.store.endless = None
        wait_until(node.instance.ready, READY_S, "ready again")
        return node.check()


if __name__ == "__main__":
    run_tests([test_endless_answers_without_a_length, test_endless_answers_with_a_length,
               test_endless_answers_in_chunks, test_endless_answers_of_the_store,
               test_stalled_bodies_of_callers, test_stalled_chunked_bodies_of_callers,
               test_stalled_bodies_at_the_traffic_port,
               test_one_byte_chunks, test_unread_answers, test_silent_connections,
               test_unfinished_heads, test_endless_heads_extensions_and_trailers, test_largest_body,
               test_silent_connections_at_admin_and_reports,
               test_large_bodies_at_admin_and_reports, test_peer_port])
