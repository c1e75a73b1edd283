"""Tests of merge_policy and FleetPolicy.at."""

from datetime import UTC, datetime
from typing import Any

from testtools import TestCase
from toucanspindle_core.fleetconfig import FleetConfig
from toucanspindle_core.policy import merge_policy


def config_with(*exceptions: dict[str, Any]) -> FleetConfig:
    """Return a configuration of one service with the given exceptions."""
    target = {"name": "lotbook-1", "address": "127.0.0.1:9001", "failure_domain": "beaufort"}
    route = {"method": "GET", "path_prefix": "/lots", "operation": "lookup", "idempotent": True}
    return FleetConfig.model_validate(
        {
            "fleet": "karoo",
            "failure_domains": ["beaufort"],
            "services": [{"name": "lotbook", "targets": [target], "routes": [route]}],
            "exceptions": list(exceptions),
        }
    )


class MergeTests(TestCase):
    """Exceptions override defaults until they expire."""

    def test_exception_overrides_only_the_settings_it_lists(self) -> None:
        config = config_with(
            {
                "id": "slow-yard",
                "service": "lotbook",
                "reason": "yard link is slow",
                "settings": {"deadline_ms": 5000},
            }
        )
        policy = merge_policy(config, 3).services["lotbook"]
        self.assertEqual(5000, policy.settings.deadline_ms)
        self.assertEqual(config.defaults.fan_in, policy.settings.fan_in)
        self.assertEqual({"deadline_ms": "slow-yard"}, policy.exception_by_setting)

    def test_expired_exception_does_not_apply(self) -> None:
        config = config_with(
            {
                "id": "slow-yard",
                "service": "lotbook",
                "reason": "yard link is slow",
                "expires": "2026-01-01T00:00:00Z",
                "settings": {"deadline_ms": 5000},
            }
        )
        policy = merge_policy(config, 3, datetime(2026, 1, 2, tzinfo=UTC)).services["lotbook"]
        self.assertEqual(config.defaults.deadline_ms, policy.settings.deadline_ms)

    def test_policy_is_current_until_the_next_exception_expires(self) -> None:
        values: dict[str, Any] = {"service": "lotbook", "reason": "yard link is slow"}
        first = {**values, "id": "first", "expires": "2026-01-01T00:00:00Z"}
        second = {**values, "id": "second", "expires": "2026-01-03T02:00:00+02:00"}
        forever = {**values, "id": "forever"}
        items = [{**item, "settings": {"deadline_ms": 5000}} for item in (first, second, forever)]
        policy = merge_policy(config_with(*items), 3, datetime(2026, 1, 2, tzinfo=UTC))
        self.assertEqual(datetime(2026, 1, 3, tzinfo=UTC), policy.valid_until)
        self.assertTrue(policy.is_current(datetime(2026, 1, 2, 23, 59, tzinfo=UTC)))
        self.assertFalse(policy.is_current(datetime(2026, 1, 3, tzinfo=UTC)))
        self.assertIs(policy, policy.at(datetime(2026, 1, 2, tzinfo=UTC)))
        later = policy.at(datetime(2026, 1, 3, tzinfo=UTC))
        self.assertEqual((3, None), (later.generation, later.valid_until))
        sources = [p.services["lotbook"].exception_by_setting for p in (policy, later)]
        self.assertEqual([{"deadline_ms": "forever"}] * 2, sources)
