"""Callers' connections to the entry process, over real sockets."""

import asyncio
from collections.abc import Awaitable, Callable

from testtools import TestCase
from toucanspindle_core.clock import MonotonicClock
from toucanspindle_entry.callerconnection import CallerAnswer, CallerConnection, CallerRequest
from toucanspindle_entry.model import CallerLimits

LIMITS = CallerLimits(header_bytes=500, body_bytes=1000, header_timeout_s=0.2, idle_timeout_s=0.3)


class FakeHost:
    """A process with fixed limits."""

    def __init__(self) -> None:
        self.limits = LIMITS
        self.is_stopping = False
        self.connections: set[CallerConnection] = set()

    def connection_opened(self, connection: CallerConnection) -> None:
        self.connections.add(connection)

    def connection_closed(self, connection: CallerConnection) -> None:
        self.connections.discard(connection)


Use = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class CallerCase(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.host = FakeHost()
        self.seen: list[CallerRequest] = []
        self.cancelled: list[str] = []

    async def answer(self, request: CallerRequest) -> CallerAnswer:
        """Answer with the path; /slow takes a while, /never doesn't answer."""
        self.seen.append(request)
        try:
            if request.path == "/slow":
                await asyncio.sleep(0.1)
            if request.path == "/never":
                await asyncio.sleep(60)
        except asyncio.CancelledError:
            self.cancelled.append(request.path)
            raise
        return CallerAnswer(200, [(b"x-kept", b"1")], request.path.encode())

    def talk(self, use: Use) -> None:
        async def run() -> None:
            loop = asyncio.get_running_loop()
            server = await loop.create_server(
                lambda: CallerConnection(self.host, self.answer, MonotonicClock()),
                "127.0.0.1",
                0,
            )
            port = server.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                async with asyncio.timeout(5):
                    await use(reader, writer)
            finally:
                writer.close()
                server.close()

        asyncio.run(run())

    def say(self, data: bytes) -> bytes:
        """Return all that comes back until the process closes the connection."""
        heard: list[bytes] = []

        async def use(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(data)
            heard.append(await reader.read())

        self.talk(use)
        return heard[0]


def get(path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: a.example\r\n\r\n".encode()


class OrderTests(CallerCase):
    def test_pipelined_answers_come_in_order(self) -> None:
        heard = self.say(get("/slow") + get("/a") + get("/b"))
        bodies = [part.rpartition(b"\r\n\r\n")[2] for part in heard.split(b"HTTP/1.1 ")[1:]]
        self.assertEqual([b"/slow", b"/a", b"/b"], bodies)

    def test_unsafe_request_waits_for_those_before_it(self) -> None:
        post = b"POST /post HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi"
        self.say(get("/slow") + post + get("/b"))
        self.assertEqual(["/slow", "/post", "/b"], [request.path for request in self.seen])

    def test_chunked_body_is_read_whole(self) -> None:
        head = b"POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.say(head + b"2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n")
        self.assertEqual(b"abcde", self.seen[0].body)

    def test_expected_continue_is_sent(self) -> None:
        async def use(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(
                b"POST /c HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
            )
            self.assertEqual(b"HTTP/1.1 100 Continue\r\n", await reader.readline())
            writer.write(b"ab")
            await reader.readuntil(b"/c")

        self.talk(use)

    def test_stopping_process_closes_at_a_boundary(self) -> None:
        self.host.is_stopping = True
        heard = self.say(get("/slow"))
        self.assertIn(b"connection: close", heard)
        self.assertTrue(heard.endswith(b"/slow"))


class LeavingTests(CallerCase):
    def test_caller_that_leaves_cancels_its_request(self) -> None:
        async def use(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(get("/never"))
            while not self.seen:
                await asyncio.sleep(0.01)
            writer.close()
            while not self.cancelled:
                await asyncio.sleep(0.01)

        self.talk(use)
        self.assertEqual(["/never"], self.cancelled)


class LimitTests(CallerCase):
    def test_refusals(self) -> None:
        long_head = b"GET / HTTP/1.1\r\nX-Long: " + b"x" * 600 + b"\r\n\r\n"
        large = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n"
        chunk = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        both = b"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
        for name, data, status in (
            ("long head", long_head, b"431"),
            ("long unfinished head", long_head[:-4], b"431"),
            ("large body", large, b"413"),
            ("large chunks", chunk + b"3e9\r\n" + b"x" * 1001 + b"\r\n0\r\n\r\n", b"413"),
            ("no HTTP", b"\x16\x03\x01nonsense\r\n\r\n", b"400"),
            ("two lengths", both + b"0\r\n\r\n", b"400"),
            ("unfinished head", b"GET / HTTP/1.1\r\nX: ", b"408"),
        ):
            heard = self.say(data)
            self.assertTrue(heard.startswith(b"HTTP/1.1 " + status), (name, heard))
        self.assertEqual([], self.seen)

    def test_idle_connection_is_closed(self) -> None:
        self.assertEqual(b"", self.say(b""))
