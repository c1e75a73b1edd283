"""Clients send further safe requests, with heads within MaxHeaderBytes, before the first is answered."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import Deployment, encode_request, new_attempt, read_message, run_case

BURSTS = 30
REQUESTS_PER_BURST = 4
COOKIE = [("Cookie", "session=" + "c" * 5000)]  # Under a third of MaxHeaderBytes.
SEGMENT_BYTES = 1448  # The payload of a TCP segment on an Ethernet link.
SEGMENT_INTERVAL_S = 0.001  # About 12 Mbit/s.


async def play(record, has_trouble):
    deployment = Deployment(record)
    statuses = []

    async def send_in_segments(writer, data):
        for begin in range(0, len(data), SEGMENT_BYTES):
            writer.write(data[begin : begin + SEGMENT_BYTES])
            await writer.drain()
            await asyncio.sleep(SEGMENT_INTERVAL_S)

    async def exchange(host, attempts):
        """Send lookups in one go on a new connection; return those without an answer."""
        requests = [
            encode_request("GET", f"/lookup/{attempt}?ms=200", attempt, headers=COOKIE)
            for attempt in attempts
        ]
        record.write(f"send {' '.join(attempts)} with heads of {[len(r) for r in requests]} bytes")
        reader, writer = await asyncio.open_connection(host.ip, deployment.front_port)
        sending = asyncio.create_task(send_in_segments(writer, b"".join(requests)))
        unanswered = list(attempts)
        try:
            while unanswered:
                response = await read_message(reader, is_response=True)
                if response is None:
                    break
                attempt = unanswered.pop(0)
                record.write(f"answer {attempt}: {response.status}")
                statuses.append(response.status)
        except (OSError, asyncio.IncompleteReadError) as error:
            record.write(f"connection ended: {error!r}")
        await asyncio.gather(sending, return_exceptions=True)
        writer.close()
        return unanswered

    async def burst(number):
        host = deployment.hosts[number % len(deployment.hosts)]
        attempts = [new_attempt() for _ in range(REQUESTS_PER_BURST)]
        if has_trouble:
            # What was sent behind an answer that closes the connection is sent again.
            attempts = await exchange(host, attempts)
        for attempt in attempts:
            await exchange(host, [attempt])

    async with deployment:
        await asyncio.sleep(4)
        for number in range(BURSTS):
            await burst(number)
    denied = sum(300 <= status < 500 and status not in {408, 421, 429} for status in statuses)
    allowed = 5 + len(statuses) / 500
    record.write(f"{denied} of {len(statuses)} requests were denied; {allowed:.1f} are allowed")
    return denied <= allowed


run_case(Path(__file__).resolve().parent, play)
