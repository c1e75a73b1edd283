"""Measures what each way to run a request at most once adds to it, on loopback.

    python -m bench.at_most_once [--rounds N] [--seeds N] [--out FILE]

Figures per seed: one conditional write at the stand-in platform, one grpclib round trip
between two processes (an intent told to a backup, or a request passed to its issuer), the work
in the issuer's own record table, that work in a table near its bound, and the memory of a
record.  Round trips are measured one after the other, so that they show latency, not throughput.
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
FILLED_RECORDS: Final = 40_000
RECORDS_WEIGHED: Final = 10_000
BODY_BYTES: Final = 512
TOKEN_LIFETIME_S: Final = 600.0
MS_PER_S: Final = 1000.0


class EchoServer(IssuerLinkBase):
    """Answers each Submit at once."""

    async def Submit(  # noqa: N802
        self, stream: "Stream[pb.SubmitRequest, pb.SubmitAnswer]"
    ) -> None:
        """Answer."""
        await stream.recv_message()
        await stream.send_message(pb.SubmitAnswer(kind=pb.UNKNOWN))

    async def HandOver(self, stream: "Stream[pb.RecordBatch, pb.Empty]") -> None:  # noqa: N802
        """Refuse: the bench doesn't use it."""
        raise NotImplementedError

    async def NoteCrash(  # noqa: N802
        self, stream: "Stream[pb.CrashNotice, pb.CrashEntries]"
    ) -> None:
        """Refuse: the bench doesn't use it."""
        raise NotImplementedError

    async def Explain(  # noqa: N802
        self, stream: "Stream[pb.ExplainRequest, pb.Explanation]"
    ) -> None:
        """Refuse: the bench doesn't use it."""
        raise NotImplementedError


async def _serve_echo(address: HostPort) -> None:
    server = Server([EchoServer()])
    await server.start(address.ip, address.port)
    await server.wait_closed()


def _timed(rounds: int, call: Callable[[int], None]) -> list[float]:
    times = []
    for number in range(rounds):
        began = time.perf_counter()
        call(number)
        times.append((time.perf_counter() - began) * MS_PER_S)
    return times[min(WARM_UP_ROUNDS, rounds // 2) :]


def measure_platform(address: HostPort, rounds: int, seed: int) -> list[float]:
    """Return the milliseconds of each creation of an object."""
    client = PlatformClient(f"http://{address}")
    try:
        value = {"body": "x" * BODY_BYTES}
        return _timed(rounds, lambda n: _create(client, f"{seed}-{n}", value))
    finally:
        client.close()


def _create(client: PlatformClient, name: str, value: dict[str, str]) -> None:
    client.create("bench-intent", name, value)


async def measure_echo(address: HostPort, rounds: int) -> list[float]:
    """Return the milliseconds of each round trip to another process."""
    message = pb.SubmitRequest(account="yard", token="t", key="k", body=b"x" * BODY_BYTES)
    times = []
    channel = Channel(address.ip, address.port)
    try:
        stub = IssuerLinkStub(channel)
        for _ in range(rounds):
            began = time.perf_counter()
            await stub.Submit(message)
            times.append((time.perf_counter() - began) * MS_PER_S)
    finally:
        channel.close()
    return times[min(WARM_UP_ROUNDS, rounds // 2) :]


def measure_table(rounds: int, seed: int, filled: int) -> list[float]:
    """Return the milliseconds of begin, mark_dispatched and finish together."""
    clock = MonotonicClock()
    issuer = TokenIssuer("bench", clock, TOKEN_LIFETIME_S)
    table = RecordTable(issuer, clock, 2 * TOKEN_LIFETIME_S, filled + rounds + 1)
    answer = Outcome.answered(200, (), b"x" * BODY_BYTES)
    token = issuer.current()
    keys = random.Random(seed)

    def run_once(_: int) -> None:
        begun = table.begin("yard", token, f"{keys.getrandbits(64):x}", b"", 0.0)
        assert isinstance(begun, NewRequest)
        begun.record.mark_dispatched()
        begun.record.finish(answer)

    for number in range(filled):
        run_once(number)
    return _timed(rounds, run_once)


def measure_record_bytes(seed: int) -> float:
    """Return the heap that one finished record takes, its answer's body included."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        table = _filled_table(RECORDS_WEIGHED, seed)
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
        begun = table.begin("yard", issuer.current(), key, keys.randbytes(32), 0.0)
        assert isinstance(begun, NewRequest)
        begun.record.mark_dispatched()
        begun.record.finish(Outcome.answered(200, (), keys.randbytes(BODY_BYTES)))
    return table


def _summary(times: list[float]) -> dict[str, float]:
    cuts = statistics.quantiles(times, n=100)
    return {"p50_ms": round(cuts[49], 4), "p99_ms": round(cuts[98], 4), "n": len(times)}


def run(rounds: int, seeds: int) -> list[dict[str, object]]:
    """Measure everything once per seed, against processes started for it."""
    pool = AddressPool()
    platform, echo = pool.take(), pool.take()
    commands = (
        ["-m", "toucanspindle_standins.main", "platform", "--address", str(platform)],
        ["-m", "bench.at_most_once", "--serve-echo", str(echo)],
    )
    processes = [subprocess.Popen([sys.executable, *command]) for command in commands]
    try:
        wait_until(lambda: listens(platform) and listens(echo), what="the servers listen")
        return [_run_seed(platform, echo, rounds, seed) for seed in range(seeds)]
    finally:
        for process in processes:
            process.terminate()
            process.wait()


def _run_seed(platform: HostPort, echo: HostPort, rounds: int, seed: int) -> dict[str, object]:
    return {
        "seed": seed,
        "platform_write": _summary(measure_platform(platform, rounds, seed)),
        "peer_round_trip": _summary(asyncio.run(measure_echo(echo, rounds))),
        "record_table": _summary(measure_table(rounds, seed, 0)),
        "bytes_per_record": measure_record_bytes(seed),
        "record_table_filled": _summary(measure_table(rounds, seed, FILLED_RECORDS)),
    }


def main() -> None:
    """Read the command line, measure, and print one JSON line per seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=DEFAULT_ROUNDS)
    parser.add_argument("--seeds", type=int, default=DEFAULT_SEEDS)
    parser.add_argument("--out", type=Path)
    parser.add_argument("--serve-echo", help="internal: serve the echo at this address")
    arguments = parser.parse_args()
    if arguments.serve_echo:
        asyncio.run(_serve_echo(HostPort.parse(arguments.serve_echo)))
        return
    lines = [json.dumps(result) for result in run(arguments.rounds, arguments.seeds)]
    text = "\n".join(lines) + "\n"
    sys.stdout.write(text)
    if arguments.out:
        arguments.out.parent.mkdir(parents=True, exist_ok=True)
        arguments.out.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
