"""Runs one entry node as two processes, an agent and a proxy, with a common settings file."""

from pathlib import Path
from typing import Any, Final

import tomli_w
from toucanspindle_core.hostport import HostPort
from toucanspindle_core.processsettings import ProcessSettings

from toucanspindle_standins.processes import ManagedProcess, listens, wait_until

NODE_MODULE: Final = "toucanspindle_node.main"


class EntryNode:
    """The agent and the proxy of one entry node.

    Invariant: both processes read the same settings file, also after a restart.
    """

    def __init__(self, settings: ProcessSettings, folder: Path) -> None:
        """Write the settings file to `folder`; no process is started."""
        self.settings = settings
        self.settings_path = folder / f"{settings.node}.toml"
        text = tomli_w.dumps(settings.model_dump(exclude_none=True))
        self.settings_path.write_text(text, encoding="utf-8")
        self.agent = self._managed_process("agent", folder)
        self.proxy = self._managed_process("proxy", folder)

    @property
    def name(self) -> str:
        """The node's name in its settings."""
        return self.settings.node

    @property
    def entry(self) -> HostPort:
        """Address at which callers connect."""
        return HostPort.parse(self.settings.entry_address)

    @property
    def pids(self) -> list[int]:
        """Ids of the processes that are running."""
        return [p.pid for p in (self.agent, self.proxy) if p.running]

    def start(self) -> None:
        """Start both processes without waiting until they listen."""
        self.agent.start()
        self.proxy.start()

    def wait_listening(self) -> None:
        """Wait until both processes listen.

        Raise AssertionError if a process ends before, WaitTimeoutError after the default timeout.
        """
        self._wait_listening(self.agent, HostPort.parse(self.settings.proxy_link_address))
        self._wait_listening(self.proxy, HostPort.parse(self.settings.entry_bind_address))

    def kill(self) -> None:
        """Kill both processes with SIGKILL, to simulate a host failure."""
        self.proxy.kill()
        self.agent.kill()

    def close(self) -> None:
        """Kill both processes if they run."""
        for process in (self.proxy, self.agent):
            process.close()

    def _managed_process(self, command: str, folder: Path) -> ManagedProcess:
        argv = [NODE_MODULE, command, "--settings", str(self.settings_path)]
        return ManagedProcess(f"{self.name}-{command}", argv, folder)

    def _wait_listening(self, process: ManagedProcess, address: HostPort) -> None:
        def ready() -> bool:
            if not process.running:
                raise AssertionError(f"{process.name} ended: {process.stderr()}")
            return listens(address)

        wait_until(ready, what=f"{process.name} listens at {address}")


def node_settings(
    name: str,
    failure_domain: str,
    *,
    addresses: dict[str, HostPort],
    platform_url: str,
    seed_agents: list[HostPort],
    overrides: dict[str, Any],
) -> ProcessSettings:
    """Return the settings of a node.

    `addresses` maps names of address settings, such as entry_address, to addresses.  `overrides`
    are further settings; they take precedence.
    """
    values: dict[str, Any] = {
        "node": name,
        "failure_domain": failure_domain,
        "platform_url": platform_url,
        "seed_agents": [str(address) for address in seed_agents],
    }
    values |= {setting: str(address) for setting, address in addresses.items()}
    return ProcessSettings.model_validate(values | overrides)
