"""Requests that arrive in pieces, at each port on which a node takes HTTP."""
import socket
import time

from harness import Harness, run_tests, wait_until
from platform_mesh import Instance, config
from platform_standins import PlatformStore

READY_S = 10
PIECE_PAUSE_S = 0.1  # long enough for the node to read each piece alone
ROUTES = [("/stock/", "idempotent", {"service": "stock"})]
HEAD = "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Carawaytray-Attempt-Id: 77\r\n" \
       "Transfer-Encoding: chunked\r\n\r\n"
# The end of an empty chunked body in pieces of three bytes, one and one.
PIECES = ("0\r\n", "\r", "\n")


def send_in_pieces(address, path):
    """Returns the first bytes of the answer; empty if the connection ends without one."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), 5) as connection:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            for piece in (HEAD.format(path=path), *PIECES):
                connection.sendall(piece.encode())
                time.sleep(PIECE_PAUSE_S)
            return connection.recv(64)
        except ConnectionError:
            return b""


def test_empty_body_in_pieces_ends_no_node():
    """Guards against a process that one caller ends by the way in which it splits a valid request:
    the pieces fail an assertion of the HTTP parser."""
    store = PlatformStore()
    store.put("op/config", config(5, ROUTES))
    with Harness() as harness:
        for port, path in (("callers", "/stock/x"), ("traffic", "/stock/x"),
                           ("admin", "/healthz"), ("reports", "/api/Instances.Heartbeat/i-1")):
            instance = Instance(harness, store, "stock-" + port, "stock", "north")
            try:
                wait_until(instance.ready, READY_S, "ready")
                wait_until(lambda: instance.call("/stock/x")[0] == 200, READY_S, "a call")
                answer = send_in_pieces(getattr(instance, port), path)
                assert answer.startswith(b"HTTP/1.1 "), (port, answer)
                assert instance.call("/stock/x")[0] == 200, port
                assert instance.node.running(), port
            finally:
                instance.server.stopped.set()


if __name__ == "__main__":
    run_tests([test_empty_body_in_pieces_ends_no_node])
