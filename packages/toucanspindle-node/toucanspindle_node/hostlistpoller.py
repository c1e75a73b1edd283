"""Polls the platform's host list, which is updated with a delay.

Only watchers poll the list.  It provides agents through which this agent may join the fleet, and
the targets that are leaving, as "service/target" names.  The poll interval grows with the list,
which bounds the bytes per second.  An agent that isn't a watcher reads the list once, at its start,
to find peers.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from toucanspindle_core.errors import PlatformError
from toucanspindle_core.platformclient import HostEntry

from toucanspindle_node.asyncplatform import AsyncPlatformClient
from toucanspindle_node.taskset import TaskSet

POLL_INTERVAL_S: Final = 1.0
LIST_BYTES_PER_S: Final = 8000
BYTES_PER_HOST: Final = 130


def leaving_target_names(hosts: list[HostEntry]) -> frozenset[str]:
    """Return the names ("service/target") of the targets in state leaving."""
    return frozenset(
        f"{host.service}/{host.name}"
        for host in hosts
        if host.role == "target" and host.state == "leaving"
    )


def agent_addresses(hosts: list[HostEntry]) -> set[str]:
    """Return the agent addresses of the entry hosts in a list."""
    return {host.agent_address for host in hosts if host.role == "entry" and host.agent_address}


class HostListPoller:
    """Reads the host list once, then polls it while `is_polling` returns True."""

    def __init__(
        self,
        platform: AsyncPlatformClient,
        is_polling: Callable[[], bool],
        on_list: Callable[[list[HostEntry]], None],
    ) -> None:
        self._platform = platform
        self._is_polling = is_polling
        self._on_list = on_list
        self._tasks = TaskSet()

    async def start(self) -> None:
        """Start the poll loop."""
        self._tasks.spawn(self._poll_forever())

    async def close(self) -> None:
        """Stop the poll loop."""
        await self._tasks.close()

    async def _poll_forever(self) -> None:
        has_list = False
        interval_s = POLL_INTERVAL_S
        while True:
            if not has_list or self._is_polling():
                try:
                    hosts = await self._platform.call(lambda client: client.hosts())
                except PlatformError:
                    pass  # the last list stays in use
                else:
                    has_list = True
                    self._on_list(hosts)
                    interval_s = max(
                        POLL_INTERVAL_S, len(hosts) * BYTES_PER_HOST / LIST_BYTES_PER_S
                    )
            await asyncio.sleep(interval_s)
