"""Tests of `toucanctl config`, `exception`, `drain` and `validate`, and of their errors."""

import os
from pathlib import Path
from unittest.mock import patch

from toucanctl.exitcodes import ExitCode
from toucanspindle_core.fleetfile import dump_fleet, load_fleet_file

from tests.configfakes import fleet_config
from tests.ctlfakes import CommandResult, CtlTestCase


class ChangeTestCase(CtlTestCase):
    """A test case whose platform holds generation 1."""

    def setUp(self) -> None:
        super().setUp()
        path = self.write_file(dump_fleet(fleet_config()), "first.toml")
        self.check_succeeded(
            self.run_ctl("config", "apply", str(path), "--why", "first file", "--who", "ann")
        )

    def check_succeeded(self, result: CommandResult) -> CommandResult:
        """Check that a command succeeded and printed nothing to stderr."""
        self.assertEqual((ExitCode.OK, ""), (result.code, result.err))
        return result

    def check_refused(
        self, code: str, *arguments: str, exit_code: ExitCode = ExitCode.REFUSED
    ) -> CommandResult:
        """Check that a command is refused with a code and a remedy, and prints no traceback."""
        result = self.run_ctl(*arguments)
        self.assertEqual(exit_code, result.code, result.err)
        self.assertIn(f"error {code}: ", result.err)
        self.assertIn("\nremedy: ", result.err)
        self.assertNotIn("Traceback", result.err + result.out)
        return result


class ApplyTests(ChangeTestCase):
    """Showing, applying, finding and rolling back configurations."""

    def test_shown_file_can_be_edited_and_applied(self) -> None:
        path = self.folder / "edit.toml"
        self.check_succeeded(self.run_ctl("config", "show", "--output", str(path)))
        text = path.read_text(encoding="utf-8").replace("deadline_ms = 2000", "deadline_ms = 900")
        path.write_text(text, encoding="utf-8")
        dry_run = self.check_succeeded(
            self.run_ctl("config", "dry-run", str(path), "--json")
        ).json()
        self.assertEqual(["lotbook", "yardslots"], dry_run["services"])
        self.assertEqual("defaults.deadline_ms", dry_run["changes"][0]["path"])
        self.check_succeeded(
            self.run_ctl("config", "apply", str(path), "--why", "be faster", "--update-file")
        )
        shown = self.check_succeeded(self.run_ctl("config", "show", "--json")).json()
        self.assertEqual(900, shown["config"]["defaults"]["deadline_ms"])
        self.assertEqual(2, load_fleet_file(path).based_on_generation)

    def test_applying_an_unchanged_file_accepts_no_generation(self) -> None:
        path = str(self.folder / "first.toml")
        result = self.check_succeeded(
            self.run_ctl("config", "apply", path, "--why", "once more", "--based-on", "1")
        )
        self.assertIn("nothing to change", result.out)
        history = self.check_succeeded(self.run_ctl("config", "history", "--json")).json()[
            "history"
        ]
        self.assertEqual([1], [head["generation"] for head in history])

    def test_unwritable_file_is_an_error_and_the_change_stays_accepted(self) -> None:
        directory = str(self.folder)
        self.check_refused("TS213", "config", "show", "--output", directory)
        path = self.write_file(dump_fleet(fleet_config(deadline_ms=900), 1))
        with patch.object(Path, "write_text", side_effect=PermissionError(13, "denied")):
            arguments = ("config", "apply", str(path), "--why", "be faster", "--update-file")
            result = self.check_refused("TS213", *arguments)
        self.assertIn("accepted as generation 2", result.out)
        self.assertIn("set based_on_generation = 2", result.err)

    def test_file_without_base_generation_is_refused(self) -> None:
        path = self.write_file(dump_fleet(fleet_config(deadline_ms=900)))
        result = self.check_refused("TS210", "config", "apply", str(path), "--why", "be faster")
        self.assertIn("generation 1 by ann: first file", result.err)
        self.check_succeeded(
            self.run_ctl("config", "apply", str(path), "--why", "be faster", "--overwrite")
        )

    def test_conflict_error_shows_the_other_change(self) -> None:
        path = self.write_file(dump_fleet(fleet_config(queue_limit=5), 1))
        self.check_succeeded(
            self.run_ctl(
                "config", "set", "deadline_ms", "900", "--why", "be faster", "--who", "bob"
            )
        )
        text = path.read_text(encoding="utf-8")
        arguments = ("config", "apply", str(path), "--why", "shorter queues")
        result = self.check_refused("TS202", *arguments, exit_code=ExitCode.CONFLICT)
        for word in ("bob", "be faster", "defaults.deadline_ms: 2000 -> 900", "--based-on 2"):
            self.assertIn(word, result.err)
        self.assertEqual(text, path.read_text(encoding="utf-8"))

    def test_change_with_lost_platform_answers_is_accepted_once(self) -> None:
        self.server.set_faults(self.server.faults.model_copy(update={"lose_write_answers": 3}))
        self.check_succeeded(
            self.run_ctl("config", "set", "deadline_ms", "900", "--why", "be faster")
        )
        history = self.check_succeeded(self.run_ctl("config", "history", "--json")).json()[
            "history"
        ]
        self.assertEqual([2, 1], [head["generation"] for head in history])
        found = self.check_succeeded(
            self.run_ctl("config", "find", history[0]["change_id"], "--json")
        ).json()
        self.assertEqual((True, 2), (found["accepted"], found["generation"]))

    def test_find_of_unaccepted_change_exits_with_refused(self) -> None:
        self.assertEqual(ExitCode.REFUSED, self.run_ctl("config", "find", "0123456789").code)

    def test_rollback_accepts_old_content_as_new_generation(self) -> None:
        self.check_succeeded(
            self.run_ctl("config", "set", "deadline_ms", "900", "--why", "be faster")
        )
        self.check_succeeded(self.run_ctl("config", "rollback", "--why", "yards complain"))
        shown = self.check_succeeded(self.run_ctl("config", "show", "--json")).json()
        self.assertEqual((3, 2000), _generation_and_deadline(shown))
        self.check_refused("TS205", "config", "rollback", "--to", "9", "--why", "there is none")
        old = self.check_succeeded(
            self.run_ctl("config", "show", "--generation", "2", "--json")
        ).json()
        self.assertEqual((2, 900), _generation_and_deadline(old))


