"""Tests of `toucanctl trace` and `toucanctl beliefs` on sample logs of two hosts."""

import io
import json
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path

from testtools import TestCase
from toucanctl.exitcodes import ExitCode
from toucanctl.main import execute

from tests.tempfolder import temporary_folder

HOST_LOG = """\
1780083426.100 INFO node event=started node=edge-1 ip=10.0.0.1 incarnation=aa
1780083426.200 INFO request event=attempt_failed id=r1 ask=aa.1 service=orders target=t1 end=failed\
 sick=0.03 sick_age_ms=40 broker=10.0.0.2 attempt=1 detail='status 500'
1780083426.310 WARNING request event=request_failed id=r1 ask=aa.2 service=orders plan=3 status=503\
 reason=overloaded retry_after_ms=700 sent=1 unsent=0 age_ms=120
not a log line
"""
BROKER_LOG = """\
1780083426.201 INFO broker event=target_distrusted service=orders target=t1 sick_before=0.03\
 sick=0.48 end=failed ask=aa.1
1780083426.305 INFO broker event=slot_refused service=orders ask=aa.2 host=10.0.0.1\
 reason=overloaded waiting=40 in_use=22 work_ms=160 retry_after_ms=700
1780083427.000 INFO request event=attempt_failed id=r2 ask=bb.9 service=orders target=t1 end=failed\
 sick=0.40 sick_age_ms=799 broker=10.0.0.2 attempt=1 detail='status 500'
1780083455.000 INFO request event=attempt_failed id=r3 ask=bb.12 service=orders target=t1 end=shed\
 sick=0.30 sick_age_ms=9000 broker=10.0.0.2 attempt=1 detail='status 503, not run'
"""


def run_ctl(*arguments: str) -> tuple[ExitCode, str, str]:
    out, err = io.StringIO(), io.StringIO()
    with redirect_stdout(out), redirect_stderr(err):
        code = execute(list(arguments))
    return code, out.getvalue(), err.getvalue()


class LogCommandTests(TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = temporary_folder(self)
        self.host_log = folder / "edge-1.log"
        self.broker_log = folder / "edge-2.log"
        self.host_log.write_text(HOST_LOG)
        self.broker_log.write_text(BROKER_LOG)

    def log_files(self) -> tuple[str, str]:
        return str(self.host_log), str(self.broker_log)

    def test_trace_merges_lines_of_host_and_broker(self) -> None:
        code, out, _ = run_ctl("trace", "r1", *self.log_files(), "--json")
        self.assertEqual(ExitCode.OK, code)
        report = json.loads(out)
        events = [(line["source"], line["event"]) for line in report["lines"]]
        expected = [
            ("edge-1", "attempt_failed"),
            ("edge-2", "target_distrusted"),
            ("edge-2", "slot_refused"),
            ("edge-1", "request_failed"),
        ]
        self.assertEqual(expected, events)
        self.assertEqual(["r2"], [line["id"] for line in report["around"]])

    def test_trace_text_shows_age_of_health_estimate(self) -> None:
        _, out, _ = run_ctl("trace", "r1", *self.log_files())
        self.assertIn("sick=0.03 sick_age_ms=40", out)
        self.assertIn("+105 ms  edge-2", out)

    def test_host_name_is_read_from_the_collector_prefix(self) -> None:
        merged = self.host_log.with_name("day.log")
        merged.write_text(
            "".join(f"  0.1 edge-graaff-7 {line}\n" for line in HOST_LOG.splitlines())
        )
        _, out, _ = run_ctl("trace", "r1", str(merged), "--json")
        self.assertEqual({"edge-graaff-7"}, {x["source"] for x in json.loads(out)["lines"]})

    def test_beliefs_returns_the_lines_of_one_target(self) -> None:
        _, out, _ = run_ctl("beliefs", "t1", *self.log_files(), "--json")
        lines = json.loads(out)["lines"]
        self.assertEqual([None, "0.03", None, None], [line.get("sick_before") for line in lines])

    def test_unknown_request_is_an_error_with_a_remedy(self) -> None:
        code, _, err = run_ctl("trace", "nobody", *self.log_files())
        self.assertNotEqual(ExitCode.OK, code)
        self.assertIn("one in 20", err)

    def test_missing_file_is_an_error_with_its_name(self) -> None:
        missing_file = str(Path(self.host_log).with_name("gone.log"))
        code, _, err = run_ctl("trace", "r1", missing_file)
        self.assertNotEqual(ExitCode.OK, code)
        self.assertIn("gone.log", err)
