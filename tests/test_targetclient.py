"""Tests of the target client at socket level.

The scripted target sends given byte strings, so each test controls exactly what the client reads,
and counts the requests that it wrote.
"""

import socket
import threading
import time
from collections.abc import Callable
from typing import Final

from testtools import TestCase
from toucanspindle_core.hostport import HostPort
from toucanspindle_core.policy import Target
from toucanspindle_node.targetanswer import read_response
from toucanspindle_node.targetclient import Attempt, AttemptKind, AttemptResult, TargetClient
from toucanspindle_node.targetconnections import CONNECT_TIMEOUT_S

TIMEOUT_S: Final = 5.0
SHORT_TIMEOUT_S: Final = 0.2
ECHOED_ID: Final = b"Request-Id: a1\r\n"
COMPLETE_RESPONSE: Final = b"HTTP/1.1 200 OK\r\n" + ECHOED_ID + b"Content-Length: 2\r\n\r\nok"
Script = Callable[[socket.socket], None]


class ScriptedTarget:
    """Accepts connections, runs the next script for each request, and counts requests."""

    def __init__(self, *scripts: Script) -> None:
        self.requests: list[bytes] = []
        self.connections = 0
        self.closed = threading.Event()
        self._scripts = list(scripts)
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.target = Target("t", HostPort(*self._listener.getsockname()), "d", False)
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        while request := _read_request(connection):
            self.requests.append(request)
            script = self._scripts.pop(0) if self._scripts else respond(COMPLETE_RESPONSE)
            try:
                script(connection)
            except OSError:
                self.closed.set()
                return
        self.closed.set()


def _read_request(connection: socket.socket) -> bytes:
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            piece = connection.recv(65_536)
            if not piece:
                return b""
            data += piece
    except OSError:
        return b""
    return data


def respond(data: bytes) -> Script:
    """Return a script that writes bytes and keeps the connection open."""
    return lambda connection: connection.sendall(data)


def respond_and_close(data: bytes) -> Script:
    """Return a script that writes bytes and closes the connection."""

    def script(connection: socket.socket) -> None:
        connection.sendall(data)
        connection.shutdown(socket.SHUT_RDWR)
        connection.close()

    return script


