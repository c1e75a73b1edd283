"""Tests of the fault proxy, between a caller and a stand-in target."""

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
    """Starts a target behind two links."""

    def setUp(self) -> None:
        super().setUp()
        _, self.target = self.start_target("lotbook-1", service_ms=1)
        self.link, self.other, self.admin = (ADDRESSES.take() for _ in range(3))
        argv = ["toucanspindle_standins.main", "faultproxy", "--admin", str(self.admin)]
        for link in (self.link, self.other):
            argv += ["--listen", str(link), "--to", str(self.target)]
        self.proxy: ManagedProcess = self.start_process("faults", *argv, ready_at=self.admin)

    def set_rules(self, *rules: dict[str, Any]) -> None:
        """Replace all rules."""
        put_json(self.admin, "/faults", {"rules": list(rules)})

    def strike(self, **faults: Any) -> None:
        """Put faults in force on the first link."""
        self.set_rules({"links": [str(self.link)], "faults": faults})

    def answers(self, address: HostPort) -> bool:
        """Whether a lookup through the address is answered soon."""
        try:
            return http_call(address, "GET", "/lots/1", timeout_s=SHORT_S).status == 200
        except BrokenAnswerError:
            return False

    def runs(self) -> int:
        """Return the number of runs at the target."""
        return len(get_json(self.target, "/admin/log")["runs"])

    def held(self) -> int:
        """Return the number of connections that a cut holds at the first link."""
        return int(get_json(self.admin, "/stats")["links"][str(self.link)]["held"])


class LinkFaultTests(FaultProxyCase):
    """Each fault strikes its link and no other."""

    def test_without_faults_bytes_pass(self) -> None:
        self.assertTrue(self.answers(self.link))

    def test_refuse_and_back(self) -> None:
        self.strike(refuse=True)
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection((self.link.ip, self.link.port))
        self.assertTrue(self.answers(self.other))
        self.set_rules()
        self.assertTrue(self.answers(self.link))

    def test_lost_answer_was_run(self) -> None:
        self.strike(lose_answers=1)
        self.assertFalse(self.answers(self.link))
        self.assertEqual(1, self.runs())
        self.assertTrue(self.answers(self.link))

    def test_rest_of_a_request_is_held_and_delivered_late(self) -> None:
        self.strike(hold_request_after_bytes=10)
        self.assertFalse(self.answers(self.link))
        self.assertEqual((1, 0), (self.held(), self.runs()))
        self.assertTrue(self.answers(self.other))
        self.set_rules()
        wait_until(lambda: self.runs() == 2, what="the target has the whole request")

    def test_answer_is_cut(self) -> None:
        self.strike(cut_answer_after_bytes=100)
        with socket.create_connection((self.link.ip, self.link.port)) as client:
            client.sendall(b"GET /lots/1 HTTP/1.1\r\n\r\n")
            client.settimeout(10)
            data = b"".join(iter(lambda: client.recv(4096), b""))
        self.assertEqual(100, len(data))

    def test_reset_ends_open_connections(self) -> None:
        with socket.create_connection((self.link.ip, self.link.port)) as client:
            wait_until(lambda: get_json(self.admin, "/stats")["links"][str(self.link)]["open"] == 1)
            self.strike(reset=True)
            client.settimeout(10)
            self.assertRaises(ConnectionResetError, client.recv, 1)


class OneWayCutTests(FaultProxyCase):
    """Cuts in one direction hold bytes while connections stay open."""

    def ask(self) -> socket.socket:
        """Open a connection, see one answer on it, and return it."""
        client = socket.create_connection((self.link.ip, self.link.port))
        self.addCleanup(client.close)
        client.settimeout(10)
        self.send(client)
        client.recv(4096)
        return client

    def send(self, client: socket.socket) -> None:
        """Send a lookup."""
        client.sendall(b"GET /lots/1 HTTP/1.1\r\n\r\n")

    def test_answer_is_held_after_the_run(self) -> None:
        client = self.ask()
        self.strike(cut="to-client")
        self.send(client)
        wait_until(lambda: self.held() == 1)
        self.assertEqual(2, self.runs())
        self.assertFalse(self.answers(self.link))
        self.set_rules()
        self.assertIn(b"200 OK", client.recv(4096))

    def test_request_is_held_before_the_run(self) -> None:
        client = self.ask()
        self.strike(cut="to-server", on_heal="reset")
        self.send(client)
        wait_until(lambda: self.held() == 1)
        self.assertEqual(1, self.runs())
        self.set_rules()
        self.assertRaises(ConnectionResetError, client.recv, 1)
        self.assertEqual(1, self.runs())

    def test_rule_can_name_the_process_that_connects(self) -> None:
        first, second = (ADDRESSES.take() for _ in range(2))
        pids: dict[str, list[int]] = {}
        for name, listen in (("first", first), ("second", second)):
            argv = ["toucanspindle_standins.main", "faultproxy", "--admin", str(ADDRESSES.take())]
            argv += ["--listen", str(listen), "--to", str(self.link)]
            process = self.start_process(name, *argv, ready_at=listen)
            pids[name] = [process.pid]
        put_json(self.admin, "/sources", pids)
        self.set_rules({"sources": ["first"], "faults": {"cut": "both"}})
        self.assertFalse(self.answers(first))
        self.assertTrue(self.answers(second))