def _generation_and_deadline(shown: dict[str, dict[str, dict[str, int]]]) -> tuple[object, int]:
    return shown["head"]["generation"], shown["config"]["defaults"]["deadline_ms"]


class ExceptionTests(ChangeTestCase):
    """Adding, listing and removing exceptions; draining targets."""

    def test_exception_is_added_listed_and_removed(self) -> None:
        add = ("exception", "add", "lotbook", "deadline_ms=5000", "queue_limit=1")
        self.check_succeeded(
            self.run_ctl(*add, "--reason", "the yard link is slow", "--expires-in", "2h")
        )
        result = self.check_succeeded(self.run_ctl("exception", "list", "--json"))
        item = result.json()["exceptions"][0]
        self.assertEqual({"deadline_ms": 5000, "queue_limit": 1}, item["settings"])
        self.assertIn("the yard link is slow", self.run_ctl("exception", "list", "lotbook").out)
        self.check_refused("TS213", *add, "--reason", "the yard link is slow")
        self.check_succeeded(
            self.run_ctl("exception", "remove", item["id"], "--why", "link is mended")
        )
        self.assertEqual([], self.run_ctl("exception", "list", "--json").json()["exceptions"])

    def test_settings_option_is_not_parsed_as_exception_setting(self) -> None:
        path = str(self.write_file('who = "cleo"\n', "ctl.toml"))
        add = ("exception", "add", "lotbook", "deadline_ms=5000", "--settings", path)
        self.check_succeeded(self.run_ctl(*add, "--reason", "the yard link is slow"))
        history = self.run_ctl("config", "history", "--json").json()["history"]
        self.assertEqual("cleo", history[0]["who"])

    def test_invalid_exceptions_are_refused(self) -> None:
        reason = ("--reason", "the yard link is slow")
        add = ("exception", "add", "lotbook")
        self.check_refused("TS205", "exception", "add", "ledger", "deadline_ms=5000", *reason)
        self.check_refused("TS205", *add, "deadline=5000", *reason)
        self.check_refused("TS101", *add, "deadline_ms=x", *reason)
        self.check_refused("TS213", *add, "deadline_ms", *reason)
        self.check_refused("TS101", *add, "deadline_ms=5000", "--reason", "slow")
        past = ("--expires", "2020-01-01T00:00:00Z")
        self.check_refused("TS213", *add, "deadline_ms=5000", *reason, *past)
        self.check_refused("TS201", *add, "max_attempts=1", "hedge_after_ms=9", *reason)
        self.check_refused("TS213", *add, "deadline_ms=5000", exit_code=ExitCode.USAGE)
        self.check_refused("TS205", "exception", "remove", "nothing", "--why", "not needed")

    def test_target_is_drained_and_undrained(self) -> None:
        result = self.run_ctl("drain", "lotbook/lotbook-0", "--why", "new disk for it")
        self.assertEqual((ExitCode.OK, ""), (result.code, result.err))
        result = self.run_ctl("drain", "lotbook-1", "--why", "new disk for it")
        self.assertIn("2 target(s) that aren't drained, below its floor of 3", result.err)
        targets = self.run_ctl("config", "show", "--json").json()["config"]["services"][0][
            "targets"
        ]
        self.assertEqual([True, True, False, False], [target["drained"] for target in targets])
        self.check_succeeded(self.run_ctl("undrain", "lotbook-1", "--why", "disk is in it"))
        self.check_refused("TS205", "drain", "lotbook-9", "--why", "new disk for it")
        self.check_refused("TS205", "drain", "yardslots/lotbook-1", "--why", "new disk for it")


