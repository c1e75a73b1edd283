"""Property tests of caller connections at raw bytes, with seeds.

Requests of all kinds are sent in any order and split anywhere, some of them mutated.  Each request
must be answered, in order and with its own answer, or its connection closed within the bound.
"""

import asyncio
import gc
import os
import random
from typing import Final

from testtools import TestCase
from toucanspindle_core.clock import MonotonicClock
from toucanspindle_entry.callers.callerconnection import CallerConnection
from toucanspindle_entry.callers.callermessages import CallerRequest, CallerResponse
from toucanspindle_entry.callers.connectiontable import CallerPort, ConnectionTable
from toucanspindle_entry.callers.workturns import WorkTurns
from toucanspindle_entry.model import CallerLimits

from tests.test_entry_callers import FakeOwner

SEEDS: Final = int(os.environ.get("TOUCANSPINDLE_RAW_SEEDS", "200"))
FIRST_SEED: Final = int(os.environ.get("TOUCANSPINDLE_RAW_FIRST_SEED", "1"))
CROWD_SEEDS: Final = max(1, SEEDS // 33)
CROWD_CONNECTIONS: Final = 60
CROWD_LIMIT: Final = 25
ORDINARY_REQUESTS: Final = 10
AT_ONCE: Final = 20
MAX_REQUESTS: Final = 40
LIMITS: Final = CallerLimits(2000, 50_000, header_timeout_s=0.5, idle_timeout_s=0.5)
# The timeouts, and the wait for the end of the stream after the last answer.
BOUND_S: Final = 10.0
HEADERS: Final = (
    b"X-A: b\r\n",
    b"x-b:\r\n",
    b"Cookie: " + b"c" * 900 + b"\r\n",
    b"Connection: keep-alive\r\n",
    b"Connection: Upgrade\r\nUpgrade: h2c\r\n",
    b"Expect: 100-continue\r\n",
)
MUTATIONS: Final = (b"\x00", b"\r", b"\n", b"\r\n\r\n", b":", b" ", b"\xff", b"GET / HTTP/1.1\r\n")


def make_request(rng: random.Random, number: int, is_last: bool) -> bytes:
    """Return the bytes of a proper request whose path and body tell its number."""
    headers = b"".join(rng.sample(HEADERS, rng.randrange(3)))
    if is_last:
        headers = b"Connection: close\r\n"
    method = rng.choice((b"GET", b"GET", b"HEAD", b"POST", b"PUT"))
    head = b"%s /%d HTTP/1.1\r\nHost: a\r\n%s" % (method, number, headers)
    if method in {b"GET", b"HEAD"}:
        return head + b"\r\n"
    body = (b"%d." % number) * rng.choice((0, 1, 50, 4000))
    if rng.random() < 0.5:
        return head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
    chunk_bytes = rng.choice((1, 7, 5000)) if len(body) < 1000 else 5000
    pieces = [body[begin : begin + chunk_bytes] for begin in range(0, len(body), chunk_bytes)]
    chunks = b"".join(b"%x;e=1\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
    trailer = rng.choice((b"", b"X-Trailer: 1\r\n"))
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n" + trailer + b"\r\n"


def mutate(rng: random.Random, data: bytes) -> bytes:
    """Return bytes with a few of them replaced, removed or repeated."""
    for _ in range(rng.randint(1, 4)):
        begin = rng.randrange(len(data) + 1)
        end = begin + rng.choice((0, 1, 1, 5, 100))
        data = data[:begin] + rng.choice((*MUTATIONS, data[begin:end] * 2, b"")) + data[end:]
    return data


def split(rng: random.Random, data: bytes) -> list[bytes]:
    """Return pieces of any sizes."""
    pieces: list[bytes] = []
    while data:
        size = rng.choice((1, 10, 300, 1448, 16_384, len(data)))
        pieces.append(data[:size])
        data = data[size:]
    return pieces


class RawBytesCase(TestCase):
    async def answer(self, request: CallerRequest) -> CallerResponse:
        """Respond with the method, the path and the body's length, sooner or later."""
        number = int(request.path.strip("/")) if request.path.strip("/").isdigit() else 0
        await asyncio.sleep(number * 7 % 5 / 1000)
        told = f"{request.method} {request.path} {len(request.body)}"
        return CallerResponse(200, [(b"x-told", told.encode("latin-1"))], told.encode("latin-1"))

    async def converse(self, pieces: list[bytes]) -> bytes:
        """Send pieces to a new connection; return what is received until its end."""
        owner = FakeOwner()
        owner.limits = LIMITS
        port = CallerPort(turns=WorkTurns(MonotonicClock()))
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: CallerConnection(owner, self.answer, MonotonicClock(), port), "127.0.0.1", 0
        )
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())

        async def send() -> None:
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)

        sending = asyncio.create_task(send())
        received = bytearray()
        try:
            async with asyncio.timeout(BOUND_S):
                while data := await reader.read(65_536):
                    received += data
        except ConnectionError:
            pass
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
            writer.close()
            server.close()
        self.assertEqual(0, owner.handler_failures)
        return bytes(received)

    def converse_all(self, conversations: dict[int, list[bytes]]) -> dict[int, bytes]:
        """Hold conversations, several at once; return what each one received, by seed."""
        received: dict[int, bytes] = {}

        async def run() -> None:
            gate = asyncio.Semaphore(AT_ONCE)

            async def run_one(seed: int, pieces: list[bytes]) -> None:
                async with gate:
                    try:
                        received[seed] = await self.converse(pieces)
                    except TimeoutError as error:
                        raise AssertionError(f"seed {seed}: open after {BOUND_S} s") from error

            await asyncio.gather(*(run_one(*item) for item in conversations.items()))

        asyncio.run(run())
        return received


