"""Tests of the time limit for revoked keys with running entry processes."""

import time
from functools import partial
from typing import Final

from testtools import TestCase
from toucanspindle_core.hostport import HostPort
from toucanspindle_standins.httpcall import http_call
from toucanspindle_standins.processes import wait_until

from deployedfleet import DeployedFleet
from platformsettings import METRICS_PORT
from tests.tempfolder import temporary_folder

REVOKE_S: Final = 5.0


class RevocationTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        bounds = f"StrictRevoke = true\nRevokeMs = {int(REVOKE_S * 1000)}"
        self.fleet = DeployedFleet(temporary_folder(self), hosts=3, targets=2, bounds=bounds)
        self.addCleanup(self.fleet.close)
        self.fleet.start()
        self.fleet.put_plan(2, {"blue": ["key-1", "key-2"]})
        for host in range(3):
            self.wait_for_status(host, "key-0", 401)

    def wait_for_status(self, host: int, key: str, status: int) -> None:
        """Wait until a request with a key is answered with a status."""
        wait_until(lambda: self.call(host, key) == status, what=f"host {host} answers {status}")

    def is_logged(self, host: int, line: str) -> bool:
        return line in self.fleet.log(host)

    def call(self, host: int, key: str) -> int:
        return self.fleet.request(host, "/lookup/1", X_Credential=key).status

    # Guards against a host that serves a revoked key because it was suspended or cut off.
    def test_suspended_host_refuses_keys_until_it_knows_the_newest_plan(self) -> None:
        self.fleet.processes[0].pause()
        self.fleet.put_plan(3, {"blue": ["key-2"]})
        revoked_at = time.monotonic()
        self.wait_for_status(1, "key-1", 401)
        self.fleet.call_in_loop(lambda: self.fleet.store.set_outage("busy"))
        wait_until(lambda: time.monotonic() - revoked_at > REVOKE_S, what="the bound has passed")
        self.fleet.processes[0].resume()
        for _ in range(20):
            self.assertIn(self.call(0, "key-1"), {401, 503})
        self.fleet.call_in_loop(lambda: self.fleet.store.set_outage("no"))
        for host in range(3):
            self.wait_for_status(host, "key-2", 200)
            self.assertEqual(401, self.call(host, "key-1"))

    # Guards against a plan that is refused, and yet ends the use of the one in force.
    def test_inconsistent_plan_changes_nothing(self) -> None:
        self.fleet.put_plan(3, {"blue": ["key-1"], "green": ["key-1"]})
        refused_at = time.monotonic()
        wait_until(lambda: time.monotonic() - refused_at > 2 * REVOKE_S, what="the bound passes")
        self.assertEqual([200] * 3, [self.call(host, "key-2") for host in range(3)])
        self.fleet.put_plan(4, {"blue": ["key-2"]})
        for host in range(3):
            self.wait_for_status(host, "key-1", 401)
            self.assertEqual(200, self.call(host, "key-2"))
            self.assertNotIn("key-", self.fleet.log(host))
        logs = "".join(self.fleet.log(host) for host in range(3))
        self.assertIn("event=plan_refused name='main' reason=", logs)

    # Guards against a host that stops public routes, or its readiness, along with the keys.
    def test_fleet_without_its_store_refuses_keys_and_serves_public_routes(self) -> None:
        self.fleet.call_in_loop(lambda: self.fleet.store.set_outage("silent"))
        for host in range(3):
            self.wait_for_status(host, "key-1", 503)
            self.assertEqual(200, self.fleet.request(host, "/reserve/1", "POST").status)
            self.assertEqual(404, self.fleet.request(host, "/nothing/").status)
            self.assertTrue(self.fleet.is_ready(host))
            line = "event=account_keys_unconfirmed version=2"
            wait_until(partial(self.is_logged, host, line), what=f"host {host} logs {line}")
        address = HostPort(self.fleet.ips[0], METRICS_PORT)
        text = http_call(address, "GET", "/metrics").body.decode()
        self.assertRegex(text, r"toucanspindle_entry_plan_age_seconds [2-9]\.")
        self.assertRegex(text, r"toucanspindle_entry_keys_unconfirmed_total [1-9]")
