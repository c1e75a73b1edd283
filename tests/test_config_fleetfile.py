"""Tests of the rules, reading, writing and comparison of fleet configurations."""

import tempfile
import tomllib
from pathlib import Path
from typing import Any

from testtools import TestCase
from toucanspindle_core.configrules import find_faults
from toucanspindle_core.errors import SettingsError
from toucanspindle_core.fleetconfig import FleetConfig
from toucanspindle_core.fleetdiff import compare_configs
from toucanspindle_core.fleetfile import (
    dump_fleet,
    load_fleet_file,
    parse_fleet,
    write_base_generation,
)
from toucanspindle_core.processsettings import load_process_settings

from tests.configfakes import fleet_config, fleet_values, service_values

EXAMPLES = Path(__file__).parent.parent / "examples"


def exception_values(**changes: Any) -> dict[str, Any]:
    """Return the values of a valid exception for the lotbook service, with some changed."""
    values = {"id": "slow-yard", "service": "lotbook", "reason": "the yard link is slow"}
    return {**values, "settings": {"deadline_ms": 5000}, **changes}


class RuleTests(TestCase):
    """Rules between the values of a configuration."""

    def _fault_paths(self, values: dict[str, Any]) -> list[str]:
        faults = find_faults(FleetConfig.model_validate(values))
        return [".".join(str(step) for step in fault.path) for fault in faults]

    def test_valid_configuration_has_no_faults(self) -> None:
        values = {**fleet_values(), "exceptions": [exception_values()]}
        self.assertEqual([], self._fault_paths(values))

    def test_duplicate_and_unknown_names_are_faults(self) -> None:
        values = fleet_values()
        values["failure_domains"] = ["beaufort", "beaufort"]
        values["services"].append(service_values("lotbook", 1))
        values["services"][1]["targets"][0]["failure_domain"] = "bole"
        values["exceptions"] = [
            exception_values(service="ledger"),
            exception_values(settings={}),
        ]
        values["account_classes"] = [
            {"name": "yards", "accounts": ["a1", "a2"]},
            {"name": "default", "accounts": ["a1"]},
        ]
        paths = self._fault_paths(values)
        expected = {
            "failure_domains.1",
            "services.2.name",
            "services.2.targets.0.name",
            "services.2.targets.0.address",
            "services.2.routes.0",
            "services.1.targets.0.failure_domain",
            "exceptions.0.service",
            "exceptions.1.id",
            "exceptions.1.settings",
            "account_classes.1.name",
            "account_classes.1.accounts.0",
        }
        self.assertEqual(set(), expected - set(paths))

    def test_settings_valid_alone_may_conflict_when_merged(self) -> None:
        cases: list[tuple[dict[str, Any], dict[str, Any], str]] = [
            ({"hedge_after_ms": 1500}, {"deadline_ms": 1000}, "hedge_after_ms"),
            ({"hedge_after_ms": 50}, {"max_attempts": 1}, "hedge_after_ms"),
            ({"fan_in": 20}, {"connections_per_target": 30}, "connections_per_target"),
            ({"connections_per_target": 1}, {"slots_per_target": 9}, "connections_per_target"),
            ({}, {"capacity_floor_percent": 80}, "capacity_floor_percent"),
        ]
        for defaults, settings, setting in cases:
            alone = fleet_values(**defaults)
            self.assertEqual([], self._fault_paths(alone))
            together = {**alone, "exceptions": [exception_values(settings=settings)]}
            self.assertEqual([f"merged settings.lotbook.{setting}"], self._fault_paths(together))

    def test_settings_are_checked_after_the_expiry_of_an_exception(self) -> None:
        values = fleet_values(hedge_after_ms=1500, deadline_ms=1000)
        expiring = [
            exception_values(expires="2099-01-01T00:00:00Z"),
            exception_values(id="other", service="yardslots"),
        ]
        self.assertEqual(
            ["merged settings.lotbook.hedge_after_ms"],
            self._fault_paths({**values, "exceptions": expiring}),
        )


class FaultReportTests(TestCase):
    """All faults of a file are reported together."""

    def _error_text(self, values: dict[str, Any]) -> str:
        error = self.assertRaises(SettingsError, parse_fleet, values, "fleet.toml")
        return str(error.text)

    def test_model_and_rule_faults_are_reported_with_paths_in_the_file(self) -> None:
        values = fleet_values(deadline_ms=1, nonsense=3)
        values["services"].insert(0, {"name": "broken", "targets": []})
        values["services"][1]["targets"][0]["address"] = "localhost:1"
        values["services"][1]["targets"][2]["address"] = "127.9.1.2:8041"
        values["exceptions"] = [exception_values(service="ledger")]
        text = self._error_text(values)
        for line in (
            "defaults.deadline_ms = 1: ",
            "defaults.nonsense = 3: ",
            "services.0(broken).routes = None: ",
            "services.0(broken).targets = 'list of 0'",
            "services.1(lotbook).targets.0(lotbook-0).address = 'localhost:1'",
            "services.1(lotbook).targets.2(lotbook-2).address = '127.9.1.2:8041'",
            "first at services.1(lotbook).targets.1(lotbook-1).address",
            "exceptions.0(slow-yard).service = 'ledger'",
        ):
            self.assertIn(line, text)
        self.assertIn("fleet.toml has 7 wrong value(s)", text)

    def test_reference_to_a_removed_invalid_value_is_no_fault(self) -> None:
        values = fleet_values()
        values["services"][0]["routes"] = []
        values["exceptions"] = [exception_values()]
        self.assertIn("has 1 wrong value(s)", self._error_text(values))
        values = fleet_values()
        values["failure_domains"] = ["Beaufort"]
        self.assertIn("has 1 wrong value(s)", self._error_text(values))

    def test_values_of_wrong_types_are_reported(self) -> None:
        for key in ("services", "exceptions", "defaults", "account_classes", "failure_domains"):
            for value in (3, "x", [3], {"a": 1}):
                values = {**fleet_values(), key: value}
                self.assertIn(key, self._error_text(values))

    def test_invalid_base_generation_is_reported_with_other_faults(self) -> None:
        text = self._error_text({**fleet_values(deadline_ms=1), "based_on_generation": "x"})
        self.assertIn("based_on_generation = 'x'", text)
        self.assertIn("defaults.deadline_ms = 1", text)


