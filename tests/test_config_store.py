"""Tests of ConfigStore: accepting changes, lost answers, malformed objects."""

from typing import Any

from testtools import TestCase
from testtools.matchers import MatchesException, Raises
from toucanspindle_core.clock import ManualClock
from toucanspindle_core.configacceptance import RetryPolicy
from toucanspindle_core.configchain import StoredHead
from toucanspindle_core.configparts import ConfigPartError
from toucanspindle_core.configstore import ConfigStore
from toucanspindle_core.errors import ConflictError, PlatformError, PlatformUncertainError
from toucanspindle_core.objects import CONFIG_KIND, HEAD_NAME, PART_KIND

from tests.configfakes import FakeObjectStore, LostAnswer, Outage, fleet_config


def make_store(objects: FakeObjectStore) -> ConfigStore:
    """Return a store that sleeps by advancing a manual clock."""
    clock = ManualClock()
    return ConfigStore(objects, RetryPolicy(clock=clock, pause=clock.advance))


def require_head(stored: StoredHead | None) -> StoredHead:
    """Return a stored head, which must not be None."""
    assert stored is not None
    return stored


class AcceptTests(TestCase):
    """Changes accepted one after another."""

    def test_first_change_is_generation_1(self) -> None:
        store = make_store(FakeObjectStore())
        self.assertIsNone(store.read_head())
        head = store.accept(fleet_config(), "ann", "first", 0)
        self.assertEqual(1, head.generation)
        self.assertEqual(fleet_config(), store.read_config(require_head(store.read_head()).head))

    def test_history_yields_heads_newest_first(self) -> None:
        store = make_store(FakeObjectStore())
        for generation in range(3):
            store.accept(fleet_config(deadline_ms=1000 + generation), "ann", "why", generation)
        heads = list(store.history(10))
        self.assertEqual([3, 2, 1], [head.generation for head in heads])
        self.assertEqual([3, 2], [head.generation for head in store.history(2)])
        self.assertEqual(1000, store.read_config(heads[2]).defaults.deadline_ms)

    def test_rollback_is_a_new_generation(self) -> None:
        store = make_store(FakeObjectStore())
        first = store.accept(fleet_config(), "ann", "first", 0)
        store.accept(fleet_config(deadline_ms=900), "ann", "second", 1)
        third = store.accept(store.read_config(first), "ann", "back to 1", 2)
        self.assertEqual(3, third.generation)
        self.assertEqual(first.parts, third.parts)

    def test_minimum_generation_raises_the_next_generation(self) -> None:
        store = make_store(FakeObjectStore())
        store.accept(fleet_config(), "ann", "first", 0)
        head = store.accept(fleet_config(deadline_ms=900), "ann", "restored", 1, 41)
        self.assertEqual(41, head.generation)

    def test_conflict_error_names_the_change_accepted_since(self) -> None:
        store = make_store(FakeObjectStore())
        store.accept(fleet_config(), "ann", "first", 0)
        store.accept(fleet_config(deadline_ms=900), "bob", "slow yard", 1)
        error = self.assertRaises(
            ConflictError, store.accept, fleet_config(deadline_ms=800), "ann", "mine", 1
        )
        for word in ("bob", "slow yard", "defaults.deadline_ms: 2000 -> 900", "unchanged"):
            self.assertIn(word, error.text)


