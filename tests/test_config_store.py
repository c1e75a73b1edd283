"""Tests of keeping the configuration in the platform."""

from typing import Any

from testtools import TestCase
from testtools.matchers import MatchesException, Raises
from toucanspindle_core.clock import ManualClock
from toucanspindle_core.configacceptance import Patience
from toucanspindle_core.configchain import StoredHead
from toucanspindle_core.configparts import ConfigPartError
from toucanspindle_core.configstore import ConfigStore
from toucanspindle_core.errors import ConflictError, PlatformError, PlatformUncertainError
from toucanspindle_core.objects import CONFIG_KIND, HEAD_NAME, PART_KIND

from tests.configfakes import FakeObjectStore, LostAnswer, Outage, fleet_config


def store_on(objects: FakeObjectStore) -> ConfigStore:
    """Return a store whose pauses move a manual clock."""
    clock = ManualClock()
    return ConfigStore(objects, Patience(clock=clock, pause=clock.advance))


def accepted(stored: StoredHead | None) -> StoredHead:
    """Return a head that must be there."""
    assert stored is not None
    return stored


class AcceptTests(TestCase):
    """Accepting changes one after the other."""

    def test_first_change_is_generation_1(self) -> None:
        store = store_on(FakeObjectStore())
        self.assertIsNone(store.read_head())
        head = store.accept(fleet_config(), "ann", "first", 0)
        self.assertEqual(1, head.generation)
        self.assertEqual(fleet_config(), store.read_config(accepted(store.read_head()).head))

    def test_history_is_kept_newest_first(self) -> None:
        store = store_on(FakeObjectStore())
        for generation in range(3):
            store.accept(fleet_config(deadline_ms=1000 + generation), "ann", "why", generation)
        heads = list(store.history(10))
        self.assertEqual([3, 2, 1], [head.generation for head in heads])
        self.assertEqual([3, 2], [head.generation for head in store.history(2)])
        self.assertEqual(1000, store.read_config(heads[2]).defaults.deadline_ms)

    def test_rollback_is_a_new_generation(self) -> None:
        store = store_on(FakeObjectStore())
        first = store.accept(fleet_config(), "ann", "first", 0)
        store.accept(fleet_config(deadline_ms=900), "ann", "second", 1)
        third = store.accept(store.read_config(first), "ann", "back to 1", 2)
        self.assertEqual(3, third.generation)
        self.assertEqual(first.parts, third.parts)

    def test_minimum_generation_lifts_the_next_one(self) -> None:
        store = store_on(FakeObjectStore())
        store.accept(fleet_config(), "ann", "first", 0)
        head = store.accept(fleet_config(deadline_ms=900), "ann", "restored", 1, 41)
        self.assertEqual(41, head.generation)

    def test_change_on_an_outdated_generation_names_the_other(self) -> None:
        store = store_on(FakeObjectStore())
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
        store = store_on(objects)
        objects.fault(CONFIG_KIND, LostAnswer(took_effect=True))
        head = store.accept(fleet_config(), "ann", "first", 0)
        self.assertEqual(1, head.generation)
        self.assertEqual(1, accepted(store.read_head()).version)

    def test_change_that_did_not_take_effect_is_repeated(self) -> None:
        objects = FakeObjectStore()
        store = store_on(objects)
        objects.fault(CONFIG_KIND, LostAnswer(took_effect=False))
        self.assertEqual(1, store.accept(fleet_config(), "ann", "first", 0).generation)

    def test_change_overtaken_after_a_lost_answer_is_found_in_the_chain(self) -> None:
        objects = FakeObjectStore()
        store = store_on(objects)
        store.accept(fleet_config(), "ann", "first", 0)

        def overtake() -> None:
            other = store_on(objects)
            other.accept(fleet_config(deadline_ms=700), "bob", "other", 2)

        objects.fault(CONFIG_KIND, LostAnswer(took_effect=True, then=overtake))
        head = store.accept(fleet_config(deadline_ms=900), "ann", "mine", 1)
        self.assertEqual(2, head.generation)
        self.assertEqual(3, accepted(store.read_head()).head.generation)

    def test_change_lost_to_another_operator_is_a_conflict(self) -> None:
        objects = FakeObjectStore()
        store = store_on(objects)

        def overtake() -> None:
            store_on(objects).accept(fleet_config(deadline_ms=700), "bob", "other", 0)

        objects.fault(CONFIG_KIND, LostAnswer(took_effect=False, then=overtake))
        error = self.assertRaises(ConflictError, store.accept, fleet_config(), "ann", "mine", 0)
        self.assertIn("bob", error.text)

    def test_outcome_stays_open_while_the_platform_is_away(self) -> None:
        objects = FakeObjectStore()
        store = store_on(objects)
        objects.fault(CONFIG_KIND, LostAnswer(took_effect=True, then=objects.go_away))
        error = self.assertRaises(
            PlatformUncertainError, store.accept, fleet_config(), "ann", "mine", 0
        )
        self.assertEqual("TS206", error.code.name)
        objects.come_back()
        change_id = accepted(store.read_head()).head.change_id
        self.assertIn(change_id, error.remedy)
        self.assertEqual(1, getattr(store.find_change(change_id), "generation", None))

    def test_outcome_stays_open_when_the_chain_is_broken(self) -> None:
        objects = FakeObjectStore()
        store = store_on(objects)
        first = store.accept(fleet_config(), "ann", "first", 0)

        def break_chain() -> None:
            objects.overwrite(CONFIG_KIND, HEAD_NAME, {})

        objects.fault(CONFIG_KIND, LostAnswer(took_effect=True, then=break_chain))
        error = self.assertRaises(
            PlatformUncertainError, store.accept, fleet_config(deadline_ms=99), "ann", "mine", 1
        )
        self.assertEqual("TS206", error.code.name)
        self.assertEqual(1, first.generation)

    def test_outage_before_the_head_is_written_accepts_nothing(self) -> None:
        objects = FakeObjectStore()
        objects.fault(PART_KIND, Outage())
        store = store_on(objects)
        error = self.assertRaises(PlatformError, store.accept, fleet_config(), "ann", "mine", 0)
        self.assertNotIsInstance(error, PlatformUncertainError)
        objects.come_back()
        self.assertIsNone(store.read_head())