class AttemptTests(TestCase):
    """The result of an attempt, and how many requests the target receives."""

    def attempt(
        self, target: ScriptedTarget, method: str = "POST", timeout_s: float = TIMEOUT_S
    ) -> AttemptResult:
        attempt = Attempt("a1", method, "/lots", {"x-token": "1"}, b"")
        return self.client.send(target.target, attempt, timeout_s, 4)

    def scripted(self, *scripts: Script) -> ScriptedTarget:
        target = ScriptedTarget(*scripts)
        self.addCleanup(target.close)
        return target

    def setUp(self) -> None:
        super().setUp()
        self.client = TargetClient()
        self.addCleanup(self.client.close)

    def test_complete_response_is_answered(self) -> None:
        result = self.attempt(self.scripted(respond(COMPLETE_RESPONSE)))
        self.assertEqual((AttemptKind.ANSWERED, b"ok"), (result.kind, result.body))

    def test_cut_connection_is_never_retried(self) -> None:
        for method in ("GET", "POST", "PUT", "DELETE"):
            target = self.scripted(respond_and_close(b""))
            result = self.attempt(target, method)
            self.assertEqual(AttemptKind.BROKEN, result.kind)
            self.assertTrue(result.crashed)
            self.assertEqual(1, len(target.requests), method)

    def test_stale_connection_is_not_used_and_nothing_is_sent_twice(self) -> None:
        target = self.scripted(respond_and_close(COMPLETE_RESPONSE), respond(COMPLETE_RESPONSE))
        self.attempt(target)
        self.assertTrue(target.closed.wait(TIMEOUT_S))
        result = self.attempt(target)
        self.assertEqual(AttemptKind.ANSWERED, result.kind)
        self.assertEqual((2, 2), (len(target.requests), target.connections))

    def test_connection_that_breaks_at_its_second_request_is_not_resent(self) -> None:
        target = self.scripted(respond(COMPLETE_RESPONSE), respond_and_close(b""))
        self.attempt(target)
        self.assertEqual(AttemptKind.BROKEN, self.attempt(target).kind)
        self.assertEqual((2, 1), (len(target.requests), target.connections))

    def test_response_may_take_longer_than_the_connect_timeout(self) -> None:
        never_set = threading.Event()

        def respond_late(connection: socket.socket) -> None:
            never_set.wait(CONNECT_TIMEOUT_S * 1.2)
            connection.sendall(COMPLETE_RESPONSE)

        self.assertEqual(AttemptKind.ANSWERED, self.attempt(self.scripted(respond_late)).kind)

    def test_target_that_does_not_listen_gives_not_connected(self) -> None:
        target = ScriptedTarget()
        target.close()
        self.assertEqual(AttemptKind.NOT_CONNECTED, self.attempt(target).kind)

    def test_timeout_closes_the_connection(self) -> None:
        release = threading.Event()
        self.addCleanup(release.set)

        def respond_after_timeout(connection: socket.socket) -> None:
            release.wait(TIMEOUT_S)
            connection.sendall(COMPLETE_RESPONSE)

        target = self.scripted(respond_after_timeout, respond(COMPLETE_RESPONSE))
        self.assertEqual(
            AttemptKind.TIMED_OUT, self.attempt(target, timeout_s=SHORT_TIMEOUT_S).kind
        )
        self.assertEqual(AttemptKind.ANSWERED, self.attempt(target).kind)
        self.assertEqual(2, target.connections)

    def test_response_with_another_id_is_dropped_with_its_connection(self) -> None:
        mismatched = COMPLETE_RESPONSE.replace(b"a1", b"b2")
        target = self.scripted(respond(mismatched), respond(COMPLETE_RESPONSE))
        self.assertEqual(AttemptKind.MISMATCHED_ID, self.attempt(target).kind)
        self.assertEqual(AttemptKind.ANSWERED, self.attempt(target).kind)
        self.assertEqual(2, target.connections)

    def test_repeated_refusal_on_a_kept_connection_is_not_taken_for_not_run(self) -> None:
        """A target that repeats an earlier refusal may be running the present request."""
        for echo in (b"Request-Id: a0\r\n", b""):
            repeated = (
                b"HTTP/1.1 503 Busy\r\n" + echo + b"Target-Outcome: not-run\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            target = self.scripted(respond(COMPLETE_RESPONSE), respond(repeated))
            self.assertEqual(AttemptKind.ANSWERED, self.attempt(target).kind)
            self.assertEqual(AttemptKind.MISMATCHED_ID, self.attempt(target).kind, echo)
            self.assertEqual(1, target.connections)
            self.assertEqual(AttemptKind.ANSWERED, self.attempt(target).kind)
            self.assertEqual(2, target.connections)

    def test_response_cut_at_any_byte_of_its_head_is_broken(self) -> None:
        """A 200 that was cut in its head must not look like a whole, empty answer."""
        head_length = COMPLETE_RESPONSE.index(b"\r\n\r\n") + 4
        for method in ("GET", "HEAD"):
            for cut in range(0, head_length):
                target = self.scripted(respond_and_close(COMPLETE_RESPONSE[:cut]))
                self.assertEqual(AttemptKind.BROKEN, self.attempt(target, method).kind, cut)

    def test_head_or_trailer_without_end_is_broken_before_the_deadline(self) -> None:
        """A faulty target may send bytes without end until the caller closes."""
        chunked = b"HTTP/1.1 200 OK\r\n" + ECHOED_ID + b"Transfer-Encoding: chunked\r\n\r\n"
        for name, start, repeated in (
            ("headers", b"HTTP/1.1 200 OK\r\n", b"X-More: " + b"y" * 1000 + b"\r\n"),
            ("one header", b"HTTP/1.1 200 OK\r\nX-More: ", b"y" * 1000),
            ("interim responses", b"", b"HTTP/1.1 103 Early\r\nX-More: y\r\n\r\n" * 20),
            ("trailers", chunked + b"0\r\n", b"X: y\r\n" * 99),
            ("chunk extension", chunked + b"5;x=", b"y" * 1000),
        ):
            taken = [0]

            def send_without_end(
                connection: socket.socket,
                start: bytes = start,
                repeated: bytes = repeated,
                taken: list[int] = taken,
            ) -> None:
                connection.sendall(start)
                while True:
                    connection.sendall(repeated)
                    taken[0] += len(repeated)

            target = self.scripted(send_without_end)
            self.assertEqual(AttemptKind.BROKEN, self.attempt(target).kind, name)
            # Several megabytes are in the buffers of the sockets.
            self.assertLess(taken[0], 16_000_000, name)

    def test_trailers_are_not_kept(self) -> None:
        """Guards against trailers that take many times their bytes as headers of a response."""
        body = b"x" * 100_000
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n" % len(body)
        data = head + body + b"\r\n0\r\n" + b"a:\r\n" * 100_000 + b"\r\n"
        here, there = socket.socketpair()
        with here, there:
            sender = threading.Thread(target=there.sendall, args=(data,))
            sender.start()
            response = read_response(here, "GET", time.monotonic() + 5.0)
            sender.join()
        self.assertEqual([("Transfer-Encoding", "chunked")], response.headers)
        self.assertEqual(body, response.body)

    def test_malformed_or_incomplete_responses_are_broken(self) -> None:
        head = b"HTTP/1.1 200 OK\r\n" + ECHOED_ID
        malformed = {
            "short body": head + b"Content-Length: 9\r\n\r\nok",
            "no length": head + b"\r\nok",
            "bad length": head + b"Content-Length: two\r\n\r\nok",
            "unfinished chunks": head + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
            "bad chunk": head + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n",
            "cut header": head,
            "upgrade": b"HTTP/1.1 101 Switch\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
            "two lengths": head + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nokk",
            "length and chunks": head
            + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            "no HTTP": b"hello\r\n\r\n",
            "more than its length": COMPLETE_RESPONSE + b"k",
        }
        for name, data in malformed.items():
            result = self.attempt(self.scripted(respond_and_close(data)))
            self.assertEqual(AttemptKind.BROKEN, result.kind, name)
            self.assertEqual(b"", result.body, name)

    # Guards against a wait until the deadline, and against bytes that a caller takes for an answer.
    def test_statuses_outside_of_100_to_599_are_broken(self) -> None:
        for status in (b"000", b"001", b"099", b"600", b"999", b"00", b"20", b"2000", b"+20"):
            answer = COMPLETE_RESPONSE.replace(b"200", status, 1)
            result = self.attempt(self.scripted(respond(answer)))
            self.assertEqual(AttemptKind.BROKEN, result.kind, status)

    def test_interim_response_is_skipped(self) -> None:
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
        result = self.attempt(self.scripted(respond(interim + COMPLETE_RESPONSE)))
        self.assertEqual(
            (AttemptKind.ANSWERED, 200, b"ok"), (result.kind, result.status, result.body)
        )

    def test_response_without_body_leaves_the_connection_usable(self) -> None:
        head = b"HTTP/1.1 200 OK\r\n" + ECHOED_ID + b"Content-Length: 9\r\n\r\n"
        target = self.scripted(respond(head), respond(COMPLETE_RESPONSE))
        self.assertEqual(AttemptKind.ANSWERED, self.attempt(target, "HEAD").kind)
        self.assertEqual(b"ok", self.attempt(target, "GET").body)
        self.assertEqual(1, target.connections)

    def test_shed_is_distinguished_from_other_503(self) -> None:
        head = b"HTTP/1.1 503 Busy\r\n" + ECHOED_ID + b"Content-Length: 0\r\n"
        shed = self.scripted(respond(head + b"Target-Outcome: not-run\r\n\r\n"))
        other = self.scripted(respond(head + b"\r\n"))
        self.assertEqual(AttemptKind.SHED, self.attempt(shed).kind)
        self.assertEqual(AttemptKind.ANSWERED, self.attempt(other).kind)

    def test_slow_byte_by_byte_response_times_out_at_the_deadline(self) -> None:
        stop = threading.Event()
        self.addCleanup(stop.set)

        def trickle(connection: socket.socket) -> None:
            connection.sendall(b"HTTP/1.1 200 OK\r\n" + ECHOED_ID + b"Content-Length: 9999\r\n\r\n")
            while not stop.wait(SHORT_TIMEOUT_S / 4):
                connection.sendall(b"x")

        result = self.attempt(self.scripted(trickle), timeout_s=SHORT_TIMEOUT_S)
        self.assertEqual(AttemptKind.TIMED_OUT, result.kind)
