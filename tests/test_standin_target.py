"""Tests of the stand-in targets: the contract of targets, injected faults and the run log."""

import json
import threading
from pathlib import Path
from typing import Any

from toucanspindle_core.hostport import HostPort
from toucanspindle_standins.httpserver import HttpRequest
from toucanspindle_standins.runlog import RunLog, read_run_file
from toucanspindle_standins.targetfaults import account_bucket

from tests.harness import (
    ADDRESSES,
    BrokenAnswerError,
    HttpResult,
    ProcessTestCase,
    get_json,
    http_call,
    put_json,
    wait_until,
)


class TargetCase(ProcessTestCase):
    """A test case with one target that has one slot."""

    service_ms = 1.0
    queue_limit = 1

    def setUp(self) -> None:
        super().setUp()
        self.process, self.address = self.start_target(
            "lotbook-1", slots=1, service_ms=self.service_ms, queue_limit=self.queue_limit
        )

    def send_lookup(self, request_id: str, **headers: str) -> HttpResult:
        """Send one lookup and return its answer."""
        sent = {"Request-Id": request_id, "Toucan-Account": "yard-1"} | headers
        return http_call(self.address, "GET", "/lots/1", sent)

    def call_in_thread(self, request_id: str, **headers: str) -> tuple[threading.Thread, list[Any]]:
        """Send one lookup in a new thread, which appends the answer to the returned list."""
        answers: list[Any] = []
        thread = threading.Thread(
            target=lambda: answers.append(self.send_lookup(request_id, **headers))
        )
        thread.start()
        return thread, answers

    def set_faults(self, **faults: Any) -> None:
        """Replace all faults of the target."""
        put_json(self.address, "/admin/faults", faults)

    def health(self) -> Any:
        """Return the JSON body of the health endpoint."""
        return http_call(self.address, "GET", "/.target/health").json()

    def run_ids(self) -> list[str]:
        """Return the request ids of all logged runs."""
        return [run["request_id"] for run in get_json(self.address, "/admin/log")["runs"]]


class ContractTests(TargetCase):
    """Behaviour of a target without faults."""

    def test_answer_names_its_request(self) -> None:
        headers = {"Request-Id": "r-1", "Toucan-Account": "yard-9", "Idempotency-Key": "k-1"}
        answer = http_call(self.address, "POST", "/reservations", headers, b"lot 7")
        self.assertEqual("r-1", answer.headers["request-id"])
        body = answer.json()
        named = (body["request_id"], body["account"], body["key"], body["run"])
        self.assertEqual(("r-1", "yard-9", "k-1", 1), named)
        [run] = read_run_file(self.folder / "lotbook-1.log")
        self.assertEqual((body["body_digest"], "k-1"), (run.body_digest, run.key))
        self.assertGreater(run.finished, 0)

    def test_sigterm_lets_a_running_request_finish(self) -> None:
        self.set_faults(slow_factor=300)
        thread, answers = self.call_in_thread("r-1")
        wait_until(lambda: self.health()["running"] == 1)
        self.process.terminate()
        thread.join(10)
        self.assertEqual(200, answers[0].status)
        self.assertEqual("1", answers[0].headers["target-draining"])
        self.assertEqual(0, self.process.wait())


class QueueTests(TargetCase):
    """Load shedding, deadlines and cancellation while the first request occupies the only slot."""

    service_ms = 1500.0

    def test_full_target_sheds_and_does_not_run(self) -> None:
        first, _ = self.call_in_thread("r-1")
        wait_until(lambda: self.health()["running"] == 1)
        second, _ = self.call_in_thread("r-2")
        wait_until(lambda: self.health()["queued"] == 1)
        shed = self.send_lookup("r-3")
        self.assertEqual((503, "not-run"), (shed.status, shed.headers["target-outcome"]))
        first.join(10)
        second.join(10)
        self.assertEqual(["r-1", "r-2"], self.run_ids())

    def test_queued_request_past_its_deadline_is_not_run(self) -> None:
        first, _ = self.call_in_thread("r-1")
        wait_until(lambda: self.health()["running"] == 1)
        expired = self.send_lookup("r-2", **{"Deadline-Ms": "20"})
        self.assertEqual((503, "not-run"), (expired.status, expired.headers["target-outcome"]))
        first.join(10)
        self.assertEqual(["r-1"], self.run_ids())

    def test_cancel_returns_the_state_of_the_request(self) -> None:
        first, _ = self.call_in_thread("r-1")
        wait_until(lambda: self.health()["running"] == 1)
        second, answers = self.call_in_thread("r-2")
        wait_until(lambda: self.health()["queued"] == 1)
        self.assertEqual("running", self.cancel("r-1"))
        self.assertEqual("cancelled-before-run", self.cancel("r-2"))
        self.assertEqual("unknown", self.cancel("r-3"))
        first.join(10)
        second.join(10)
        self.assertEqual("done", self.cancel("r-1"))
        self.assertEqual("not-run", answers[0].headers["target-outcome"])
        self.assertEqual(["r-1"], self.run_ids())

    def cancel(self, request_id: str) -> str:
        """Cancel a request and return the state that the target reports."""
        path = f"/.target/requests/{request_id}"
        return str(http_call(self.address, "DELETE", path).json()["state"])


