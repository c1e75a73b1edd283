"""Property tests of merging, of splitting into parts, and of racing operators with lost answers."""

from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from typing import Any, Final

import hypothesis.strategies as st
from hypothesis import given, settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test
from testtools import TestCase
from toucanspindle_core.clock import ManualClock
from toucanspindle_core.configacceptance import RetryPolicy
from toucanspindle_core.configparts import join_encoded, join_parts, split_config
from toucanspindle_core.configstore import ConfigStore
from toucanspindle_core.errors import ConflictError, PlatformError, PlatformUncertainError
from toucanspindle_core.fleetconfig import FleetConfig
from toucanspindle_core.objects import CONFIG_KIND, PART_KIND, ConfigHead
from toucanspindle_core.policy import merge_policy

from tests.configfakes import FakeObjectStore, LostAnswer, fleet_values, service_values

NOW: Final = datetime(2026, 12, 4, tzinfo=UTC)
MAX_PARTS_CHANGED: Final = 3

SETTING_VALUES = st.fixed_dictionaries(
    {},
    optional={
        "deadline_ms": st.integers(10, 600_000),
        "fan_in": st.integers(2, 64),
        "queue_limit": st.integers(0, 10_000),
        "false_ejections_per_target_day": st.floats(0.001, 100),
        "account_requests_per_s": st.floats(0.5, 1_000_000),
    },
)
EXPIRY_OFFSETS_S = st.sampled_from([None, -3600, -1, 0, 1, 3600])


@st.composite
def exceptions(draw: st.DrawFn) -> list[dict[str, Any]]:
    """Return exceptions for the two services, some of them expired."""
    items = []
    for index in range(draw(st.integers(0, 5))):
        offset = draw(EXPIRY_OFFSETS_S)
        expires = None if offset is None else (NOW + timedelta(seconds=offset)).isoformat()
        items.append(
            {
                "id": f"e{index}",
                "service": draw(st.sampled_from(["lotbook", "yardslots"])),
                "reason": "drawn at random",
                "expires": expires,
                "settings": draw(SETTING_VALUES),
            }
        )
    return items


class MergePropertyTests(TestCase):
    """Merging defaults with arbitrary exceptions."""

    @given(SETTING_VALUES, exceptions())
    def test_each_setting_comes_from_the_last_applying_exception_or_the_defaults(
        self, defaults: dict[str, Any], items: list[dict[str, Any]]
    ) -> None:
        config = FleetConfig.model_validate({**fleet_values(**defaults), "exceptions": items})
        for name, policy in merge_policy(config, 1, NOW).services.items():
            applying = [
                item
                for item in config.exceptions
                if item.service == name and (item.expires is None or item.expires > NOW)
            ]
            for setting, value in policy.settings.model_dump().items():
                setters = [e for e in applying if getattr(e.settings, setting) is not None]
                source = policy.exception_by_setting.get(setting)
                if setters:
                    expected = getattr(setters[-1].settings, setting)
                    self.assertEqual((setters[-1].id, expected), (source, value))
                else:
                    expected = getattr(config.defaults, setting)
                    self.assertEqual((None, expected), (source, value))


@st.composite
def large_fleets(draw: st.DrawFn) -> dict[str, Any]:
    """Return the values of a fleet with up to 60 services and 9000 accounts."""
    count = draw(st.integers(0, 60))
    values = fleet_values(**draw(SETTING_VALUES))
    values["services"] = [service_values(f"s{n}", n, 1) for n in range(count)]
    classes = draw(st.integers(0, 3))
    size = draw(st.sampled_from([0, 1, 700, 3000]))
    values["account_classes"] = [
        {"name": f"c{n}", "weight": n + 1, "accounts": [f"a{n}-{i}" for i in range(size)]}
        for n in range(classes)
    ]
    return values


class PartPropertyTests(TestCase):
    """Splitting a configuration into parts and joining them back."""

    @settings(max_examples=30)
    @given(large_fleets())
    def test_joined_parts_equal_the_configuration(self, values: dict[str, Any]) -> None:
        config = FleetConfig.model_validate(values)
        parts = split_config(config)
        self.assertEqual(config, join_parts({part.role: part.value for part in parts}))
        head = _head({part.role: part.digest for part in parts})
        self.assertEqual(config, join_encoded(head, {part.digest: part.data for part in parts}))

    @settings(max_examples=30)
    @given(large_fleets(), st.data())
    def test_small_change_replaces_few_parts(
        self, values: dict[str, Any], data: st.DataObject
    ) -> None:
        before = {part.digest for part in split_config(FleetConfig.model_validate(values))}
        data.draw(st.sampled_from(SMALL_CHANGES))(values, data)
        after = {part.digest for part in split_config(FleetConfig.model_validate(values))}
        self.assertLessEqual(len(after - before), MAX_PARTS_CHANGED)

    def test_parts_of_the_fleet_size_expected_in_two_years_stay_within_limits(self) -> None:
        values = fleet_values()
        values["services"] = [_large_service(n) for n in range(200)]
        values["account_classes"] = [
            {"name": f"c{n}", "accounts": [f"account-{n}-{i}" for i in range(6000)]}
            for n in range(4)
        ]
        config = FleetConfig.model_validate(values)
        parts = split_config(config)
        self.assertEqual(config, join_parts({part.role: part.value for part in parts}))
        self.assertLess(max(len(part.data) for part in parts), 300_000)
        self.assertLess(len(parts), 150)


