"""Tests of requests on open connections at each moment of a planned stop."""

import asyncio
import itertools
import time
from dataclasses import dataclass, field
from functools import partial
from typing import Final

from deployedfleet import HOST_NAME
from tests.test_platform_deployed import DeployedCase

GRACE_S: Final = 6.0  # As in the settings of the deployed fleet.
# The stated bound: a request sent later than this after SIGTERM may not be cut at all, ...
ALWAYS_ANSWERED_AFTER_S: Final = 3.0
# ... and an earlier one only while its target is at work in the last sixth of the grace.
LAST_PART_AT_S: Final = GRACE_S * 5 / 6
FIRST_REQUEST_AT_S: Final = -0.5  # Relative to SIGTERM.
CLOSED_BY_S: Final = GRACE_S + 1.0

_ids = itertools.count(1)


@dataclass
class SentRequest:
    """A request; times are in seconds after SIGTERM, and `status` is None without a response."""

    id: str
    sent_at: float
    work_s: float
    status: int | None = None
    answered_at: float = 0.0


@dataclass
class BusyConnection:
    """A connection that sends a request each `gap_s`, pipelined, until the host closes it."""

    method: str
    gap_s: float
    work_s: float
    requests: list[SentRequest] = field(default_factory=list)

    async def run(self, ip: str, port: int, stopped_at: float) -> None:
        """Send requests and read the responses until the connection ends."""
        reader, writer = await asyncio.open_connection(ip, port)
        sending = asyncio.create_task(self._send_requests(writer, stopped_at))
        try:
            async with asyncio.timeout(stopped_at + CLOSED_BY_S - time.monotonic()):
                await self._read_responses(reader, stopped_at)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            sending.cancel()
            writer.close()

    async def _send_requests(self, writer: asyncio.StreamWriter, stopped_at: float) -> None:
        while not writer.is_closing():
            request = SentRequest(f"{next(_ids):016x}", time.monotonic() - stopped_at, self.work_s)
            self.requests.append(request)
            path = "/lookup/1" if self.method == "GET" else "/reserve/1"
            writer.write(
                f"{self.method} {path}?{request.id} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
                f"X-Attempt-Id: {request.id}\r\nX-Deadline-Ms: 8000\r\nX-Work-S: {self.work_s}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            await asyncio.sleep(self.gap_s)

    async def _read_responses(self, reader: asyncio.StreamReader, stopped_at: float) -> None:
        for n in itertools.count():
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            length = int(head.split("content-length: ")[1].split("\r\n")[0])
            await reader.readexactly(length)
            self.requests[n].status = int(head.split(" ")[1])
            self.requests[n].answered_at = time.monotonic() - stopped_at
            if "connection: close" in head:
                return


class BusyConnectionTests(DeployedCase):
    hosts = 2
    targets = 12

    def play(self, *connections: BusyConnection) -> set[str]:
        """Stop a host while the connections are in use; return the ids that targets ran."""
        address = self.fleet.caller_address(0)

        async def run() -> None:
            stopped_at = time.monotonic() - FIRST_REQUEST_AT_S
            tasks = [
                asyncio.create_task(connection.run(address.ip, address.port, stopped_at))
                for connection in connections
            ]
            await asyncio.sleep(stopped_at - time.monotonic())
            self.fleet.processes[0].terminate()
            await asyncio.gather(*tasks)

        asyncio.run(run())
        self.assertEqual(0, self.fleet.processes[0].wait())
        return {request_id for target in self.fleet.targets for request_id in target.ran}

    def check(self, *connections: BusyConnection) -> None:
        ran = self.play(*connections)
        for connection in connections:
            last_sent_at = max(request.sent_at for request in connection.requests)
            what = f"{connection.method} each {connection.gap_s} s, work {connection.work_s} s"
            self.assertGreater(last_sent_at, 0.0, f"{what}: the connection ended too early")
            for request in connection.requests:
                if request.status == 503:
                    self.assertNotIn(request.id, ran, f"{what}: refused as not run: {request}")
                if request.status is None and request.id in ran:
                    self.assertLessEqual(
                        request.sent_at, ALWAYS_ANSWERED_AFTER_S, f"{what}: cut: {request}"
                    )
                    # The work began after the request was sent.
                    self.assertGreater(
                        request.sent_at + 2 * request.work_s,
                        LAST_PART_AT_S,
                        f"{what}: cut early: {request}",
                    )
            first = connection.requests[0]
            self.assertIsNotNone(first.status, f"{what}: {first}")

    # Guards against requests that are passed on late in the grace and cut at its end.
    def test_pipelined_lookups_are_answered_or_not_passed_on(self) -> None:
        self.check(
            BusyConnection("GET", 0.3, 0.1),
            BusyConnection("GET", 0.3, 1.2),
            BusyConnection("GET", 0.7, 1.2),
            BusyConnection("GET", 0.9, 2.4),
            BusyConnection("GET", 0.4, 2.4),
        )

    # Guards against the same for requests that may not be repeated.
    def test_reservations_on_a_busy_connection_are_answered_or_not_passed_on(self) -> None:
        self.check(
            BusyConnection("POST", 0.1, 0.12),
            BusyConnection("POST", 0.3, 0.4),
            BusyConnection("POST", 0.5, 1.0),
            BusyConnection("POST", 0.6, 2.4),
        )

    # Guards against requests that wait for a slot until the process ends.
    def test_requests_that_wait_for_a_slot_are_refused_before_the_end(self) -> None:
        for target in self.fleet.targets[1:]:
            self.fleet.call_in_loop(partial(self.fleet.store.remove, "servers", target.name))
        self.check(*(BusyConnection("GET", 0.5, 1.0) for _ in range(12)))