def told_answers(received: bytes) -> list[bytes]:
    """Return what the answers tell, each as `METHOD PATH LENGTH`, or the status of a rejection."""
    answers: list[bytes] = []
    for part in received.split(b"HTTP/1.1 ")[1:]:
        told = [line[8:] for line in part.split(b"\r\n") if line.startswith(b"x-told: ")]
        if not part.startswith(b"100"):
            answers.append(told[0] if told else part[:3])
    return answers


class ProperRequestTests(RawBytesCase):
    def test_each_request_gets_its_own_answer_in_order(self) -> None:
        """Guards against lost, foreign and misordered answers for any split of the stream."""
        conversations: dict[int, list[bytes]] = {}
        expected: dict[int, list[bytes]] = {}
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            rng = random.Random(seed)
            count = rng.randint(1, MAX_REQUESTS)
            requests = [make_request(rng, n, n == count) for n in range(1, count + 1)]
            conversations[seed] = split(rng, b"".join(requests))
            expected[seed] = [
                b"%s /%d" % (request.split(b" ")[0], n) for n, request in enumerate(requests, 1)
            ]
        received = self.converse_all(conversations)
        for seed, data in received.items():
            told = [answer.rpartition(b" ")[0] for answer in told_answers(data)]
            self.assertEqual(expected[seed], told, f"seed {seed}")


class MutatedRequestTests(RawBytesCase):
    def test_connection_of_mutated_requests_ends_and_answers_stay_in_order(self) -> None:
        """Guards against connections that wait for ever, and against answers that go astray."""
        conversations: dict[int, list[bytes]] = {}
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            rng = random.Random(-seed)
            count = rng.randint(1, MAX_REQUESTS)
            requests = [make_request(rng, n, n == count) for n in range(1, count + 1)]
            mutated = rng.randrange(count)
            requests[mutated] = mutate(rng, requests[mutated])
            conversations[seed] = split(rng, b"".join(requests))
        received = self.converse_all(conversations)
        for seed, data in received.items():
            paths = [answer.split(b" ")[1] for answer in told_answers(data) if b" " in answer]
            numbers = [int(path[1:]) for path in paths if path[1:].isdigit()]
            # A mutated number may stand anywhere; the others are in order.
            out_of_order = sum(a >= b for a, b in zip(numbers, numbers[1:], strict=False))
            self.assertLessEqual(out_of_order, 1, f"seed {seed}: {numbers}")


