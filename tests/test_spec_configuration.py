"""Model checking of the acceptance and spread of configuration."""

from spec.configuration import ConfigurationSpec, Guard
from tests.speccase import SpecTestCase

MIN_STATES = 10_000


class ConfigurationSpecTests(SpecTestCase):
    """The protocol holds, and each of its guards is needed."""

    def test_every_property_holds_in_every_reachable_state(self) -> None:
        self.check_properties(ConfigurationSpec().specification(), MIN_STATES)

    def test_each_removed_guard_is_found(self) -> None:
        self.check_guards(Guard, lambda guard: ConfigurationSpec(guard).specification())
