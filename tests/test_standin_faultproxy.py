"""Tests of the fault proxy between a caller and a stand-in target."""

import socket
from typing import Any

from toucanspindle_core.hostport import HostPort

from tests.harness import (
    ADDRESSES,
    BrokenAnswerError,
    ManagedProcess,
    ProcessTestCase,
    get_json,
    http_call,
    put_json,
    wait_until,
)

SHORT_S = 0.3


class FaultProxyCase(ProcessTestCase):
    """A test case with a target behind two links."""

    def setUp(self) -> None:
        super().setUp()
        _, self.target = self.start_target("lotbook-1", service_ms=1)
        self.link, self.other, self.admin = (ADDRESSES.allocate() for _ in range(3))
        argv = ["toucanspindle_standins.main", "faultproxy", "--admin", str(self.admin)]
        for link in (self.link, self.other):
            argv += ["--listen", str(link), "--to", str(self.target)]
        self.proxy: ManagedProcess = self.start_process("faults", *argv, ready_at=self.admin)

    def set_rules(self, *rules: dict[str, Any]) -> None:
        """Replace all rules."""
        put_json(self.admin, "/faults", {"rules": list(rules)})

    def set_link_faults(self, **faults: Any) -> None:
        """Set the faults of the first link."""
        self.set_rules({"links": [str(self.link)], "faults": faults})

    def is_answered(self, address: HostPort) -> bool:
        """Whether a lookup at the address is answered with 200 within SHORT_S seconds."""
        try:
            return http_call(address, "GET", "/lots/1", timeout_s=SHORT_S).status == 200
        except BrokenAnswerError:
            return False

    def run_count(self) -> int:
        """Return the number of runs at the target."""
        return len(get_json(self.target, "/admin/log")["runs"])

    def held_connections(self) -> int:
        """Return the number of connections that the proxy holds on the first link."""
        return int(get_json(self.admin, "/stats")["links"][str(self.link)]["held"])


class LinkFaultTests(FaultProxyCase):
    """Each fault affects its own link only."""

    def test_lookup_is_answered_without_faults(self) -> None:
        self.assertTrue(self.is_answered(self.link))

    def test_refused_link_accepts_again_without_the_rule(self) -> None:
        self.set_link_faults(refuse=True)
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection((self.link.ip, self.link.port))
        self.assertTrue(self.is_answered(self.other))
        self.set_rules()
        self.assertTrue(self.is_answered(self.link))

    def test_request_of_a_lost_answer_has_run(self) -> None:
        self.set_link_faults(lose_answers=1)
        self.assertFalse(self.is_answered(self.link))
        self.assertEqual(1, self.run_count())
        self.assertTrue(self.is_answered(self.link))

    def test_rest_of_a_request_is_held_and_delivered_late(self) -> None:
        self.set_link_faults(hold_request_after_bytes=10)
        self.assertFalse(self.is_answered(self.link))
        self.assertEqual((1, 0), (self.held_connections(), self.run_count()))
        self.assertTrue(self.is_answered(self.other))
        self.set_rules()
        wait_until(lambda: self.run_count() == 2, what="the target has run the held request")

    def test_answer_is_truncated_at_the_configured_length(self) -> None:
        self.set_link_faults(cut_answer_after_bytes=100)
        with socket.create_connection((self.link.ip, self.link.port)) as client:
            client.sendall(b"GET /lots/1 HTTP/1.1\r\n\r\n")
            client.settimeout(10)
            data = b"".join(iter(lambda: client.recv(4096), b""))
        self.assertEqual(100, len(data))

    def test_open_connection_is_reset(self) -> None:
        with socket.create_connection((self.link.ip, self.link.port)) as client:
            wait_until(lambda: get_json(self.admin, "/stats")["links"][str(self.link)]["open"] == 1)
            self.set_link_faults(reset=True)
            client.settimeout(10)
            self.assertRaises(ConnectionResetError, client.recv, 1)


class OneWayCutTests(FaultProxyCase):
    """A cut in one direction holds bytes while connections stay open."""

    def open_connection(self) -> socket.socket:
        """Open a connection through the first link, receive one answer and return it."""
        client = socket.create_connection((self.link.ip, self.link.port))
        self.addCleanup(client.close)
        client.settimeout(10)
        self.send_lookup(client)
        client.recv(4096)
        return client

    def send_lookup(self, client: socket.socket) -> None:
        """Send a lookup without reading its answer."""
        client.sendall(b"GET /lots/1 HTTP/1.1\r\n\r\n")

    def test_answer_is_held_after_the_run(self) -> None:
        client = self.open_connection()
        self.set_link_faults(cut="to-client")
        self.send_lookup(client)
        wait_until(lambda: self.held_connections() == 1)
        self.assertEqual(2, self.run_count())
        self.assertFalse(self.is_answered(self.link))
        self.set_rules()
        self.assertIn(b"200 OK", client.recv(4096))

    def test_request_is_held_before_the_run(self) -> None:
        client = self.open_connection()
        self.set_link_faults(cut="to-server", on_heal="reset")
        self.send_lookup(client)
        wait_until(lambda: self.held_connections() == 1)
        self.assertEqual(1, self.run_count())
        self.set_rules()
        self.assertRaises(ConnectionResetError, client.recv, 1)
        self.assertEqual(1, self.run_count())

    def test_rule_applies_only_to_connections_of_its_source(self) -> None:
        first, second = (ADDRESSES.allocate() for _ in range(2))
        pids: dict[str, list[int]] = {}
        for name, listen in (("first", first), ("second", second)):
            argv = [
                "toucanspindle_standins.main",
                "faultproxy",
                "--admin",
                str(ADDRESSES.allocate()),
            ]
            argv += ["--listen", str(listen), "--to", str(self.link)]
            process = self.start_process(name, *argv, ready_at=listen)
            pids[name] = [process.pid]
        put_json(self.admin, "/sources", pids)
        self.set_rules({"sources": ["first"], "faults": {"cut": "both"}})
        self.assertFalse(self.is_answered(first))
        self.assertTrue(self.is_answered(second))
