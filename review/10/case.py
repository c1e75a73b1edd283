"""A request that crashes its servers comes again and again; meanwhile all machines are killed at
once, twice.  The system must remember that the request has crashed three servers."""

import asyncio
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins_2 as standins  # noqa: E402

MACHINES = 3
SERVERS = 8
CRASH_S = 0.1  # From the begin of the run.
BACK_S = 3.0  # "the server is back after some seconds"
POISON = "/reserve/poison"
MAX_RETRIES = 3  # RULES, BUDGET.
ROUNDS = 2
DOWN_S = 1.0
LAPSE_S = 3 * standins.HEARTBEAT_S  # Of the entry of a crashed server.
GAP_S = 1.0  # Between two sends of the request; the next one waits for the end of the last.


class World:
    def __init__(self, record, deployment):
        self.record = record
        self.deployment = deployment
        self.crashes = []
        self.answers = []
        self.is_paused = True
        self._numbers = itertools.count(SERVERS)
        self._tasks = set()

    def keep(self, task):
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def add_server(self):
        name = f"i-{next(self._numbers):04x}"
        server = await self.deployment.add_server(name, "desk")
        self.watch(server)

    def watch(self, server):
        def on_run(path):
            if path == POISON:
                self.keep(asyncio.create_task(self._crash(server)))

        server.on_run = on_run

    async def _crash(self, server):
        at = self.record.now()
        await asyncio.sleep(CRASH_S)
        await server.end()
        self.crashes.append(at)
        self.record.say(f"{server.name}: crashed by the request ({len(self.crashes)})")
        await asyncio.sleep(BACK_S)
        await self.add_server()
        await asyncio.sleep(LAPSE_S - BACK_S)
        self.deployment.store.remove("servers", server.name)

    async def send_poison(self):
        for number in itertools.count():
            await asyncio.sleep(GAP_S)
            machine = self.deployment.machines[number % MACHINES]
            if self.is_paused or not machine.is_running:
                continue
            await standins.send(
                self.record, machine.front, POISON, "POST", machine=machine.name, body=b"same"
            )

    async def send_ordinary(self):
        for number in itertools.count():
            await asyncio.sleep(0.03)
            machine = self.deployment.machines[number % MACHINES]
            if not machine.is_running:
                continue
            path = f"/reserve/{number}"
            request = standins.send(self.record, machine.front, path, "POST", machine=machine.name)
            task = asyncio.create_task(request)
            task.add_done_callback(lambda task: self.answers.append(task))
            self.keep(task)

    async def restart(self):
        """Kill all machines at once, and start them again."""
        machines = self.deployment.machines
        for machine in machines:
            machine.kill()
        await asyncio.sleep(DOWN_S)
        for machine in machines:
            machine.start()
        for machine in machines:
            await machine.wait_ready()
        self.record.say("all machines were killed at once and have started again")


async def play(record):
    deployment = standins.Deployment(record, machines=MACHINES)
    world = World(record, deployment)
    senders = []
    try:
        routes = {"/reserve/": ("unsafe", "desk", {})}
        await deployment.start(standins.config(1, routes, ["desk"]))
        for number in range(SERVERS):
            world.watch(await deployment.add_server(f"i-{number:04x}", "desk"))
        await deployment.start_machines()
        senders = [
            asyncio.create_task(world.send_ordinary()),
            asyncio.create_task(world.send_poison()),
        ]
        await asyncio.sleep(standins.TOUCH_S + 1)
        world.is_paused = False
        await asyncio.sleep(8)
        if len(world.crashes) < 3:
            raise standins.CannotRunError(f"only {len(world.crashes)} servers crashed")
        counted_from = world.crashes[2] + standins.TOUCH_S
        record.say(f"the third server has crashed at {world.crashes[2]:.1f} s")
        for _ in range(ROUNDS):
            if standins.TROUBLE:
                world.is_paused = True  # Sent only by machines in touch.
                await world.restart()
                await asyncio.sleep(standins.TOUCH_S + 0.5)
                world.is_paused = False
            await asyncio.sleep(8)
        late = [at for at in world.crashes if at > counted_from]
        results = [task.result() for task in world.answers if not task.cancelled()]
        cut = {
            attempt
            for server in deployment.servers
            for attempt, end in server.ended.items()
            if end == "cut"
        }
        record.say(
            f"{len(late)} retries of the request reached servers more than {standins.TOUCH_S} s"
            f" after it had crashed the third; allowed are {MAX_RETRIES}"
        )
        lost = [a for a in results if a.attempt in cut and a.sent_at > counted_from]
        record.say(f"{len(lost)} ordinary reservations were cut by these crashes")
        return len(late) > MAX_RETRIES
    finally:
        for sender in senders:
            sender.cancel()
        await deployment.close()


if __name__ == "__main__":
    standins.run_case(Path(__file__).resolve().parent, play)