def _large_service(number: int) -> dict[str, Any]:
    service = service_values(f"service-{number}", 1, 37)
    for index, target in enumerate(service["targets"]):
        target["address"] = f"10.{number}.{index}.1:8041"
    route = service["routes"][0]
    service["routes"] = [{**route, "path_prefix": f"/s{number}/r{i}"} for i in range(40)]
    return service


def _head(parts: dict[str, str]) -> ConfigHead:
    return ConfigHead(
        generation=1, change_id="change-1", parts=parts, who="ann", why="test", when=NOW
    )


def _insert_service(values: dict[str, Any], data: st.DataObject) -> None:
    index = data.draw(st.integers(0, len(values["services"])))
    values["services"].insert(index, service_values("new", 99, 1))


def _remove_service(values: dict[str, Any], data: st.DataObject) -> None:
    if values["services"]:
        del values["services"][data.draw(st.integers(0, len(values["services"]) - 1))]


def _drain_target(values: dict[str, Any], data: st.DataObject) -> None:
    if values["services"]:
        data.draw(st.sampled_from(values["services"]))["targets"][0]["drained"] = True


def _insert_account(values: dict[str, Any], data: st.DataObject) -> None:
    if values["account_classes"]:
        accounts = data.draw(st.sampled_from(values["account_classes"]))["accounts"]
        accounts.insert(data.draw(st.integers(0, len(accounts))), "new")


def _change_default(values: dict[str, Any], data: st.DataObject) -> None:
    values["defaults"]["deadline_ms"] = data.draw(st.integers(10, 600_000))


SMALL_CHANGES: Final[list[Callable[[dict[str, Any], st.DataObject], None]]] = [
    _insert_service,
    _remove_service,
    _drain_target,
    _insert_account,
    _change_default,
]


class Operator:
    """One operator with its own store, and the generation that it read last."""

    def __init__(self, name: str, objects: FakeObjectStore) -> None:
        clock = ManualClock()
        self.name = name
        self.store = ConfigStore(objects, RetryPolicy(clock=clock, pause=clock.advance))
        self.last_read = 0

    def read_generation(self) -> None:
        """Read the current generation."""
        stored = self.store.read_head()
        self.last_read = stored.head.generation if stored else 0


class RacingOperators(RuleBasedStateMachine):
    """Two operators change one setting while answers are lost and the platform fails.

    Each change writes a distinct value.  `accepted` maps the generations reported as accepted to
    their values; `uncertain` and `refused` are the values reported as uncertain and as refused.
    """

    def __init__(self) -> None:
        super().__init__()
        self.objects = FakeObjectStore()
        self.operators = [Operator("ann", self.objects), Operator("bob", self.objects)]
        self.accepted: dict[int, int] = {}
        self.uncertain: set[int] = set()
        self.refused: set[int] = set()
        self.next_value = 1000

    @rule(index=st.integers(0, 1))
    def read_generation(self, index: int) -> None:
        self.operators[index].read_generation()

    @rule(took_effect=st.booleans(), kind=st.sampled_from([CONFIG_KIND, PART_KIND]))
    def lose_next_answer(self, took_effect: bool, kind: str) -> None:
        self.objects.add_fault(kind, LostAnswer(took_effect))

    @rule(took_effect=st.booleans())
    def lose_next_answer_and_start_outage(self, took_effect: bool) -> None:
        self.objects.add_fault(CONFIG_KIND, LostAnswer(took_effect, self.objects.start_outage))

    @rule(index=st.integers(0, 1), took_effect=st.booleans())
    def lose_next_answer_while_an_operator_writes(self, index: int, took_effect: bool) -> None:
        def write() -> None:
            other = self.operators[index]
            other.read_generation()
            self._change(other)

        self.objects.add_fault(CONFIG_KIND, LostAnswer(took_effect, write))

    @rule(index=st.integers(0, 1))
    def change(self, index: int) -> None:
        self._change(self.operators[index])
        self.objects.end_outage()

    def _change(self, operator: Operator) -> None:
        value = self.next_value
        self.next_value += 1
        config = FleetConfig.model_validate(fleet_values(deadline_ms=value))
        try:
            head = operator.store.accept(config, operator.name, str(value), operator.last_read)
        except ConflictError:
            self.refused.add(value)
        except PlatformUncertainError:
            self.uncertain.add(value)
        except PlatformError:
            self.refused.add(value)
        else:
            assert head.generation not in self.accepted, "a generation was accepted twice"
            self.accepted[head.generation] = value

    @invariant()
    def no_accepted_change_is_lost(self) -> None:
        history = {h.generation: int(h.why) for h in self.operators[0].store.history(10_000)}
        values = list(history.values())
        assert list(history) == list(range(len(history), 0, -1)), "generations have gaps"
        assert len(values) == len(set(values)), "a change was accepted twice"
        for generation, value in self.accepted.items():
            assert history.get(generation) == value, "an accepted change was lost"
        assert not self.refused & set(values), "a refused change was accepted"
        assert (
            set(values) <= set(self.accepted.values()) | self.uncertain
        ), "the history has a change that was never reported as accepted or uncertain"

    @invariant()
    def every_generation_can_be_read(self) -> None:
        store = self.operators[0].store
        for head in store.history(3):
            assert store.read_config(head).defaults.deadline_ms == int(head.why)


class RaceTests(TestCase):
    """Runs the state machine of racing operators."""

    def test_accepted_changes_are_never_lost_or_repeated(self) -> None:
        run_state_machine_as_test(
            RacingOperators, settings=settings(max_examples=120, stateful_step_count=25)
        )
