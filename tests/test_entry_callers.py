"""Tests of caller connections over real sockets."""

import asyncio
import gc
import socket
import struct
from collections.abc import Awaitable, Callable
from unittest import mock

from testtools import TestCase
from toucanspindle_core.clock import MonotonicClock
from toucanspindle_entry.bodybuffer import BodyBuffer
from toucanspindle_entry.callers.callerconnection import MAX_PIPELINED, CallerConnection
from toucanspindle_entry.callers.callermessages import CallerRequest, CallerResponse
from toucanspindle_entry.callers.connectiontable import CallerPort, ConnectionTable
from toucanspindle_entry.callers.requestreader import RequestReader
from toucanspindle_entry.callers.workturns import WorkTurns
from toucanspindle_entry.memoryaccount import MemoryAccount
from toucanspindle_entry.model import CallerLimits

LIMITS = CallerLimits(header_bytes=500, body_bytes=1000, header_timeout_s=0.2, idle_timeout_s=0.3)
MEMORY_BYTES = 1_000_000
LARGE_RESPONSE_BYTES = 8_000_000  # More than the buffers of a connection hold.


class FakeOwner:
    """A connection owner with fixed limits."""

    def __init__(self) -> None:
        self.limits = LIMITS
        self.memory = MemoryAccount(MEMORY_BYTES)
        self.is_stopping = False
        self.caller_stall_s = 15.0
        self.stalled = 0
        self.handler_failures = 0
        self.connections: set[CallerConnection] = set()
        self.rejected: list[int] = []

    def connection_opened(self, connection: CallerConnection) -> None:
        self.connections.add(connection)

    def connection_closed(self, connection: CallerConnection) -> None:
        self.connections.discard(connection)

    def count_rejected(self, status: int) -> None:
        self.rejected.append(status)

    def count_handler_failure(self) -> None:
        self.handler_failures += 1

    def count_stalled(self) -> None:
        self.stalled += 1


