"""Model checking of the forwarding of a non-idempotent request in the deployed form."""

from spec.forwarding import ForwardingSpec, Guard
from tests.speccase import SpecTestCase

MIN_STATES = 100


class ForwardingSpecTests(SpecTestCase):
    """Forwarding holds, and each of its guards is needed."""

    def test_every_property_holds_in_every_reachable_state(self) -> None:
        self.check_properties(ForwardingSpec().specification(), MIN_STATES)

    def test_each_removed_guard_is_found(self) -> None:
        self.check_guards(Guard, lambda guard: ForwardingSpec(guard).specification())