class ErrorTests(ChangeTestCase):
    """Invalid input and unreachable services end with the right code, remedy and exit code."""

    def test_malformed_or_missing_file_is_refused(self) -> None:
        path = str(self.write_file("fleet = ["))
        for command in (
            ["validate"],
            ["config", "dry-run"],
            ["config", "apply", "--why", "a b c d e"],
        ):
            self.check_refused("TS102", *command, path)
        path = str(self.write_file('fleet = "x"\ntypo = 1\n'))
        self.assertIn("typo = 1", self.check_refused("TS201", "validate", path).err)
        self.check_refused("TS102", "validate", str(self.folder / "absent.toml"))

    def test_unreachable_platform_exits_with_unreachable(self) -> None:
        self.close_platform()
        for command in (["show"], ["history"], ["set", "deadline_ms", "9", "--why", "be faster"]):
            self.check_refused("TS401", "config", *command, exit_code=ExitCode.UNREACHABLE)
        self.check_refused("TS401", "status", exit_code=ExitCode.UNREACHABLE)

    def test_invalid_or_unreachable_addresses_are_errors(self) -> None:
        self.check_refused("TS101", "status", "--platform", "127.0.0.1:7000")
        self.check_refused("TS101", "status", "--platform", "http://127.0.0.1:99999")
        self.check_refused("TS101", "status", "--agent", "localhost:1")
        unused = str(self.unused_address())
        self.check_refused(
            "TS401", "status", "--platform", f"http://{unused}", exit_code=ExitCode.UNREACHABLE
        )
        self.check_refused("TS213", "ask", "lotbook", "--entry", "x:y")
        self.check_refused(
            "TS501", "ask", "lotbook", "--entry", unused, exit_code=ExitCode.UNREACHABLE
        )
        self.check_refused("TS213", "ask", "lotbook", "--entry", str(self.address))

    def test_missing_platform_url_is_an_error(self) -> None:
        del os.environ["TOUCANCTL_PLATFORM"]
        for command in (["status"], ["ask", "lotbook"], ["config", "show"]):
            self.assertIn("No platform is named", self.check_refused("TS213", *command).err)

    def test_invalid_command_lines_are_usage_errors(self) -> None:
        for line in (["frobnicate"], ["config", "apply"], ["status", "--nonsense"]):
            self.check_refused("TS213", *line, exit_code=ExitCode.USAGE)

    def test_settings_file_is_validated_and_used(self) -> None:
        path = self.write_file("platform_url = 'x'\nnonsense = 1\nwait_s = 0\n", "ctl.toml")
        text = self.check_refused("TS101", "status", "--settings", str(path)).err
        self.assertIn("nonsense: unknown key", text)
        self.assertIn("wait_s = 0", text)
        good = self.write_file('who = "cleo"\n', ".toucanctl.toml")
        self.assertTrue(good.exists())
        self.check_succeeded(
            self.run_ctl("config", "set", "deadline_ms", "900", "--why", "be faster")
        )
        history = self.run_ctl("config", "history", "--json").json()["history"]
        self.assertEqual("cleo", history[0]["who"])

    def test_errors_are_printed_as_json(self) -> None:
        result = self.run_ctl("exception", "remove", "nothing", "--why", "not needed", "--json")
        self.assertIn('"code": "TS205"', result.err)
        self.assertEqual("", result.out)