Client = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class CallerCase(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.owner = FakeOwner()
        self.handled: list[CallerRequest] = []
        self.cancelled: list[str] = []

    async def handle_request(self, request: CallerRequest) -> CallerResponse:
        """Respond with the path: /slow after 0.1 s, /never not at all."""
        self.handled.append(request)
        try:
            if request.path == "/slow":
                await asyncio.sleep(0.1)
            if request.path == "/raise":
                raise ValueError("a fault of the program")
            if request.path == "/longer":
                await asyncio.sleep(0.5)
            if request.path == "/never":
                await asyncio.sleep(60)
        except asyncio.CancelledError:
            self.cancelled.append(request.path)
            raise
        if request.path == "/large":
            body = BodyBuffer(self.owner.memory.lease())
            body.append(b"x" * LARGE_RESPONSE_BYTES)
            return CallerResponse(200, [], body)
        if request.path == "/bytes":
            return CallerResponse(200, [], b"x" * 200_000)
        return CallerResponse(200, [(b"x-kept", b"1")], request.path.encode())

    def run_client(
        self, client: Client, timeout_s: float = 5, port: CallerPort | None = None
    ) -> None:
        async def run() -> None:
            loop = asyncio.get_running_loop()
            server = await loop.create_server(
                lambda: CallerConnection(self.owner, self.handle_request, MonotonicClock(), port),
                "127.0.0.1",
                0,
            )
            reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
            try:
                async with asyncio.timeout(timeout_s):
                    await client(reader, writer)
            finally:
                writer.close()
                server.close()

        asyncio.run(run())

    def send_and_read(self, *pieces: bytes, gap_s: float = 0.0005) -> bytes:
        """Send pieces of bytes in separate segments; return what is received until the end."""
        received: list[bytes] = []

        async def client(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            for piece in pieces:
                if reader.at_eof():
                    break
                writer.write(piece)
                await asyncio.sleep(gap_s)
            received.append(await reader.read())

        self.run_client(client)
        return received[0]


def get_request(path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: a.example\r\n\r\n".encode()


class PipeliningTests(CallerCase):
    def test_pipelined_responses_are_in_request_order(self) -> None:
        received = self.send_and_read(get_request("/slow") + get_request("/a") + get_request("/b"))
        bodies = [part.rpartition(b"\r\n\r\n")[2] for part in received.split(b"HTTP/1.1 ")[1:]]
        self.assertEqual([b"/slow", b"/a", b"/b"], bodies)

    def test_unsafe_request_waits_for_earlier_requests(self) -> None:
        post = b"POST /post HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi"
        self.send_and_read(get_request("/slow") + post + get_request("/b"))
        self.assertEqual(["/slow", "/post", "/b"], [request.path for request in self.handled])

    def test_chunked_body_is_read_completely(self) -> None:
        head = b"POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.send_and_read(head + b"2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n")
        self.assertEqual(b"abcde", bytes(self.handled[0].body))

    def test_100_continue_is_sent_when_expected(self) -> None:
        async def client(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(
                b"POST /c HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
            )
            self.assertEqual(b"HTTP/1.1 100 Continue\r\n", await reader.readline())
            writer.write(b"ab")
            await reader.readuntil(b"/c")

        self.run_client(client)

    def test_100_continue_is_sent_behind_earlier_responses(self) -> None:
        """Guards against an interim response within the body of an earlier response."""
        expecting = (
            b"POST /c HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
            b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n"
        )
        for path, body_bytes in (("/slow", 5), ("/large", LARGE_RESPONSE_BYTES)):

            async def client(
                reader: asyncio.StreamReader,
                writer: asyncio.StreamWriter,
                path: str = path,
                body_bytes: int = body_bytes,
            ) -> None:
                writer.write(get_request(path) + expecting)
                await asyncio.sleep(0.05)
                head = await reader.readuntil(b"\r\n\r\n")
                self.assertIn(b"200 OK", head)
                body = await reader.readexactly(body_bytes)
                self.assertNotIn(b"HTTP", body)
                self.assertEqual(b"HTTP/1.1 100 Continue\r\n", await reader.readline())
                writer.write(b"ab")
                await reader.readuntil(b"/c")

            self.run_client(client)

    def test_stopping_process_closes_after_the_response(self) -> None:
        self.owner.is_stopping = True
        received = self.send_and_read(get_request("/slow"))
        self.assertIn(b"connection: close", received)
        self.assertTrue(received.endswith(b"/slow"))


class UpgradeTests(CallerCase):
    UPGRADE = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AA\r\n"

    def test_requests_behind_an_upgrade_header_are_answered(self) -> None:
        """Guards against a connection that is never read again after an Upgrade header."""
        get = b"GET /a HTTP/1.1\r\nHost: a\r\n" + self.UPGRADE + b"\r\n"
        post = b"POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n" + self.UPGRADE + b"\r\nhi"
        last = b"GET /z HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        for pieces in (
            (get, post, last),
            (get + post + last,),
            (get + post[:-1], post[-1:] + last),
        ):
            received = self.send_and_read(*pieces)
            bodies = [part.rpartition(b"\r\n\r\n")[2] for part in received.split(b"HTTP/1.1 ")[1:]]
            self.assertEqual([b"/a", b"/p", b"/z"], bodies, (pieces, received))

    def test_connection_ends_after_connect(self) -> None:
        """Guards against taking the bytes of a tunnel for requests."""
        received = self.send_and_read(
            b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n" + get_request("/tunnel")
        )
        self.assertIn(b"connection: close", received)
        self.assertEqual(["CONNECT"], [request.method for request in self.handled])


class TurnTests(CallerCase):
    def test_stop_does_not_close_a_connection_whose_request_waits_for_its_turn(self) -> None:
        """Guards against requests that were received and are dropped when a host stops."""

        async def client() -> bytes:
            turns = WorkTurns(MonotonicClock())
            port = CallerPort(turns=turns)
            server = await asyncio.get_running_loop().create_server(
                lambda: CallerConnection(self.owner, self.handle_request, MonotonicClock(), port),
                "127.0.0.1",
                0,
            )
            reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
            while not self.owner.connections:
                await asyncio.sleep(0)
            (connection,) = self.owner.connections
            turns._steps_left = 0
            data = get_request("/a")
            self.owner.memory.read_buffer[: len(data)] = data
            connection.buffer_updated(len(data))
            self.assertEqual(1, turns.deferred)
            connection.close_if_idle()
            received = await reader.readuntil(b"\r\n\r\n/a")
            writer.close()
            server.close()
            return received

        self.assertTrue(asyncio.run(client()).startswith(b"HTTP/1.1 200 "))


class FailedHandlerTests(CallerCase):
    def test_request_whose_handler_fails_is_answered(self) -> None:
        """Guards against requests that are never answered, and hold up those behind them."""
        last = b"GET /z HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        received = self.send_and_read(get_request("/raise") + get_request("/a") + last)
        statuses = [part[:3] for part in received.split(b"HTTP/1.1 ")[1:]]
        self.assertEqual([b"504", b"200", b"200"], statuses)
        self.assertEqual(1, self.owner.handler_failures)


class DisconnectTests(CallerCase):
    def test_disconnected_caller_cancels_its_request(self) -> None:
        async def client(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(get_request("/never"))
            while not self.handled:
                await asyncio.sleep(0.01)
            writer.close()
            while not self.cancelled:
                await asyncio.sleep(0.01)

        self.run_client(client)
        self.assertEqual(["/never"], self.cancelled)

    def test_close_is_noticed_behind_many_unanswered_requests(self) -> None:
        """Guards against targets at work for callers that have left while reading is paused."""

        async def client(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(get_request("/never") * 40)
            while len(self.handled) < MAX_PIPELINED:
                await asyncio.sleep(0.01)
            writer.close()
            async with asyncio.timeout(0.5):  # The time of the pages for a client that has left.
                while len(self.cancelled) < MAX_PIPELINED:
                    await asyncio.sleep(0.01)

        self.run_client(client)
        self.assertEqual(MAX_PIPELINED, len(self.handled))
        self.assertEqual(set(), self.owner.connections)

    def test_connection_that_was_reset_unnoticed_can_be_closed(self) -> None:
        """Guards against a stop that ends with an error because a caller has just reset."""

        async def client(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            sock = socket.create_connection(writer.get_extra_info("peername"))
            while len(self.owner.connections) < 2:
                await asyncio.sleep(0.01)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
            # The event loop hasn't read the reset yet.
            for connection in list(self.owner.connections):
                connection.close_if_idle()
            while self.owner.connections:
                await asyncio.sleep(0.01)

        self.run_client(client)


class SlowReaderTests(CallerCase):
    """Callers that are alive but read a long response slowly, or not at all."""

    async def read_with_pause(self, writer: asyncio.StreamWriter, pause_s: float) -> bytes:
        """Ask for a long and a short response on a new connection, and read after a pause."""
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
            await loop.sock_connect(sock, writer.get_extra_info("peername"))
            await loop.sock_sendall(sock, get_request("/large") + get_request("/b"))
            await asyncio.sleep(pause_s)
            received = bytearray()
            try:
                while not received.endswith(b"/b"):
                    data = await loop.sock_recv(sock, 65_536)
                    if not data:
                        break
                    received += data
            except ConnectionResetError:
                pass
            return bytes(received)

    def test_caller_that_pauses_gets_all_responses(self) -> None:
        """Guards against taking a caller that doesn't read for one that has vanished."""
        received: list[bytes] = []

        async def client(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            received.append(await self.read_with_pause(writer, 4.0))

        self.run_client(client, timeout_s=10)
        self.assertTrue(received[0].endswith(b"/b"))
        self.assertGreater(len(received[0]), LARGE_RESPONSE_BYTES)

    def test_caller_that_takes_nothing_holds_no_memory_for_ever(self) -> None:
        """Guards against memory and places that a caller holds by not reading."""
        self.owner.caller_stall_s = 0.4
        received: list[bytes] = []

        async def client(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            received.append(await self.read_with_pause(writer, 1.5))

        self.run_client(client)
        self.assertLess(len(received[0]), LARGE_RESPONSE_BYTES)
        self.assertEqual(1, self.owner.stalled)
        self.assertEqual(set(), self.owner.connections)
        self.handled.clear()
        gc.collect()
        self.assertEqual(0, self.owner.memory.held_bytes)

    def test_connection_with_a_running_request_is_not_shed(self) -> None:
        """Guards against ending a request that runs behind a response that isn't read."""

        async def client(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(get_request("/large") + get_request("/never"))
            while not any(connection._is_write_paused for connection in self.owner.connections):
                await asyncio.sleep(0.01)
            other_reader, other_writer = await asyncio.open_connection(
                *writer.get_extra_info("peername")
            )
            # The new connection is shed in place of the one that is busy.
            self.assertEqual(b"", await other_reader.read())
            self.assertEqual([], self.cancelled)
            other_writer.close()

        self.run_client(client, port=CallerPort(ConnectionTable("callers", 1, lambda: 0.0)))

    def test_unread_last_response_ends_the_connection(self) -> None:
        """Guards against connections without a stall limit once their last response is written."""
        self.owner.caller_stall_s = 0.4

        async def client(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with socket.socket() as sock:
                sock.setblocking(False)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
                loop = asyncio.get_running_loop()
                await loop.sock_connect(sock, writer.get_extra_info("peername"))
                request = b"GET /bytes HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
                await loop.sock_sendall(sock, request)
                while not self.owner.stalled:
                    await asyncio.sleep(0.01)

        self.run_client(client)
        self.assertEqual(1, self.owner.stalled)


class MemoryTests(CallerCase):
    """Uploads of callers when the process has no memory for them."""

    UPLOAD = b"POST /u HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + b"x" * 100_000

    def setUp(self) -> None:
        super().setUp()
        self.owner.limits = CallerLimits(500, 1_000_000, 0.2, 0.3)
        self.holder = self.owner.memory.lease()
        self.holder.charge(MEMORY_BYTES * 3 // 4)

    def test_upload_without_memory_is_rejected_as_not_run(self) -> None:
        """Guards against uploads that wait for ever, and against answers that don't say so."""
        chunked = b"POST /u HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        for data in (self.UPLOAD, chunked + b"10000\r\n" + b"x" * 65_536 + b"\r\n10000\r\nx"):
            received = self.send_and_read(data)
            self.assertTrue(received.startswith(b"HTTP/1.1 503 "), received)
            self.assertIn(b"retry-after: ", received)
        self.assertEqual([], self.handled)

    def test_upload_waits_for_memory_while_small_requests_are_served(self) -> None:
        """Guards against large uploads that keep small requests of other callers out."""

        async def client(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(self.UPLOAD)
            await asyncio.sleep(0.1)
            self.assertEqual([], self.handled)
            address = writer.get_extra_info("peername")
            other_reader, other_writer = await asyncio.open_connection(*address)
            other_writer.write(get_request("/small"))
            self.assertTrue(await other_reader.readline())
            other_writer.close()
            self.holder.release(MEMORY_BYTES // 2)
            await reader.readuntil(b"/u")

        self.run_client(client)
        self.assertEqual(["/small", "/u"], [request.path for request in self.handled])
        self.assertEqual(self.UPLOAD[-100_000:], bytes(self.handled[1].body))

    def test_upload_that_never_has_memory_is_rejected_at_once(self) -> None:
        self.holder.release(MEMORY_BYTES * 3 // 4)
        head = b"POST /u HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % (
            MEMORY_BYTES * 9 // 10
        )
        received = self.send_and_read(head)
        self.assertTrue(received.startswith(b"HTTP/1.1 413 "), received)

    def test_memory_is_returned_after_the_response(self) -> None:
        self.holder.release(MEMORY_BYTES * 3 // 4)
        self.owner.is_stopping = True
        self.send_and_read(self.UPLOAD)
        self.handled.clear()
        gc.collect()
        self.assertEqual(0, self.owner.memory.held_bytes)


class LimitTests(CallerCase):
    def test_invalid_requests_are_rejected(self) -> None:
        long_head = b"GET / HTTP/1.1\r\nX-Long: " + b"x" * 600 + b"\r\n\r\n"
        large_body = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n"
        chunked_head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        conflicting_lengths = (
            b"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for name, data, status in (
            ("long head", long_head, b"431"),
            ("long unfinished head", long_head[:-4], b"431"),
            ("large body", large_body, b"413"),
            ("large chunks", chunked_head + b"3e9\r\n" + b"x" * 1001 + b"\r\n0\r\n\r\n", b"413"),
            ("no HTTP", b"\x16\x03\x01nonsense\r\n\r\n", b"400"),
            ("two lengths", conflicting_lengths + b"0\r\n\r\n", b"400"),
            ("unfinished head", b"GET / HTTP/1.1\r\nX: ", b"408"),
        ):
            received = self.send_and_read(data)
            self.assertTrue(received.startswith(b"HTTP/1.1 " + status), (name, received))
            self.assertEqual([int(status)], self.owner.rejected, name)
            self.owner.rejected.clear()
        self.assertEqual([], self.handled)

    def test_fault_of_the_program_while_reading_is_answered(self) -> None:
        """Guards against a connection that ends without a response, and without those before."""
        original = RequestReader.on_headers_complete

        def fail_for_b(reader: RequestReader) -> None:
            if reader._url == b"/b":
                raise ValueError("a fault of the program")
            original(reader)

        with mock.patch.object(RequestReader, "on_headers_complete", fail_for_b):
            received = self.send_and_read(get_request("/slow") + get_request("/b"))
        statuses = [part[:3] for part in received.split(b"HTTP/1.1 ")[1:]]
        self.assertEqual(([b"200", b"500"], 1), (statuses, self.owner.handler_failures))
        self.assertEqual(["/slow"], [request.path for request in self.handled])

    def test_pipelined_heads_are_limited_one_by_one(self) -> None:
        """Guards against adding up the heads of pipelined requests that arrive in pieces."""
        head = b"GET /%d HTTP/1.1\r\nHost: a\r\nX-Long: " + b"x" * 200 + b"\r\n\r\n"
        body = b"POST /4 HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\n" + b"x" * 900
        last = b"GET /5 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        data = b"".join(head % number for number in range(4)) + body + last
        for piece_bytes in (7, 90, 150, 200, 241, 400, 1100, len(data)):
            received = self.send_and_read(
                *(data[begin : begin + piece_bytes] for begin in range(0, len(data), piece_bytes))
            )
            self.assertEqual(6, received.count(b"HTTP/1.1 200 OK"), (piece_bytes, received))

    def test_endless_head_behind_a_complete_request_is_rejected(self) -> None:
        """Guards against a limit that holds only for the first head of a connection."""
        complete = get_request("/a")
        endless = b"GET /b HTTP/1.1\r\nX-Long: " + b"x" * 400
        received = self.send_and_read(complete + endless, *[b"x" * 400] * 20)
        statuses = [part[:3] for part in received.split(b"HTTP/1.1 ")[1:]]
        self.assertEqual([b"200", b"431"], statuses)

    def test_trailers_are_limited_and_are_no_headers(self) -> None:
        """Guards against trailers without end, and against headers that a trailer adds."""
        head = b"POST /t HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n"
        received = self.send_and_read(head + b"X-Deadline-Ms: 1\r\n\r\n")
        self.assertTrue(received.startswith(b"HTTP/1.1 200"), received)
        self.assertEqual(
            [b"host", b"transfer-encoding"], [name for name, _ in self.handled[0].headers]
        )
        received = self.send_and_read(head, *[b"X: yyyyyyyyyyyyyyyyyyyyy\r\n" * 20] * 20)
        self.assertTrue(received.startswith(b"HTTP/1.1 4"), received)

    def test_incomplete_requests_behind_a_complete_one_time_out(self) -> None:
        """Guards against heads and bodies that are waited for without end."""
        post = b"POST /p HTTP/1.1\r\nHost: a\r\n"
        rests = {
            "head": b"GET /b HTTP/1.1\r\nX: ",
            "body": post + b"Content-Length: 9\r\n\r\nabc",
            "chunks": post + b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
        }
        for name, rest in rests.items():
            for expected, pieces in (
                ([b"200", b"408"], (get_request("/a") + rest,)),
                ([b"200", b"408"], (get_request("/slow"), rest)),
                ([b"408"], (rest,)),
            ):
                received = self.send_and_read(*pieces)
                statuses = [part[:3] for part in received.split(b"HTTP/1.1 ")[1:]]
                self.assertEqual(expected, statuses, (name, pieces))

    def test_body_that_goes_on_is_waited_for(self) -> None:
        """Guards against a limit on the whole body in place of the time without progress."""
        head = b"POST /p HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 6\r\n\r\n"
        received = self.send_and_read(head, *[b"x"] * 6, gap_s=0.15)
        self.assertTrue(received.startswith(b"HTTP/1.1 200 "), received)

    def test_time_in_which_reading_is_paused_does_not_count(self) -> None:
        """Guards against rejecting requests that the connection itself didn't read."""
        last = b"GET /z HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        received = self.send_and_read(get_request("/longer") * (MAX_PIPELINED + 1) + last)
        self.assertEqual(MAX_PIPELINED + 2, received.count(b"HTTP/1.1 200 "), received)

    def test_idle_connection_is_closed(self) -> None:
        self.assertEqual(b"", self.send_and_read(b""))