class WriteTests(TestCase):
    """Writing configuration files and their base generation."""

    def _file(self, text: str) -> Path:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = Path(directory.name) / "fleet.toml"
        path.write_text(text, encoding="utf-8")
        return path

    def test_written_file_is_read_back(self) -> None:
        config = FleetConfig.model_validate(
            {**fleet_values(), "exceptions": [exception_values(expires="2099-01-01T00:00:00Z")]}
        )
        loaded = load_fleet_file(self._file(dump_fleet(config, 7)))
        self.assertEqual((config, 7), (loaded.config, loaded.based_on_generation))

    def test_base_generation_is_set_and_other_lines_are_kept(self) -> None:
        path = self._file("# comment\nbased_on_generation = 1\n" + dump_fleet(fleet_config()))
        write_base_generation(path, 12)
        self.assertEqual(12, load_fleet_file(path).based_on_generation)
        self.assertIn("# comment\n", path.read_text(encoding="utf-8"))
        path = self._file("# comment\n" + dump_fleet(fleet_config()))
        write_base_generation(path, 3)
        self.assertEqual(3, load_fleet_file(path).based_on_generation)

    def test_unreadable_file_raises_settings_error(self) -> None:
        path = self._file("fleet = [")
        error = self.assertRaises(SettingsError, load_fleet_file, path)
        self.assertEqual("TS102", error.code.name)
        self.assertRaises(SettingsError, load_fleet_file, path.parent / "absent.toml")


class DiffTests(TestCase):
    """Changes and affected services between two configurations."""

    def test_changed_default_affects_only_services_without_an_exception(self) -> None:
        exceptions = [exception_values()]
        before = FleetConfig.model_validate({**fleet_values(), "exceptions": exceptions})
        after = FleetConfig.model_validate(
            {**fleet_values(deadline_ms=900), "exceptions": exceptions}
        )
        diff = compare_configs(before, after)
        self.assertEqual(
            ["~ defaults.deadline_ms: 2000 -> 900"], [str(change) for change in diff.changes]
        )
        self.assertEqual(("yardslots",), diff.services)

    def test_added_removed_and_changed_values_are_listed(self) -> None:
        before = fleet_config()
        values = fleet_values()
        values["services"][0]["targets"][0]["drained"] = True
        del values["services"][1]["targets"][3]
        values["exceptions"] = [exception_values()]
        diff = compare_configs(before, FleetConfig.model_validate(values))
        lines = "\n".join(str(change) for change in diff.changes)
        self.assertIn("~ services.lotbook.targets.lotbook-0.drained: False -> True", lines)
        self.assertIn("- services.yardslots.targets.yardslots-3, was {address", lines)
        self.assertIn("+ exceptions.slow-yard = {service 'lotbook'", lines)
        self.assertEqual(("lotbook", "yardslots"), diff.services)

    def test_changed_order_of_exceptions_is_a_difference(self) -> None:
        pair = [exception_values(), exception_values(id="other", settings={"deadline_ms": 9})]
        pair[1]["settings"] = {"deadline_ms": 900}
        before = FleetConfig.model_validate({**fleet_values(), "exceptions": pair})
        after = FleetConfig.model_validate({**fleet_values(), "exceptions": pair[::-1]})
        self.assertEqual(("lotbook",), compare_configs(before, after).services)
        self.assertEqual(1, len(compare_configs(before, after).changes))


class ExampleTests(TestCase):
    """The two example deployments in examples/."""

    def test_examples_have_the_expected_targets_and_failure_domains(self) -> None:
        sizes = {
            "karoo": {"lotbook": 8, "reservedesk": 10, "conditionbook": 9, "yardslots": 8},
            "addis": {"inventory": 8, "orders": 11, "dispatch": 8, "ledger": 8},
        }
        for fleet, services in sizes.items():
            config = load_fleet_file(EXAMPLES / fleet / "fleet.toml").config
            found = {service.name: len(service.targets) for service in config.services}
            self.assertEqual(services, found)
            self.assertEqual(4, len(config.failure_domains))
            used = {t.failure_domain for s in config.services for t in s.targets}
            self.assertEqual(set(config.failure_domains), used)

    def test_process_settings_of_the_examples_are_valid(self) -> None:
        for fleet in ("karoo", "addis"):
            settings = load_process_settings(EXAMPLES / fleet / "node.toml")
            config = load_fleet_file(EXAMPLES / fleet / "fleet.toml").config
            self.assertIn(settings.failure_domain, config.failure_domains)

    def test_examples_differ_in_false_ejections(self) -> None:
        allowed = {
            fleet: tomllib.loads((EXAMPLES / fleet / "fleet.toml").read_text(encoding="utf-8"))[
                "defaults"
            ]["false_ejections_per_target_day"]
            for fleet in ("karoo", "addis")
        }
        self.assertLess(allowed["karoo"], allowed["addis"])
