"""Tests of decoding the platform's objects, valid and malformed, and its settings file."""

import copy
import importlib
from typing import Any

from testtools import TestCase
from toucanspindle_core.errors import SettingsError
from toucanspindle_entry.model import FleetPlan, HostEntry, TargetEntry, TargetState
from toucanspindle_entry.store.objectstore import ObjectKind

from platformsettings import load_settings
from platformwire import decode_object, encode_host
from tests.tempfolder import temporary_folder

TARGET_OBJECT: dict[str, Any] = {
    "Metadata": {"Name": "i-1", "Revision": 5},
    "Spec": {
        "Address": "10.128.0.9:8080",
        "Info": {"Service": "s", "Version": "v1", "Zone": "beaufort", "MaxConcurrency": 4},
        "Status": {"State": "ready", "Seq": 4, "WarmupLeftMs": 1500},
        "born": 1_700_000_000_000,
    },
    "Status": None,
}
PLAN_OBJECT: dict[str, Any] = {
    "Metadata": {"Name": "main"},
    "Spec": {
        "Version": 7,
        "Routes": {
            "r1": {
                "Host": "Hulo84.example",
                "PathPrefix": "/leny/",
                "Kind": "safe",
                "TimeoutMs": 4000,
                "TargetLatencyMs": 1500,
                "Priority": 2,
                "Backends": [{"Service": "a", "Weight": 90}, {"Service": "b", "Weight": 10}],
                "MaxAttempts": 2,
            },
            "r2": {"Host": "j.example", "PathPrefix": "/", "Kind": "unsafe", "Service": "a"},
        },
        "Services": {"a": {}, "b": {}},
        "Limits": {"MaxHeaderBytes": 100, "IdleTimeoutMs": 15000},
    },
}


def with_field(original: dict[str, Any], path: str, value: Any) -> dict[str, Any]:
    """Return a copy with the field at a dotted path set to `value`, or removed if it is `...`."""
    copy_with_field = copy.deepcopy(original)
    *parents, last = path.split(".")
    container = copy_with_field
    for parent in parents:
        container = container[parent]
    if value is ...:
        del container[last]
    else:
        container[last] = value
    return copy_with_field


class RouteKindTests(TestCase):
    # Guards against a download that fails at its first attempt, though it may be sent again.
    def test_downloads_may_be_sent_again_and_unknown_kinds_may_not(self) -> None:
        for kind, is_idempotent in (("safe", True), ("download", True), ("other", False)):
            plan_object = with_field(PLAN_OBJECT, "Spec.Routes.r2.Kind", kind)
            _, plan = decode_object(ObjectKind.PLAN, plan_object)
            assert isinstance(plan, FleetPlan)
            route = next(route for route in plan.routes if route.name == "r2")
            self.assertEqual(is_idempotent, route.idempotent, kind)


class TargetEntryTests(TestCase):
    def test_valid_entry_is_decoded(self) -> None:
        name, entry = decode_object(ObjectKind.TARGETS, TARGET_OBJECT)
        assert isinstance(entry, TargetEntry)
        self.assertEqual(
            ("i-1", "s", "10.128.0.9:8080", "beaufort", 4, TargetState.READY, 1.5),
            (
                name,
                entry.service,
                str(entry.address),
                entry.failure_domain,
                entry.slots,
                entry.state,
                entry.warmup_s,
            ),
        )
        self.assertEqual(5, entry.revision)

    def test_malformed_revision_is_unknown(self) -> None:
        for metadata in ({"Name": "i-1"}, {"Name": "i-1", "Revision": "5"}):
            _, value = decode_object(ObjectKind.TARGETS, {**TARGET_OBJECT, "Metadata": metadata})
            assert isinstance(value, TargetEntry)
            self.assertEqual(0, value.revision)

    def test_malformed_entries_decode_to_none(self) -> None:
        for path, value in (
            ("Spec", None),
            ("Spec", "text"),
            ("Spec", []),
            ("Spec.Address", ...),
            ("Spec.Address", 5),
            ("Spec.Address", "name.example:80"),
            ("Spec.Info", None),
            ("Spec.Info.Service", 7),
            ("Spec.Info.MaxConcurrency", "4"),
            ("Spec.Info.MaxConcurrency", 0),
            ("Spec.Info.MaxConcurrency", True),
            ("Spec.Status", None),
            ("Spec.Status.State", "odd"),
            ("Spec.Status.State", ["ready"]),
            ("Spec.born", "yesterday"),
        ):
            _, entry = decode_object(ObjectKind.TARGETS, with_field(TARGET_OBJECT, path, value))
            self.assertIsNone(entry, (path, value))
        malformed_items: list[Any] = [None, 5, "text", [], {}, {"Metadata": None}]
        for malformed in [*malformed_items, {"Metadata": {"Name": 3}}]:
            self.assertEqual(("", None), decode_object(ObjectKind.TARGETS, malformed))


class PlanTests(TestCase):
    def test_valid_plan_is_decoded(self) -> None:
        _, plan = decode_object(ObjectKind.PLAN, PLAN_OBJECT)
        assert isinstance(plan, FleetPlan)
        first, second = plan.routes
        self.assertEqual(7, plan.version)
        self.assertEqual("hulo84.example", first.host)
        self.assertEqual(
            [("a", 90.0), ("b", 10.0)], [(p.service, p.weight) for p in first.weighted_services]
        )
        self.assertEqual((True, False), (first.idempotent, second.idempotent))
        self.assertEqual((4.0, 1.5), (first.timeout_s, first.latency_goal_s))
        self.assertEqual((100, 15.0), (plan.limits.header_bytes, plan.limits.idle_timeout_s))

    def test_other_or_incomplete_objects_decode_to_none(self) -> None:
        for path, value in (
            ("Metadata.Name", "draft"),
            ("Spec.Version", ...),
            ("Spec.Routes", []),
            ("Spec.Routes.r2.Service", ...),
        ):
            _, plan = decode_object(ObjectKind.PLAN, with_field(PLAN_OBJECT, path, value))
            self.assertIsNone(plan, (path, value))


class HostEntryTests(TestCase):
    def test_encoded_host_entry_decodes_to_itself(self) -> None:
        entry = HostEntry("edge-1", "10.1.0.15", "beaufort", "ab12")
        self.assertEqual(("edge-1", entry), decode_object(ObjectKind.HOSTS, encode_host(entry)))


class SettingsTests(TestCase):
    def test_unreadable_or_invalid_files_raise_with_a_remedy(self) -> None:
        folder = temporary_folder(self)
        for name, text in (("missing", None), ("syntax", "a = ["), ("empty", "")):
            path = folder / name
            if text is not None:
                path.write_text(text)
            error = self.assertRaises(SettingsError, load_settings, path)
            self.assertIn("Remedy:", str(error), name)


class FolderTests(TestCase):
    def test_standard_library_module_platform_is_not_shadowed(self) -> None:
        """Libraries import the module `platform`, which the folder platform/ must not shadow."""
        module = importlib.import_module("platform")
        self.assertTrue(module.python_version())
        self.assertIsNotNone(importlib.import_module("platformstore").PlatformStore)
