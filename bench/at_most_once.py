"""Measures the cost of each method to run a request at most once, on loopback.

    python -m bench.at_most_once [--rounds N] [--seeds N] [--out FILE]

Measures for each seed:
- one conditional write at the stand-in platform;
- one grpclib round trip between two processes, as for an intent sent to a backup or a request
  forwarded to its issuer;
- the operations on the issuer's own record table, empty at the start and almost full;
- the memory of one record.
Round trips run one after the other, so they show latency, not throughput.
"""

import argparse
import asyncio
import json
import random
import statistics
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Final

from grpclib.client import Channel
from grpclib.server import Server, Stream
from toucanspindle_core import control_pb2 as pb
from toucanspindle_core.clock import MonotonicClock
from toucanspindle_core.control_grpc import IssuerLinkBase, IssuerLinkStub
from toucanspindle_core.hostport import HostPort
from toucanspindle_core.outcome import Outcome
from toucanspindle_core.platformclient import PlatformClient
from toucanspindle_core.records import NewRequest, RecordTable
from toucanspindle_core.tokens import TokenIssuer
from toucanspindle_standins.processes import AddressPool, listens, wait_until

DEFAULT_ROUNDS: Final = 1000
DEFAULT_SEEDS: Final = 5
WARM_UP_ROUNDS: Final = 100
PREFILLED_RECORDS: Final = 40_000
MEMORY_SAMPLE_RECORDS: Final = 10_000
BODY_BYTES: Final = 512
TOKEN_LIFETIME_S: Final = 600.0
MS_PER_S: Final = 1000.0


class EchoServer(IssuerLinkBase):
    """Answers each Submit immediately with *unknown*."""

    async def Submit(  # noqa: N802
        self, stream: "Stream[pb.SubmitRequest, pb.SubmitAnswer]"
    ) -> None:
        """Receive one request and answer it with *unknown*."""
        await stream.recv_message()
        await stream.send_message(pb.SubmitAnswer(kind=pb.UNKNOWN))

    async def HandOver(self, stream: "Stream[pb.RecordBatch, pb.Empty]") -> None:  # noqa: N802
        """Raise NotImplementedError; the bench doesn't call this method."""
        raise NotImplementedError

    async def NoteCrash(  # noqa: N802
        self, stream: "Stream[pb.CrashNotice, pb.CrashEntries]"
    ) -> None:
        """Raise NotImplementedError; the bench doesn't call this method."""
        raise NotImplementedError

    async def Explain(  # noqa: N802
        self, stream: "Stream[pb.ExplainRequest, pb.Explanation]"
    ) -> None:
        """Raise NotImplementedError; the bench doesn't call this method."""
        raise NotImplementedError


async def _serve_echo(address: HostPort) -> None:
    server = Server([EchoServer()])
    await server.start(address.ip, address.port)
    await server.wait_closed()


