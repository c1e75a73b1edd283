"""Polls the platform's lagging list of hosts, on the watchers only.

The poller yields agents that may be joined through, and the targets that the list shows as
leaving, as "service/target" names.  The interval grows with the list, so that its bytes stay
bounded.  An agent that isn't a watcher reads the list once, at its start, to find peers.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from toucanspindle_core.errors import PlatformError
from toucanspindle_core.platformclient import HostEntry

from toucanspindle_node.agent_platform import AgentPlatform
from toucanspindle_node.agent_tasks import TaskSet

POLL_INTERVAL_S: Final = 1.0
LIST_BYTES_PER_S: Final = 8000
BYTES_PER_HOST: Final = 130


def leaving_names(hosts: list[HostEntry]) -> frozenset[str]:
    """Return the targets of a list that are leaving."""
    return frozenset(
        f"{host.service}/{host.name}"
        for host in hosts
        if host.role == "target" and host.state == "leaving"
    )


def agent_addresses(hosts: list[HostEntry]) -> set[str]:
    """Return the addresses of the agents in a list."""
    return {host.agent_address for host in hosts if host.role == "entry" and host.agent_address}


class LeavingHosts:
    """Polls the list while `is_polling` says so."""

    def __init__(
        self,
        platform: AgentPlatform,
        is_polling: Callable[[], bool],
        on_list: Callable[[list[HostEntry]], None],
    ) -> None:
        self._platform = platform
        self._is_polling = is_polling
        self._on_list = on_list
        self._tasks = TaskSet()

    async def start(self) -> None:
        """Begin to poll."""
        self._tasks.spawn(self._run())

    async def close(self) -> None:
        """Stop polling."""
        await self._tasks.close()

    async def _run(self) -> None:
        known = False
        interval_s = POLL_INTERVAL_S
        while True:
            if not known or self._is_polling():
                try:
                    hosts = await self._platform.call(lambda client: client.hosts())
                except PlatformError:
                    pass  # the list read last stays in use until it lapses
                else:
                    known = True
                    self._on_list(hosts)
                    interval_s = max(
                        POLL_INTERVAL_S, len(hosts) * BYTES_PER_HOST / LIST_BYTES_PER_S
                    )
            await asyncio.sleep(interval_s)
