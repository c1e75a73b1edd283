"""Tests of exchanges with targets that respond incorrectly, over real sockets."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

from testtools import TestCase
from toucanspindle_core.hostport import HostPort
from toucanspindle_entry.memoryaccount import MemoryAccount
from toucanspindle_entry.targets.httpclient import (
    MAX_RESPONSE_BYTES,
    ConnectError,
    ConnectionLostError,
    HttpConnection,
    HttpResponse,
    MalformedResponseError,
    ResponseMemoryError,
)

OWN_RESPONSE = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok"
OTHER_RESPONSE = b"HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 3\r\n\r\nold"
REQUEST = b"GET / HTTP/1.1\r\n\r\n"

MEMORY_BYTES = 64 * 1024 * 1024

TargetScript = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def respond_with(*pieces: bytes, reset: bool = False, keeps_open: bool = False) -> TargetScript:
    """Return a target that reads a request, sends some bytes, and closes or resets.

    With `keeps_open` it waits until the client closes the connection.
    """

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
        elif keeps_open:
            await reader.read()
            writer.close()
        else:
            writer.close()

    return run


async def _run_with_target(
    target: TargetScript, client: Callable[[HttpConnection], Awaitable[None]]
) -> None:
    server = await asyncio.start_server(target, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    connection = await HttpConnection.connect(
        HostPort("127.0.0.1", port), 2.0, MemoryAccount(MEMORY_BYTES)
    )
    try:
        async with asyncio.timeout(5):
            await client(connection)
    finally:
        connection.close()
        server.close()
        await asyncio.sleep(0.01)  # The target closes its connection.


def is_own_response(response: HttpResponse) -> bool:
    return response.header(b"x-id") == b"1"


class ResponseTests(TestCase):
    """Outcomes of an exchange for each way in which a response can arrive."""

    def exchange(self, target: TargetScript, is_head: bool = False) -> tuple[HttpResponse, bool]:
        result: list[tuple[HttpResponse, bool]] = []

        async def client(connection: HttpConnection) -> None:
            response = await connection.exchange(REQUEST, is_head, is_own_response)
            await asyncio.sleep(0.03)
            result.append((response, connection.is_reusable))

        asyncio.run(_run_with_target(target, client))
        return result[0]

    def test_complete_responses_are_returned(self) -> None:
        chunked = (
            b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
        )
        unframed = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n"
        interim = b"HTTP/1.1 103 Early Hints\r\nX-Id: 1\r\n\r\n"
        for name, target, reusable in (
            ("length", respond_with(OWN_RESPONSE, keeps_open=True), True),
            (
                "in pieces",
                respond_with(OWN_RESPONSE[:20], OWN_RESPONSE[20:], keeps_open=True),
                True,
            ),
            ("chunked", respond_with(chunked, keeps_open=True), True),
            ("body ends at the end of the stream", respond_with(unframed, b"o", b"k"), False),
            (
                "after interim responses",
                respond_with(interim, interim + OWN_RESPONSE, keeps_open=True),
                True,
            ),
            (
                "after another request's response",
                respond_with(OTHER_RESPONSE + OWN_RESPONSE, keeps_open=True),
                True,
            ),
            (
                "after another request's response, in a separate write",
                respond_with(OTHER_RESPONSE, OWN_RESPONSE, keeps_open=True),
                True,
            ),
            (
                "with a second response",
                respond_with(OWN_RESPONSE + OTHER_RESPONSE, keeps_open=True),
                False,
            ),
            (
                "with a second response in a later write",
                respond_with(OWN_RESPONSE, OTHER_RESPONSE, keeps_open=True),
                False,
            ),
            (
                "with trailing bytes",
                respond_with(OWN_RESPONSE + b"garbage\r\n\r\n", keeps_open=True),
                False,
            ),
        ):
            response, was_reusable = self.exchange(target)
            self.assertEqual((200, b"ok"), (response.status, response.body), name)
            self.assertEqual(reusable, was_reusable, name)

    def test_response_to_head_has_no_body(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\n"
        response, _ = self.exchange(respond_with(head, keeps_open=True), is_head=True)
        self.assertEqual(b"", response.body)

    def test_incomplete_responses_raise(self) -> None:
        unframed = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nok"
        chunked = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok"
        for name, target, error in (
            ("nothing", respond_with(), ConnectionLostError),
            ("truncated head", respond_with(OWN_RESPONSE[:20]), ConnectionLostError),
            ("truncated body", respond_with(OWN_RESPONSE[:-1]), ConnectionLostError),
            ("truncated chunk", respond_with(chunked), ConnectionLostError),
            ("no length and reset", respond_with(unframed, reset=True), ConnectionLostError),
            ("reset", respond_with(reset=True), ConnectionLostError),
            (
                "bytes that are not HTTP",
                respond_with(b"\x00\x01\x02 nonsense\r\n\r\n", keeps_open=True),
                MalformedResponseError,
            ),
            ("only another request's response", respond_with(OTHER_RESPONSE), ConnectionLostError),
        ):
            self.assertRaises(error, self.exchange, target), name

    # Guards against a wait until the deadline (statuses below 100, taken for interim ones) and
    # against bytes that a caller would take for an answer (statuses above 599).
    def test_statuses_outside_of_100_to_599_are_malformed(self) -> None:
        for status in (b"000", b"001", b"099", b"600", b"999", b"00", b"20", b"2000", b"+20"):
            answer = OWN_RESPONSE.replace(b"200", status, 1)
            target = respond_with(answer, keeps_open=True)
            self.assertRaises(MalformedResponseError, self.exchange, target), status

    def test_refused_connection_raises_connect_error(self) -> None:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            free = HostPort("127.0.0.1", sock.getsockname()[1])
        memory = MemoryAccount(MEMORY_BYTES)
        self.assertRaises(ConnectError, asyncio.run, HttpConnection.connect(free, 2.0, memory))


class ClosedConnectionTests(TestCase):
    def test_cancelled_exchange_closes_its_connection(self) -> None:
        """The target must see the end of the connection, so that it stops work."""
        bytes_until_end: list[bytes] = []

        async def record_stream_end(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            try:
                bytes_until_end.append(await reader.read())
            except ConnectionResetError:
                bytes_until_end.append(b"")
            writer.close()

        async def client(connection: HttpConnection) -> None:
            task = asyncio.create_task(connection.exchange(REQUEST))
            await asyncio.sleep(0.05)
            task.cancel()
            while not bytes_until_end:
                await asyncio.sleep(0.01)

        asyncio.run(_run_with_target(record_stream_end, client))
        self.assertEqual([b""], bytes_until_end)

    def test_response_before_the_end_of_the_body_closes_the_connection(self) -> None:
        """Otherwise the target would read the rest of the body as the next request."""
        result: list[tuple[int, bool]] = []
        body = b"x" * 8_000_000
        request = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body

        async def client(connection: HttpConnection) -> None:
            response = await connection.exchange(request)
            result.append((response.status, connection.is_reusable))

        early_response = b"HTTP/1.1 413 Too Large\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n"
        asyncio.run(_run_with_target(respond_with(early_response, keeps_open=True), client))
        self.assertEqual([(413, False)], result)


class EndlessResponseTests(TestCase):
    """A faulty target sends bytes without end, in a head or a body, until the caller closes."""

    def bytes_until_failure(self, start: bytes, repeated: bytes) -> int:
        """Send `repeated` without end after `start`; return how much the client took.

        The exchange must fail with MalformedResponseError long before a deadline would end it.
        """
        sent: list[int] = [0]

        async def send_without_end(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(start)
            try:
                while True:
                    writer.write(repeated)
                    sent[0] += len(repeated)
                    await writer.drain()
            except ConnectionError:
                writer.close()

        async def client(connection: HttpConnection) -> None:
            exchange = connection.exchange(REQUEST, matches_request=is_own_response)
            try:
                await exchange
            except MalformedResponseError:
                self.assertFalse(connection.is_reusable)
                return
            self.fail("the exchange didn't fail")

        asyncio.run(_run_with_target(send_without_end, client))
        return sent[0]

    def test_head_without_end_fails_after_its_size_limit(self) -> None:
        ok = b"HTTP/1.1 200 OK\r\n"
        for name, start, repeated in (
            ("headers", ok, b"X-More: " + b"y" * 1000 + b"\r\n"),
            ("one header", ok + b"X-More: ", b"y" * 1000),
            ("one header name", ok, b"y" * 1000),
            ("reason phrase", b"HTTP/1.1 200 ", b"y" * 1000),
            ("interim responses", b"", b"HTTP/1.1 103 Early\r\nX-More: y\r\n\r\n" * 20),
            (
                "trailers",
                ok + b"X-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                b"X: y\r\n" * 99,
            ),
            (
                "chunk extension",
                ok + b"X-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5;x=",
                b"y" * 1000,
            ),
        ):
            taken = self.bytes_until_failure(start, repeated)
            # Several megabytes are in the buffers of the sockets.
            self.assertLess(taken, 16_000_000, name)

    def test_body_without_end_fails_after_its_size_limit(self) -> None:
        ok = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
        chunk = b"8000\r\n" + b"y" * 0x8000 + b"\r\n"
        for name, start, repeated in (
            ("chunks", ok + b"Transfer-Encoding: chunked\r\n\r\n", chunk),
            ("no length", ok + b"\r\n", b"y" * 0x8000),
            ("huge length", ok + b"Content-Length: 99999999999\r\n\r\n", b"y" * 0x8000),
            ("responses to other requests", b"", OTHER_RESPONSE * 1000),
        ):
            taken = self.bytes_until_failure(start, repeated)
            self.assertLess(taken, MAX_RESPONSE_BYTES + 16_000_000, name)

    def test_bodies_without_end_together_leave_the_process_its_memory(self) -> None:
        """Several endless bodies at once must not fill the memory of a small host."""
        held: list[int] = []

        async def send_without_end(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n")
            try:
                while True:
                    writer.write(b"y" * 0x8000)
                    await writer.drain()
            except ConnectionError:
                writer.close()

        async def run() -> None:
            server = await asyncio.start_server(send_without_end, "127.0.0.1", 0)
            address = HostPort("127.0.0.1", server.sockets[0].getsockname()[1])
            memory = MemoryAccount(MEMORY_BYTES)
            connections = [await HttpConnection.connect(address, 2.0, memory) for _ in range(12)]
            exchanges = [
                asyncio.create_task(connection.exchange(REQUEST)) for connection in connections
            ]
            while not all(exchange.done() for exchange in exchanges):
                held.append(memory.held_bytes)
                await asyncio.sleep(0.001)
            for exchange in exchanges:
                error = exchange.exception()
                self.assertIsInstance(error, MalformedResponseError | ResponseMemoryError)
            del error, exchange, exchanges, connections
            self.assertEqual(0, memory.held_bytes)
            server.close()
            await asyncio.sleep(0.05)  # The target closes its connections.

        asyncio.run(run())
        self.assertLess(max(held), MEMORY_BYTES)


class TruncatedHeadTests(TestCase):
    def test_response_cut_at_any_byte_of_its_head_is_lost(self) -> None:
        """A 200 that was cut in its head must not look like a whole, empty answer."""
        heads = (
            b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\n\r\n",
            b"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n",
        )

        async def run() -> list[tuple[bytes, object]]:
            results: list[tuple[bytes, object]] = []
            for head in heads:
                for cut in range(len(head)):

                    async def target(
                        reader: asyncio.StreamReader,
                        writer: asyncio.StreamWriter,
                        part: bytes = head[:cut],
                    ) -> None:
                        await reader.readuntil(b"\r\n\r\n")
                        writer.write(part)
                        writer.close()

                    async def client(connection: HttpConnection, part: bytes = head[:cut]) -> None:
                        try:
                            results.append((part, await connection.exchange(REQUEST)))
                        except ConnectionLostError:
                            pass

                    await _run_with_target(target, client)
            return results

        self.assertEqual([], asyncio.run(run()))
