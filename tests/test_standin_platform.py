"""Tests of the stand-in platform through PlatformClient."""

import threading

from toucanspindle_core.errors import ConflictError, PlatformError, PlatformUncertainError
from toucanspindle_core.platformclient import PlatformClient, StoredObject

from tests.harness import ProcessTestCase, get_json, http_call, put_json, wait_until


class PlatformCase(ProcessTestCase):
    """A test case with a platform and a client."""

    def setUp(self) -> None:
        super().setUp()
        self.address = self.start_platform()
        self.client = PlatformClient(f"http://{self.address}")
        self.addCleanup(self.client.close)


class ConditionalUpdateTests(PlatformCase):
    """Conditional updates are applied only to the expected version."""

    def test_version_is_not_reset_by_a_delete(self) -> None:
        self.assertEqual(1, self.client.create("config", "head", {"a": 1}))
        self.assertEqual(2, self.client.replace("config", "head", {"a": 2}, 1))
        self.client.delete("config", "head", 2)
        self.assertIsNone(self.client.read("config", "head"))
        self.assertEqual(3, self.client.create("config", "head", {"a": 3}))
        self.assertEqual([StoredObject("head", 3, {"a": 3})], self.client.list_objects("config"))

    def test_update_of_another_version_is_a_conflict(self) -> None:
        self.client.create("config", "head", 1)
        self.assertRaises(ConflictError, self.client.create, "config", "head", 2)
        self.assertRaises(ConflictError, self.client.replace, "config", "head", 2, 7)
        self.assertRaises(ConflictError, self.client.replace, "config", "none", 2, 1)
        self.assertRaises(ConflictError, self.client.delete, "config", "head", 7)

    def test_large_value_is_refused(self) -> None:
        self.client.create("config", "fits", "x" * 999_998)
        self.assertRaises(PlatformError, self.client.create, "config", "big", "x" * 999_999)
        headers = {"If-None-Match": "*"}
        body = b'"' + b"x" * 999_999 + b'"'
        result = http_call(self.address, "PUT", "/v1/objects/config/big", headers, body)
        self.assertEqual(413, result.status)


class WatchTests(PlatformCase):
    """Watches are long polls that end with a write or after their wait."""

    def test_watch_ends_with_the_write(self) -> None:
        seen: list[StoredObject | None] = []
        watcher = threading.Thread(
            target=lambda: seen.append(self.client.watch("config", "head", 0, 20.0))
        )
        watcher.start()
        wait_until(lambda: get_json(self.address, "/admin/calls")["waiting_watches"] == 1)
        self.client.create("config", "head", "new")
        watcher.join(10)
        self.assertEqual([StoredObject("head", 1, "new")], seen)
        self.assertEqual(0, get_json(self.address, "/admin/calls")["waiting_watches"])

    def test_watch_without_a_change_ends_empty(self) -> None:
        self.client.create("config", "head", 1)
        self.assertIsNone(self.client.watch("config", "head", 1, 0.05))

    def test_waiting_watch_counts_as_one_read(self) -> None:
        self.client.watch("config", "head", 0, 0.05)
        self.client.create("config", "head", 1)
        calls = get_json(self.address, "/admin/calls")
        self.assertEqual((1, 1, 1), (calls["reads"], calls["writes"], calls["watches"]))


class FaultTests(PlatformCase):
    """Injected faults of the platform."""

    def test_answer_is_lost_after_the_write(self) -> None:
        put_json(self.address, "/admin/faults", {"lose_write_answers": 1})
        self.assertRaises(PlatformUncertainError, self.client.create, "config", "head", 1)
        self.assertEqual(StoredObject("head", 1, 1), self.client.read("config", "head"))
        self.assertEqual(2, self.client.replace("config", "head", 2, 1))

    def test_error_fault_fails_calls_until_it_is_removed(self) -> None:
        put_json(self.address, "/admin/faults", {"away": "error"})
        self.assertRaises(PlatformUncertainError, self.client.create, "config", "head", 1)
        put_json(self.address, "/admin/faults", {})
        self.assertEqual(1, self.client.create("config", "head", 1))

    def test_hanging_calls_have_no_effect(self) -> None:
        put_json(self.address, "/admin/faults", {"away": "hang"})
        self.assertRaises(PlatformUncertainError, self.client.create, "config", "head", 1)
        put_json(self.address, "/admin/faults", {})
        self.assertIsNone(self.client.read("config", "head"))

    def test_host_list_lags(self) -> None:
        host = {
            "name": "entry-1",
            "role": "entry",
            "address": "127.0.0.1:1",
            "failure_domain": "beaufort",
            "state": "live",
        }
        put_json(self.address, "/admin/faults", {"host_list_lag_ms": 300_000})
        put_json(self.address, "/admin/hosts", {"hosts": [host]})
        self.assertEqual([], self.client.hosts())
        put_json(self.address, "/admin/faults", {})
        self.assertEqual(["entry-1"], [entry.name for entry in self.client.hosts()])

    def test_earlier_version_is_restored(self) -> None:
        self.client.create("config", "head", "old")
        self.client.replace("config", "head", "new", 1)
        path = "/admin/restore?kind=config&name=head&version=1"
        self.assertEqual(200, http_call(self.address, "POST", path).status)
        self.assertEqual(StoredObject("head", 1, "old"), self.client.read("config", "head"))
