"""Exchanges with targets that answer badly, over real sockets."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

from testtools import TestCase
from toucanspindle_core.hostport import HostPort
from toucanspindle_entry.httpclient import (
    Answer,
    BrokenError,
    GarbledError,
    HttpConnection,
    UnreachedError,
)

OK = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok"
FOREIGN = b"HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 3\r\n\r\nold"
REQUEST = b"GET / HTTP/1.1\r\n\r\n"

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def says(*pieces: bytes, reset: bool = False, stays: bool = False) -> Script:
    """Return a target that reads a request, says some bytes and ends."""

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0.01)
        if reset:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        elif stays:
            await reader.read()
            writer.close()
        else:
            writer.close()

    return run


async def _with_target(script: Script, use: Callable[[HttpConnection], Awaitable[None]]) -> None:
    server = await asyncio.start_server(script, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    connection = await HttpConnection.connect(HostPort("127.0.0.1", port), 2.0)
    try:
        async with asyncio.timeout(5):
            await use(connection)
    finally:
        connection.close()
        server.close()


def belongs(answer: Answer) -> bool:
    return answer.header(b"x-id") == b"1"


class AnswerTests(TestCase):
    """Each way in which an answer may come, and what the exchange makes of it."""

    def exchange(self, script: Script, is_head: bool = False) -> tuple[Answer, bool]:
        result: list[tuple[Answer, bool]] = []

        async def use(connection: HttpConnection) -> None:
            answer = await connection.exchange(REQUEST, is_head, belongs)
            await asyncio.sleep(0.03)
            result.append((answer, connection.is_reusable))

        asyncio.run(_with_target(script, use))
        return result[0]

    def test_whole_answers(self) -> None:
        chunked = (
            b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
        )
        unframed = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n"
        interim = b"HTTP/1.1 103 Early Hints\r\nX-Id: 1\r\n\r\n"
        for name, script, reusable in (
            ("length", says(OK, stays=True), True),
            ("in pieces", says(OK[:20], OK[20:], stays=True), True),
            ("chunked", says(chunked, stays=True), True),
            ("ends with its connection", says(unframed, b"o", b"k"), False),
            ("after interim answers", says(interim, interim + OK, stays=True), True),
            ("behind another request's", says(FOREIGN + OK, stays=True), True),
            ("behind another request's, apart", says(FOREIGN, OK, stays=True), True),
            ("with a second answer", says(OK + FOREIGN, stays=True), False),
            ("with a later second answer", says(OK, FOREIGN, stays=True), False),
            ("with trailing bytes", says(OK + b"garbage\r\n\r\n", stays=True), False),
        ):
            answer, was_reusable = self.exchange(script)
            self.assertEqual((200, b"ok"), (answer.status, answer.body), name)
            self.assertEqual(reusable, was_reusable, name)

    def test_answer_to_head_has_no_body(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\n"
        answer, _ = self.exchange(says(head, stays=True), is_head=True)
        self.assertEqual(b"", answer.body)

    def test_incomplete_answers_never_look_whole(self) -> None:
        unframed = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nok"
        chunked = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok"
        for name, script, error in (
            ("nothing", says(), BrokenError),
            ("cut head", says(OK[:20]), BrokenError),
            ("cut body", says(OK[:-1]), BrokenError),
            ("cut chunk", says(chunked), BrokenError),
            ("no length and reset", says(unframed, reset=True), BrokenError),
            ("reset", says(reset=True), BrokenError),
            ("no HTTP", says(b"\x00\x01\x02 nonsense\r\n\r\n", stays=True), GarbledError),
            ("only another request's", says(FOREIGN), BrokenError),
        ):
            self.assertRaises(error, self.exchange, script), name

    def test_refused_connection_is_told_apart(self) -> None:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            free = HostPort("127.0.0.1", sock.getsockname()[1])
        self.assertRaises(UnreachedError, asyncio.run, HttpConnection.connect(free, 2.0))


class LeavingTests(TestCase):
    def test_cancelled_exchange_closes_its_connection(self) -> None:
        """The target sees the end of the connection and stops work."""
        ended: list[bytes] = []

        async def listen(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            try:
                ended.append(await reader.read())
            except ConnectionResetError:
                ended.append(b"")
            writer.close()

        async def use(connection: HttpConnection) -> None:
            task = asyncio.create_task(connection.exchange(REQUEST))
            await asyncio.sleep(0.05)
            task.cancel()
            while not ended:
                await asyncio.sleep(0.01)

        asyncio.run(_with_target(listen, use))
        self.assertEqual([b""], ended)

    def test_early_answer_to_a_long_body_ends_the_connection(self) -> None:
        """The rest of the body must not be taken for the next request."""
        result: list[tuple[int, bool]] = []
        body = b"x" * 8_000_000
        request = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body

        async def use(connection: HttpConnection) -> None:
            answer = await connection.exchange(request)
            result.append((answer.status, connection.is_reusable))

        early = b"HTTP/1.1 413 Too Large\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n"
        asyncio.run(_with_target(says(early, stays=True), use))
        self.assertEqual([(413, False)], result)