class MalformedObjectTests(TestCase):
    """Objects in the platform that aren't what they should be."""

    def test_missing_and_corrupt_parts_are_typed(self) -> None:
        objects = FakeObjectStore()
        store = store_on(objects)
        head = store.accept(fleet_config(), "ann", "first", 0)
        digest = head.parts["services-0"]
        objects.overwrite(PART_KIND, digest, [])
        error = self.assertRaises(ConfigPartError, store.read_config, head)
        self.assertEqual("TS208", error.code.name)
        objects.remove(PART_KIND, digest)
        error = self.assertRaises(ConfigPartError, store.read_config, head)
        self.assertEqual("TS207", error.code.name)

    def test_damaged_part_is_mended_by_applying_again(self) -> None:
        objects = FakeObjectStore()
        store = store_on(objects)
        first = store.accept(fleet_config(), "ann", "first", 0)
        objects.overwrite(PART_KIND, first.parts["fleet"], {"fleet": "other"})
        store.accept(fleet_config(deadline_ms=900), "ann", "second", 1)
        third = store.accept(fleet_config(), "ann", "mend", 2)
        self.assertEqual(fleet_config(), store.read_config(third))

    def test_malformed_head_is_refused_and_kept(self) -> None:
        objects = FakeObjectStore()
        store = store_on(objects)
        values: list[Any] = [None, [], {}, {"generation": 0}, "head", {"parts": 1}]
        for value in values:
            objects.overwrite(CONFIG_KIND, HEAD_NAME, value)
            self.assertThat(store.read_head, Raises(MatchesException(ConfigPartError)))
            self.assertRaises(ConfigPartError, store.accept, fleet_config(), "ann", "mine", 0)
            self.assertEqual(value, objects.value(CONFIG_KIND, HEAD_NAME))