def make_excess(rng: random.Random) -> bytes:
    """Return the bytes of a caller that exceeds limits: it may stop anywhere."""
    chunked = b"POST /8 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    data = rng.choice(
        (
            b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n" * rng.choice((100, 3000)),
            b"GET /2 HTTP/1.1\r\nHost: a\r\n" + b"a:\r\n" * rng.choice((400, 490, 5000)) + b"\r\n",
            b"POST /3 HTTP/1.1\r\nHost: a\r\nContent-Length: 50000\r\n\r\n" + bytes(50_000),
            b"POST /4 HTTP/1.1\r\nHost: a\r\nContent-Length: 999999\r\n\r\n" + bytes(60_000),
            chunked + b"1\r\nx\r\n" * rng.choice((2000, 20_000)) + b"0\r\n\r\n",
            chunked + b"0\r\n" + b"t:\r\n" * 2000 + b"\r\n",
            chunked + b"1;e=" + b"x" * 5000,
        )
    )
    return data[: rng.choice((len(data), len(data) - 1, rng.randrange(1, len(data))))]


class CrowdTests(RawBytesCase):
    """Connections of one process that share its turns, its memory and its limit for connections."""

    async def visit(self, address: tuple[str, int], rng: random.Random) -> None:
        """Send what exceeds limits, read all, little or nothing, and stay or leave."""
        try:
            reader, writer = await asyncio.open_connection(*address, limit=2**10)
            reads = rng.choice((0, 1, 10**9))
            for piece in split(rng, make_excess(rng)):
                writer.write(piece)
                if rng.random() < 0.1:
                    await asyncio.sleep(0.01)
                async with asyncio.timeout(0.2):
                    await writer.drain()
            for _ in range(reads):
                if not await reader.read(100):
                    break
            await asyncio.sleep(rng.choice((0, 0, 1)))
        except (OSError, TimeoutError):
            pass
        else:
            writer.close()

    async def play(self, seed: int) -> None:
        rng = random.Random(seed)
        owner = FakeOwner()
        owner.limits = LIMITS
        owner.caller_stall_s = 0.5
        clock = MonotonicClock()
        table = ConnectionTable("crowd", CROWD_LIMIT, clock.now)
        port = CallerPort(table, turns=WorkTurns(clock))
        server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(owner, self.answer, clock, port), "127.0.0.1", 0
        )
        address = server.sockets[0].getsockname()
        crowd = [
            asyncio.create_task(self.visit(address, random.Random(rng.random())))
            for _ in range(CROWD_CONNECTIONS)
        ]
        for number in range(1, ORDINARY_REQUESTS + 1):
            await self.send_ordinary(address, number)
            self.assertLessEqual(len(table), CROWD_LIMIT)
        await asyncio.gather(*crowd)
        while owner.connections:
            await asyncio.sleep(0.01)
        server.close()
        gc.collect()
        self.assertEqual((0, 0, 0), (len(table), owner.memory.held_bytes, owner.handler_failures))

    async def send_ordinary(self, address: tuple[str, int], number: int) -> None:
        """Send a request until it is answered."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(*address)
                writer.write(make_request(random.Random(number), number, True))
                received = await reader.read()
                writer.close()
            except OSError:
                continue
            if b" /%d " % number in b"".join(told_answers(received)):
                return
            await asyncio.sleep(0.01)

    def test_ordinary_requests_are_answered_beside_any_crowd(self) -> None:
        """Guards against crowds that hold memory, connections or turns for ever."""

        async def run(seed: int) -> None:
            async with asyncio.timeout(3 * BOUND_S):
                await self.play(seed)

        for seed in range(FIRST_SEED, FIRST_SEED + CROWD_SEEDS):
            try:
                asyncio.run(run(seed))
            except TimeoutError as error:
                raise AssertionError(f"seed {seed}: not at its end") from error
