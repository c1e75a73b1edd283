"""Machines are stopped and started in turn while clients send lookups ahead on kept connections."""

import asyncio
import itertools
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins_2 as standins  # noqa: E402

SERVERS = 12
SLOTS = 64
LATEST_EXCUSED_S = 3.0  # RULES, LOST: "sent no later than 3 s after the SIGTERM"
RUN_UP_S = 2.0
SPREAD_S = 0.0071  # Between the connections.


@dataclass(frozen=True)
class Stage:
    """Settings of one deployment, and what its clients and servers do; times are in seconds.

    Each of `connections` sends a lookup each `gap_s`; a server works on it for `work_s`.
    """

    site: str
    machines: int
    grace_s: int
    touch_ms: int
    timeout_ms: int
    deadline_ms: int
    work_s: float
    connections: int
    gap_s: float


STAGES = (
    Stage("kstc-gw", 3, 6, 3000, 4000, 8000, 2.7, 40, 0.3),
    Stage("kstc-gw-large", 2, 10, 4000, 6000, 12_000, 5.5, 20, 0.5),
)


class Lookup:
    def __init__(self, attempt, machine, sent_at):
        self.attempt = attempt
        self.machine = machine
        self.sent_at = sent_at
        self.status = None


class Client:
    """One kept connection; sends a lookup each `gap_s` before the earlier ones are answered."""

    _numbers = itertools.count(1)

    def __init__(self, record, stage, machine, lookups):
        self._stage = stage
        self._record = record
        self._machine = machine
        self._lookups = lookups
        self.ended_at = None

    async def run(self):
        reader, writer = await asyncio.open_connection(*self._machine.front, limit=2**20)
        pending = asyncio.Queue()
        sending = asyncio.create_task(self._send(writer, pending))
        try:
            while True:
                lookup = await pending.get()
                head = await standins.read_head(reader)
                if head is None:
                    break
                await standins.read_body(reader, head[1])
                lookup.status = int(head[0].split(" ")[1])
                if head[1].get("connection", "").lower() == "close":
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.ended_at = self._record.now()
            sending.cancel()
            writer.close()

    async def _send(self, writer, pending):
        while not writer.is_closing():
            attempt = f"c{next(self._numbers):015x}"
            lookup = Lookup(attempt, self._machine.name, self._record.now())
            self._lookups.append(lookup)
            pending.put_nowait(lookup)
            writer.write(
                (
                    f"GET /look/{attempt} HTTP/1.1\r\nHost: {standins.HOST_NAME}\r\n"
                    f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {self._stage.deadline_ms}\r\n\r\n"
                ).encode()
            )
            await asyncio.sleep(self._stage.gap_s)


async def stop_one(record, stage, machine, stops, lookups):
    """Let clients use a machine, stop it with SIGTERM, and start it again."""
    clients = [Client(record, stage, machine, lookups) for _ in range(stage.connections)]
    tasks = []
    for client in clients:
        tasks.append(asyncio.create_task(client.run()))
        await asyncio.sleep(SPREAD_S)
    await asyncio.sleep(RUN_UP_S)
    if standins.TROUBLE:
        stops[machine.name] = record.now()
        machine.signal(signal.SIGTERM)
        record.say(f"{machine.name}: SIGTERM")
        if not await machine.wait_end(stage.grace_s):
            machine.kill()
        record.say(f"{machine.name}: ended after {record.now() - stops[machine.name]:.2f} s")
        await asyncio.wait(tasks, timeout=2.0)
        machine.start()
        await machine.wait_ready()
    else:
        await asyncio.sleep(stage.grace_s)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def play_stage(record, stage):
    record.say(f"{stage.site}: GraceS {stage.grace_s}, lookups take {stage.work_s} s")
    deployment = standins.Deployment(
        record, machines=stage.machines, grace_s=stage.grace_s, touch_ms=stage.touch_ms
    )
    stops, lookups = {}, []
    try:
        routes = {"/look/": ("safe", "book", {"TimeoutMs": stage.timeout_ms})}
        await deployment.start(standins.config(1, routes, ["book"]))
        for number in range(SERVERS):
            await deployment.add_server(
                f"i-{number:04x}", "book", slots=SLOTS, queue=16, work_s=stage.work_s
            )
        await deployment.start_machines()
        await asyncio.sleep(stage.touch_ms / 1000 + 0.5)
        for machine in deployment.machines:
            await stop_one(record, stage, machine, stops, lookups)
        return judge(record, deployment, stops, lookups)
    finally:
        await deployment.close()


async def play(record):
    return any([await play_stage(record, stage) for stage in STAGES])


def judge(record, deployment, stops, lookups):
    """Return whether lookups were passed on and cut though nothing excuses it."""
    runs = {}
    for server in deployment.servers:
        for at, attempt, _ in server.runs:
            runs.setdefault(attempt, []).append((at, server.ended.get(attempt)))
    lost = 0
    for name, stopped_at in stops.items():
        of_machine = [lookup for lookup in lookups if lookup.machine == name]
        cut = [look for look in of_machine if look.status is None and look.attempt in runs]
        excused = [look for look in cut if look.sent_at - stopped_at <= LATEST_EXCUSED_S]
        for look in cut:
            if look not in excused:
                lost += 1
                record.write(
                    f"{name}: lookup {look.attempt}, sent {look.sent_at - stopped_at:.3f} s after"
                    f" SIGTERM, run from {runs[look.attempt][0][0] - stopped_at:.3f} s on"
                    f" ({runs[look.attempt][0][1]}), ended without an answer"
                )
        record.say(
            f"{name}: {len(of_machine)} lookups, {sum(a.status == 200 for a in of_machine)}"
            f" answered 200, cut at a server: {len(excused)} that were sent within 3 s after"
            f" SIGTERM, and {len(cut) - len(excused)} that were sent later"
        )
    served = sum(lookup.status == 200 for lookup in lookups)
    record.say(f"{served} of {len(lookups)} lookups were answered 200, {lost} were lost")
    if not served:
        raise standins.CannotRunError("no lookup was served")
    return lost > 0


if __name__ == "__main__":
    standins.run_case(Path(__file__).resolve().parent, play)