def _measure_ms(rounds: int, operation: Callable[[int], None]) -> list[float]:
    durations_ms = []
    for number in range(rounds):
        started_at = time.perf_counter()
        operation(number)
        durations_ms.append((time.perf_counter() - started_at) * MS_PER_S)
    return durations_ms[min(WARM_UP_ROUNDS, rounds // 2) :]


def measure_platform(address: HostPort, rounds: int, seed: int) -> list[float]:
    """Return the duration of each creation of an object, in milliseconds."""
    client = PlatformClient(f"http://{address}")
    try:
        value = {"body": "x" * BODY_BYTES}
        return _measure_ms(rounds, lambda n: _create_object(client, f"{seed}-{n}", value))
    finally:
        client.close()


def _create_object(client: PlatformClient, name: str, value: dict[str, str]) -> None:
    client.create("bench-intent", name, value)


async def measure_echo(address: HostPort, rounds: int) -> list[float]:
    """Return the duration of each round trip to the echo process, in milliseconds."""
    message = pb.SubmitRequest(account="yard", token="t", key="k", body=b"x" * BODY_BYTES)
    durations_ms = []
    channel = Channel(address.ip, address.port)
    try:
        stub = IssuerLinkStub(channel)
        for _ in range(rounds):
            started_at = time.perf_counter()
            await stub.Submit(message)
            durations_ms.append((time.perf_counter() - started_at) * MS_PER_S)
    finally:
        channel.close()
    return durations_ms[min(WARM_UP_ROUNDS, rounds // 2) :]


def measure_table(rounds: int, seed: int, prefilled: int) -> list[float]:
    """Return the total duration of begin, mark_dispatched and finish, in milliseconds.

    `prefilled` records are in the table before the first measured one.
    """
    clock = MonotonicClock()
    issuer = TokenIssuer("bench", clock, TOKEN_LIFETIME_S)
    table = RecordTable(issuer, clock, 2 * TOKEN_LIFETIME_S, prefilled + rounds + 1)
    answer = Outcome.answered(200, (), b"x" * BODY_BYTES)
    token = issuer.current()
    keys = random.Random(seed)

    def run_record_cycle(_: int) -> None:
        begin_result = table.begin("yard", token, f"{keys.getrandbits(64):x}", b"", 0.0)
        assert isinstance(begin_result, NewRequest)
        begin_result.record.mark_dispatched()
        begin_result.record.finish(answer)

    for number in range(prefilled):
        run_record_cycle(number)
    return _measure_ms(rounds, run_record_cycle)


def measure_record_bytes(seed: int) -> float:
    """Return the mean heap size of one finished record with its answer body, in bytes."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        table = _filled_table(MEMORY_SAMPLE_RECORDS, seed)
        after = tracemalloc.get_traced_memory()[0]
        return round((after - before) / len(table), 1)
    finally:
        tracemalloc.stop()


def _filled_table(records: int, seed: int) -> RecordTable:
    clock = MonotonicClock()
    issuer = TokenIssuer("bench", clock, TOKEN_LIFETIME_S)
    table = RecordTable(issuer, clock, 2 * TOKEN_LIFETIME_S, records + 1)
    keys = random.Random(seed)
    for _ in range(records):
        key = f"{keys.getrandbits(64):x}"
        begin_result = table.begin("yard", issuer.current(), key, keys.randbytes(32), 0.0)
        assert isinstance(begin_result, NewRequest)
        begin_result.record.mark_dispatched()
        begin_result.record.finish(Outcome.answered(200, (), keys.randbytes(BODY_BYTES)))
    return table


def _summarize(durations_ms: list[float]) -> dict[str, float]:
    percentiles = statistics.quantiles(durations_ms, n=100)
    return {
        "p50_ms": round(percentiles[49], 4),
        "p99_ms": round(percentiles[98], 4),
        "n": len(durations_ms),
    }


def run_all_seeds(rounds: int, seeds: int) -> list[dict[str, object]]:
    """Start the platform and the echo server, and return the measurements of each seed."""
    pool = AddressPool()
    platform, echo = pool.allocate(), pool.allocate()
    commands = (
        ["-m", "toucanspindle_standins.main", "platform", "--address", str(platform)],
        ["-m", "bench.at_most_once", "--serve-echo", str(echo)],
    )
    processes = [subprocess.Popen([sys.executable, *command]) for command in commands]
    try:
        wait_until(lambda: listens(platform) and listens(echo), what="the servers listen")
        return [_measure_seed(platform, echo, rounds, seed) for seed in range(seeds)]
    finally:
        for process in processes:
            process.terminate()
            process.wait()


def _measure_seed(platform: HostPort, echo: HostPort, rounds: int, seed: int) -> dict[str, object]:
    return {
        "seed": seed,
        "platform_write": _summarize(measure_platform(platform, rounds, seed)),
        "peer_round_trip": _summarize(asyncio.run(measure_echo(echo, rounds))),
        "record_table": _summarize(measure_table(rounds, seed, 0)),
        "bytes_per_record": measure_record_bytes(seed),
        "record_table_filled": _summarize(measure_table(rounds, seed, PREFILLED_RECORDS)),
    }


def main() -> None:
    """Measure, and print one JSON line per seed; write them to `--out` if given."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=DEFAULT_ROUNDS)
    parser.add_argument("--seeds", type=int, default=DEFAULT_SEEDS)
    parser.add_argument("--out", type=Path)
    parser.add_argument("--serve-echo", help="internal: serve the echo at this address")
    arguments = parser.parse_args()
    if arguments.serve_echo:
        asyncio.run(_serve_echo(HostPort.parse(arguments.serve_echo)))
        return
    lines = [json.dumps(result) for result in run_all_seeds(arguments.rounds, arguments.seeds)]
    text = "\n".join(lines) + "\n"
    sys.stdout.write(text)
    if arguments.out:
        arguments.out.parent.mkdir(parents=True, exist_ok=True)
        arguments.out.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
