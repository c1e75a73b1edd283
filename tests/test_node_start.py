"""A process that can't start reports the cause with a code and a remedy, and exits."""

import socket
from pathlib import Path

import tomli_w
from testtools.matchers import Contains
from toucanspindle_core.hostport import HostPort
from toucanspindle_standins.entrynode import NODE_MODULE, node_settings

from tests.harness import ADDRESSES, ManagedProcess, ProcessTestCase

ADDRESS_SETTINGS = (
    "entry_address",
    "proxy_control_address",
    "agent_address",
    "proxy_link_address",
    "metrics_address",
)
OTHER_HOST = HostPort("192.0.2.1", 8080)


class RefusedStartTests(ProcessTestCase):
    """Addresses that are in use or belong to another host, and unreadable settings."""

    def run_refused_node(self, command: str, path: Path) -> ManagedProcess:
        process = self.start_process(command, NODE_MODULE, command, "--settings", str(path))
        self.assertEqual(1, process.wait())
        self.assertNotIn("Traceback", process.stderr())
        self.assertThat(process.stderr(), Contains("Remedy:"))
        return process

    def settings_file(self, **addresses: HostPort) -> Path:
        address_by_setting = {
            setting: ADDRESSES.allocate() for setting in ADDRESS_SETTINGS
        } | addresses
        settings = node_settings(
            "node-1",
            "beaufort",
            addresses=address_by_setting,
            platform_url="http://127.0.0.1:9",
            seed_agents=[],
            overrides={},
        )
        path = Path(self.folder) / "node.toml"
        path.write_text(tomli_w.dumps(settings.model_dump(exclude_none=True)), encoding="utf-8")
        return path

    def test_address_in_use_is_reported(self) -> None:
        used = ADDRESSES.allocate()
        listener = socket.create_server((used.ip, used.port))
        self.addCleanup(listener.close)
        for command, setting in (
            ("proxy", "entry_address"),
            ("proxy", "proxy_control_address"),
            ("proxy", "metrics_address"),
            ("agent", "agent_address"),
            ("agent", "proxy_link_address"),
            ("agent", "agent_metrics_address"),
        ):
            process = self.run_refused_node(command, self.settings_file(**{setting: used}))
            self.assertIn("TS103", process.stderr(), setting)

    def test_address_of_another_host_is_reported(self) -> None:
        for command, setting in (("proxy", "entry_address"), ("agent", "agent_address")):
            process = self.run_refused_node(command, self.settings_file(**{setting: OTHER_HOST}))
            self.assertIn("TS104", process.stderr(), setting)

    def test_unreadable_settings_are_reported(self) -> None:
        broken = Path(self.folder) / "broken.toml"
        broken.write_text("node = ", encoding="utf-8")
        for path in (broken, Path(self.folder) / "absent.toml"):
            self.assertIn("TS102", self.run_refused_node("proxy", path).stderr())
