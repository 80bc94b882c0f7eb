"""A backend server that sends invalid and unusual answers byte by byte as given, for tests of what a
node passes on. The last segment of a request's path names the answer; any other path gets an
ordinary answer."""
import socket
import struct
import time

from platform_standins import ReportingServer

LIMIT_BYTES = 64 << 20  # an endless answer ends here at the latest, should the node read it all


def _answers():
    """Returns the answers by name. "{seal}" stands for the headers that every answer of the server
    bears."""
    ok = "HTTP/1.1 200 OK\r\n{seal}"
    answers = {f"status-{status}": f"HTTP/1.1 {status} Odd\r\n{{seal}}Content-Length: 2\r\n\r\nok"
               for status in ("000", "001", "099", "600", "999", "20", "2000", "-20", "2x0", "101")}
    for name, value in (("plus", "+5"), ("minus", "-5"), ("hexadecimal", "0x5"), ("letter", "5a"),
                        ("empty", ""), ("list-of-two", "5, 6"), ("overflow", "9" * 20)):
        answers["length-" + name] = ok + f"Content-Length: {value}\r\n\r\nhello"
    for name, lines in (("length-twice", "Content-Length: 5\r\nContent-Length: 6\r\n"),
                        ("length-and-chunked", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"),
                        ("chunked-and-length", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"),
                        ("gzip-and-length", "Transfer-Encoding: gzip\r\nContent-Length: 5\r\n"),
                        ("length-and-gzip", "Content-Length: 5\r\nTransfer-Encoding: gzip\r\n"),
                        ("gzip-chunked", "Transfer-Encoding: gzip, chunked\r\n"),
                        ("chunked-gzip", "Transfer-Encoding: chunked, gzip\r\n"),
                        ("chunked-twice", "Transfer-Encoding: chunked, chunked\r\n")):
        answers[name] = ok + lines + "\r\n5\r\nhello\r\n0\r\n\r\n"
    for name, size in (("minus", "-5"), ("hexadecimal", "0x5"), ("letter", "g"),
                       ("overflow", "f" * 17)):
        answers["chunk-" + name] = ok + f"Transfer-Encoding: chunked\r\n\r\n{size}\r\nhello\r\n" \
                                        "0\r\n\r\n"
    answers["chunk-too-long"] = ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nhello\r\n0\r\n\r\n"
    answers["chunked-in-1.0"] = "HTTP/1.0 200 OK\r\n{seal}Transfer-Encoding: chunked\r\n\r\n" \
                                "5\r\nhello\r\n0\r\n\r\n"
    answers["204-with-length"] = "HTTP/1.1 204 None\r\n{seal}Content-Length: 5\r\n\r\nhello"
    answers["204-chunked"] = "HTTP/1.1 204 None\r\n{seal}Transfer-Encoding: chunked\r\n\r\n" \
                             "5\r\nhello\r\n0\r\n\r\n"
    for name, value in (("nul", "a\0b"), ("del", "a\x7fb"), ("bell", "a\x07b"), ("cr", "a\rb"),
                        ("lf", "a\nb")):
        answers["value-with-" + name] = ok + f"x-odd: {value}\r\nContent-Length: 2\r\n\r\nok"
    length = "Content-Length: 2\r\n"
    for name, byte in (("space", " "), ("tab", "\t"), ("nul", "\0"), ("bell", "\x07"), ("cr", "\r"),
                       ("lf", "\n"), ("del", "\x7f"), ("high", "\xff")):
        answers["name-with-" + name] = ok + f"x{byte}odd: 1\r\n{length}\r\nok"
        answers["name-begins-with-" + name] = ok + f"{length}{byte}x-odd: 1\r\n\r\nok"
        answers["name-ends-with-" + name] = ok + f"x-odd{byte}: 1\r\n{length}\r\nok"
        answers["length-begins-with-" + name] = ok + f"x-a: 1\r\n{byte}{length}\r\nok"
        answers["chunked-begins-with-" + name] = ok + f"x-a: 1\r\n{byte}Transfer-Encoding: chunked\r\n" \
            f"{length}\r\n2\r\nok\r\n0\r\n\r\n"
        answers["trailer-begins-with-" + name] = ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n" \
            f"0\r\nx-a: 1\r\n{byte}x-odd: 1\r\n\r\n"
    answers["not-http"] = "\x01\x02\x03\x04" * 8 + "\r\n\r\n"
    return answers


# Answers that must not reach a caller. The connection stays open after each.
INVALID = _answers()

# Valid answers of an unusual form and the status and body with which they reach a caller.
UNUSUAL = {
    "length-twice-equal": ("HTTP/1.1 200 OK\r\n{seal}Content-Length: 5\r\nContent-Length: 5\r\n"
                           "\r\nhello", (200, b"hello")),
    "204-length-0": ("HTTP/1.1 204 None\r\n{seal}Content-Length: 0\r\n\r\n", (204, b"")),
    "204-and-bytes": ("HTTP/1.1 204 None\r\n{seal}\r\nhello", (204, b"")),
    "304-and-bytes": ("HTTP/1.1 304 Same\r\n{seal}Content-Length: 5\r\n\r\nhello", (304, b"")),
    "status-599": ("HTTP/1.1 599 Odd\r\n{seal}Content-Length: 2\r\n\r\nok", (599, b"ok")),
    "interim": ("HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
                "HTTP/1.1 200 OK\r\n{seal}Content-Length: 2\r\n\r\nok", (200, b"ok")),
    "value-of-high-bytes": ("HTTP/1.1 200 OK\r\n{seal}x-odd: \xe4\xff\r\nContent-Length: 2\r\n\r\n"
                            "ok", (200, b"ok")),
}

# Endless answers: the first bytes, the bytes that repeat, and the pause in seconds between them.
ENDLESS = {
    "endless-head": ("HTTP/1.1 200 OK\r\n{seal}", "x-more: 0123456789abcdef\r\n" * 500, 0),
    # Each segment ends with a complete header line.
    "endless-head-by-line": ("HTTP/1.1 200 OK\r\n{seal}", f"x-more: {'a' * 900}\r\n", 0.001),
    "endless-line": ("HTTP/1.1 200 OK\r\n{seal}x-more: ", "a" * 10_000, 0),
    "endless-body": ("HTTP/1.1 200 OK\r\n{seal}Transfer-Encoding: chunked\r\n\r\n",
                     "400\r\n" + "x" * 0x400 + "\r\n", 0),
    "endless-body-without-length": ("HTTP/1.1 200 OK\r\n{seal}\r\n", "x" * 10_000, 0),
    "endless-extension": ("HTTP/1.1 200 OK\r\n{seal}Transfer-Encoding: chunked\r\n\r\n1;a=",
                          "a" * 10_000, 0),
    # Nearly all bytes are chunk extensions, so that the body stays small.
    "endless-extensions": ("HTTP/1.1 200 OK\r\n{seal}Transfer-Encoding: chunked\r\n\r\n",
                           f"1;a={'a' * 900}\r\nx\r\n", 0.001),
    "endless-chunk-size": ("HTTP/1.1 200 OK\r\n{seal}Transfer-Encoding: chunked\r\n\r\n",
                           "0" * 900, 0.001),
    "endless-trailer": ("HTTP/1.1 200 OK\r\n{seal}Transfer-Encoding: chunked\r\n\r\n0\r\n",
                        f"x-more: {'a' * 900}\r\n", 0.001),
    "endless-interim": ("", "HTTP/1.1 102 Processing\r\n\r\n" * 100, 0),
    "endless-interim-by-one": ("", "HTTP/1.1 102 Processing\r\n\r\n", 0.01),
}


# Valid answers in pieces, with PIECE_PAUSE_S between them, and the body with which they reach a caller.
PIECE_PAUSE_S = 0.05
PIECES = {
    # The end of an empty chunked body in pieces of three bytes, one and one.
    "empty-chunked": (("HTTP/1.1 200 OK\r\n{seal}Transfer-Encoding: chunked\r\n\r\n", "0\r\n", "\r",
                       "\n"), b""),
    "chunked": (("HTTP/1.1 200 OK\r\n{seal}Transfer-Encoding: chunked\r\n\r\n2", "\r", "\nh", "i",
                 "\r", "\n", "0", "\r", "\n", "\r", "\n"), b"hi"),
    "head": (("HTTP/1.1 2", "00 OK\r", "\n{seal}Content-Length: ", "2\r\n\r", "\no", "k"), b"ok"),
}

# Answers with a pause: the bytes before it and after it, and the status with which they reach a caller.
PAUSE_S = 8  # longer than a node waits within an answer
PAUSING = {
    "pause-before-answer": ("", "HTTP/1.1 200 OK\r\n{seal}Content-Length: 2\r\n\r\nok", 200),
    "pause-after-interim": ("HTTP/1.1 103 Hints\r\n\r\n",
                            "HTTP/1.1 200 OK\r\n{seal}Content-Length: 2\r\n\r\nok", 200),
    "pause-in-head": ("HTTP/1.1 200 OK\r\n", "{seal}Content-Length: 2\r\n\r\nok", 502),
    "pause-in-body": ("HTTP/1.1 200 OK\r\n{seal}Content-Length: 2\r\n\r\no", "k", 502),
    "pause-in-chunk": ("HTTP/1.1 200 OK\r\n{seal}Transfer-Encoding: chunked\r\n\r\n2\r\no",
                       "k\r\n0\r\n\r\n", 502),
    # The node reads until the connection ends.
    "pause-until-close": ("HTTP/1.1 200 OK\r\n{seal}\r\no", "k", 502),
}

# Answers to an upload whose body the server leaves unread: the first bytes, and how the connection
# ends after EARLY_PAUSE_S. None of them is whole.
EARLY_PAUSE_S = 0.1
EARLY = {f"early-{framing}-{part}-{end}": (head + "\r\n" + body, end)
         for framing, head, start in (
             ("none", "HTTP/1.1 200 OK\r\n{seal}", ""),
             ("length", "HTTP/1.1 200 OK\r\n{seal}Content-Length: 900000\r\n", ""),
             ("chunked", "HTTP/1.1 200 OK\r\n{seal}Transfer-Encoding: chunked\r\n", "dbba0\r\n"))
         for part, body in (("empty", ""), ("small", start + "hello"), ("large", start + "x" * 500_000))
         for end in ("reset", "close")}


class RawServer(ReportingServer):
    """Sends the answer that the path names. Records the names of the answers by connection, that is,
    by handler, in order, with "" for an ordinary one."""

    def __init__(self, *arguments, **named):
        self.by_connection, self.bytes_sent = {}, {}
        super().__init__(*arguments, **named)

    def answers_early(self, handler):
        return handler.path.rsplit("/", 1)[1] in EARLY

    def handle_request(self, handler, body):
        name = handler.path.rsplit("/", 1)[1]
        known = any(name in kinds for kinds in (INVALID, UNUSUAL, ENDLESS, PIECES, PAUSING, EARLY))
        self.by_connection.setdefault(handler, []).append(name if known else "")
        if not known:
            return super().handle_request(handler, body)
        attempt_id = handler.headers["X-Carawaytray-Attempt-Id"]
        self.runs.append((attempt_id, time.monotonic()))
        seal = f"X-Carawaytray-Attempt-Id: {attempt_id}\r\n" \
               f"X-Carawaytray-Server-Seal: {self.instance_id}\r\n"
        handler.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

        def send(text):
            handler.connection.sendall(text.replace("{seal}", seal).encode("latin-1"))
        if name in ENDLESS:
            return self._send_endlessly(handler, send, name)
        if name in PIECES:
            return self._send_pieces(handler, send, PIECES[name][0], PIECE_PAUSE_S)
        if name in PAUSING:
            return self._send_pieces(handler, send, PAUSING[name][:2], PAUSE_S)
        if name in EARLY:
            return self._send_early(handler, send, *EARLY[name])
        return send(INVALID[name] if name in INVALID else UNUSUAL[name][0])

    def _send_endlessly(self, handler, send, name):
        first, more, pause_s = ENDLESS[name]
        handler.close_connection = True
        self.bytes_sent[name] = 0
        try:
            send(first)
            while self.bytes_sent[name] < LIMIT_BYTES:
                send(more)
                self.bytes_sent[name] += len(more)
                time.sleep(pause_s)
        except OSError:
            pass  # the node has closed the connection

    @staticmethod
    def _send_pieces(handler, send, pieces, pause_s):
        try:
            send(pieces[0])
            for piece in pieces[1:]:
                time.sleep(pause_s)
                send(piece)
        except OSError:
            handler.close_connection = True  # the node has closed it

    @staticmethod
    def _send_early(handler, send, text, end):
        send(text)
        time.sleep(EARLY_PAUSE_S)
        if end == "reset":
            handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                          struct.pack("ii", 1, 0))
        # Closing the connection with bytes of the request unread resets it as well.
        handler.connection.close()
        handler.close_connection = True

    def names_after(self, name):
        """Returns the names of the answers that followed this one on its connection."""
        return [later for names in self.by_connection.values() if name in names
                for later in names[names.index(name) + 1:]]