class LostAnswerTests(TestCase):
    """Writes whose answer is lost."""

    def test_change_that_took_effect_is_found_and_not_repeated(self) -> None:
        objects = FakeObjectStore()
        store = make_store(objects)
        objects.add_fault(CONFIG_KIND, LostAnswer(took_effect=True))
        head = store.accept(fleet_config(), "ann", "first", 0)
        self.assertEqual(1, head.generation)
        self.assertEqual(1, require_head(store.read_head()).version)

    def test_change_that_did_not_take_effect_is_repeated(self) -> None:
        objects = FakeObjectStore()
        store = make_store(objects)
        objects.add_fault(CONFIG_KIND, LostAnswer(took_effect=False))
        self.assertEqual(1, store.accept(fleet_config(), "ann", "first", 0).generation)

    def test_change_followed_by_another_after_a_lost_answer_is_found_in_history(self) -> None:
        objects = FakeObjectStore()
        store = make_store(objects)
        store.accept(fleet_config(), "ann", "first", 0)

        def change_as_bob() -> None:
            other = make_store(objects)
            other.accept(fleet_config(deadline_ms=700), "bob", "other", 2)

        objects.add_fault(CONFIG_KIND, LostAnswer(took_effect=True, after_write=change_as_bob))
        head = store.accept(fleet_config(deadline_ms=900), "ann", "mine", 1)
        self.assertEqual(2, head.generation)
        self.assertEqual(3, require_head(store.read_head()).head.generation)

    def test_change_of_another_operator_during_a_lost_answer_is_a_conflict(self) -> None:
        objects = FakeObjectStore()
        store = make_store(objects)

        def change_as_bob() -> None:
            make_store(objects).accept(fleet_config(deadline_ms=700), "bob", "other", 0)

        objects.add_fault(CONFIG_KIND, LostAnswer(took_effect=False, after_write=change_as_bob))
        error = self.assertRaises(ConflictError, store.accept, fleet_config(), "ann", "mine", 0)
        self.assertIn("bob", error.text)

    def test_outcome_is_uncertain_while_the_platform_is_unreachable(self) -> None:
        objects = FakeObjectStore()
        store = make_store(objects)
        objects.add_fault(
            CONFIG_KIND, LostAnswer(took_effect=True, after_write=objects.start_outage)
        )
        error = self.assertRaises(
            PlatformUncertainError, store.accept, fleet_config(), "ann", "mine", 0
        )
        self.assertEqual("TS206", error.code.name)
        objects.end_outage()
        change_id = require_head(store.read_head()).head.change_id
        self.assertIn(change_id, error.remedy)
        self.assertEqual(1, getattr(store.find_change(change_id), "generation", None))

    def test_outcome_is_uncertain_when_the_head_is_corrupt(self) -> None:
        objects = FakeObjectStore()
        store = make_store(objects)
        first = store.accept(fleet_config(), "ann", "first", 0)

        def break_chain() -> None:
            objects.overwrite(CONFIG_KIND, HEAD_NAME, {})

        objects.add_fault(CONFIG_KIND, LostAnswer(took_effect=True, after_write=break_chain))
        error = self.assertRaises(
            PlatformUncertainError, store.accept, fleet_config(deadline_ms=99), "ann", "mine", 1
        )
        self.assertEqual("TS206", error.code.name)
        self.assertEqual(1, first.generation)

    def test_outage_before_the_head_write_accepts_nothing(self) -> None:
        objects = FakeObjectStore()
        objects.add_fault(PART_KIND, Outage())
        store = make_store(objects)
        error = self.assertRaises(PlatformError, store.accept, fleet_config(), "ann", "mine", 0)
        self.assertNotIsInstance(error, PlatformUncertainError)
        objects.end_outage()
        self.assertIsNone(store.read_head())


class MalformedObjectTests(TestCase):
    """Missing, corrupt or malformed objects in the platform."""

    def test_missing_and_corrupt_parts_have_their_error_codes(self) -> None:
        objects = FakeObjectStore()
        store = make_store(objects)
        head = store.accept(fleet_config(), "ann", "first", 0)
        digest = head.parts["services-0"]
        objects.overwrite(PART_KIND, digest, [])
        error = self.assertRaises(ConfigPartError, store.read_config, head)
        self.assertEqual("TS208", error.code.name)
        objects.remove(PART_KIND, digest)
        error = self.assertRaises(ConfigPartError, store.read_config, head)
        self.assertEqual("TS207", error.code.name)

    def test_corrupt_part_is_repaired_by_applying_again(self) -> None:
        objects = FakeObjectStore()
        store = make_store(objects)
        first = store.accept(fleet_config(), "ann", "first", 0)
        objects.overwrite(PART_KIND, first.parts["fleet"], {"fleet": "other"})
        store.accept(fleet_config(deadline_ms=900), "ann", "second", 1)
        third = store.accept(fleet_config(), "ann", "mend", 2)
        self.assertEqual(fleet_config(), store.read_config(third))

    def test_malformed_head_is_refused_and_not_overwritten(self) -> None:
        objects = FakeObjectStore()
        store = make_store(objects)
        values: list[Any] = [None, [], {}, {"generation": 0}, "head", {"parts": 1}]
        for value in values:
            objects.overwrite(CONFIG_KIND, HEAD_NAME, value)
            self.assertThat(store.read_head, Raises(MatchesException(ConfigPartError)))
            self.assertRaises(ConfigPartError, store.accept, fleet_config(), "ann", "mine", 0)
            self.assertEqual(value, objects.value(CONFIG_KIND, HEAD_NAME))