class FaultTests(TargetCase):
    """Injected faults of a target."""

    def test_only_accounts_of_the_bucket_get_wrong_answers(self) -> None:
        accounts = [f"yard-{number}" for number in range(40)]
        self.set_faults(wrong_account_bucket=account_bucket("yard-3", 4), account_buckets=4)
        wrong = {
            a for a in accounts if self.send_lookup("r", **{"Toucan-Account": a}).status == 500
        }
        bucket = account_bucket("yard-3", 4)
        self.assertEqual({a for a in accounts if account_bucket(a, 4) == bucket}, wrong)
        self.assertEqual("ok", self.health()["status"])

    def test_crossed_answer_carries_the_previous_id(self) -> None:
        self.send_lookup("r-1")
        self.set_faults(crossed_share=1)
        self.assertEqual("r-1", self.send_lookup("r-2").headers["request-id"])

    def test_client_rejects_answers_with_damaged_framing(self) -> None:
        for fault in ("cut", "broken-chunk", "length-too-long"):
            self.set_faults(answer_fault=fault)
            with self.assertRaises(BrokenAnswerError):
                http_call(self.address, "GET", "/lots/1", timeout_s=0.5)
        self.set_faults(answer_fault="length-too-short")
        self.assertRaises(json.JSONDecodeError, self.send_lookup("r-1").json)

    def test_run_of_a_reset_answer_is_logged(self) -> None:
        self.set_faults(reset_after_run_share=1)
        self.assertRaises(BrokenAnswerError, self.send_lookup, "r-1")
        self.set_faults(reset_before_run_share=1)
        self.assertRaises(BrokenAnswerError, self.send_lookup, "r-2")
        self.set_faults()
        self.assertEqual(["r-1"], self.run_ids())

    def test_crash_leaves_the_start_in_the_log_file(self) -> None:
        self.set_faults(crash_marker="poison")
        self.assertRaises(BrokenAnswerError, self.send_lookup, "r-1", **{"Note": "poison"})
        self.assertEqual(70, self.process.wait())
        [run] = read_run_file(self.folder / "lotbook-1.log")
        self.assertEqual(("r-1", 0.0), (run.request_id, run.finished))


class FleetTargetsTests(ProcessTestCase):
    """Targets of a fleet file that share one process."""

    def test_each_target_has_its_own_address_and_faults(self) -> None:
        names = [f"lotbook-{number}" for number in range(1, 5)]
        fleet, addresses = write_fleet(self.folder, names)
        argv = ("toucanspindle_standins.main", "targets", "--fleet", str(fleet))
        process = self.start_process("targets", *argv, ready_at=addresses[-1])
        put_json(addresses[0], "/admin/faults", {"crash_marker": "bad", "crash_restart_ms": 50})
        self.assertRaises(BrokenAnswerError, http_call, addresses[0], "GET", "/lots/bad")
        answer = http_call(addresses[1], "GET", "/lots/bad")
        self.assertEqual("lotbook-2", answer.json()["target"])
        wait_until(lambda: http_call(addresses[0], "GET", "/lots/1").status == 200)
        self.assertTrue(process.running)


def write_fleet(folder: Path, names: list[str]) -> tuple[Path, list[HostPort]]:
    """Write a fleet file with one service; return its path and the addresses of its targets."""
    addresses = [ADDRESSES.allocate() for _ in names]
    lines = ['fleet = "karoo"', 'failure_domains = ["beaufort"]', "[[services]]"]
    lines += ['name = "lotbook"', "[[services.routes]]", 'method = "GET"', 'path_prefix = "/lots"']
    lines += ['operation = "lookup"', "idempotent = true"]
    for name, address in zip(names, addresses, strict=True):
        lines += ["[[services.targets]]", f'name = "{name}"', f'address = "{address}"']
        lines += ['failure_domain = "beaufort"']
    path = folder / "fleet.toml"
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")
    return path, addresses


class RunFileTests(ProcessTestCase):
    """Reading of a run log while the target writes it."""

    def test_incomplete_last_line_is_ignored(self) -> None:
        path = self.folder / "lotbook-1.runs"
        log = RunLog("lotbook-1", path)
        log.start()
        self.addCleanup(log.close)
        log.begin(HttpRequest("GET", "/lotbook/1", "", {}, b""))
        whole = path.read_bytes()
        path.write_bytes(whole + whole[: len(whole) // 2])
        self.assertEqual(["/lotbook/1"], [run.path for run in read_run_file(path)])
