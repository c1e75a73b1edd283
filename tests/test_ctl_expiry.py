"""Tests that running nodes drop an expired exception without another configuration change."""

from datetime import UTC, datetime, timedelta
from typing import Final

from toucanspindle_core.fleetconfig import ExceptionModel
from toucanspindle_standins.fleet import Fleet

from tests.fleetcase import SERVICE, FleetTestCase
from tests.harness import wait_until

EXCEPTION_LIFETIME_S: Final = 4
EXCEPTION_DIRECTORY_TTL_S: Final = 7


class ExpiryTests(FleetTestCase):
    """Expiry of an exception on all nodes of a fleet of real processes."""

    def add_exception(self, fleet: Fleet) -> None:
        """Apply an exception that expires after EXCEPTION_LIFETIME_S."""
        exception = ExceptionModel.model_validate(
            {
                "id": "short",
                "service": SERVICE,
                "reason": "for a few seconds",
                "expires": datetime.now(UTC) + timedelta(seconds=EXCEPTION_LIFETIME_S),
                "settings": {"directory_ttl_s": EXCEPTION_DIRECTORY_TTL_S},
            }
        )
        changed = fleet.config.model_copy(update={"exceptions": [exception]})
        fleet.accept(changed, "for a few seconds")

    def test_defaults_apply_again_after_the_expiry(self) -> None:
        fleet = self.start_lotbook(directory_ttl_s=30)

        def directory_ttls() -> set[int]:
            answers = [fleet.directory(node, SERVICE).json() for node in fleet.nodes]
            return {answer["ttl_s"] for answer in answers}

        self.assertEqual({30}, directory_ttls())
        self.add_exception(fleet)
        wait_until(
            lambda: directory_ttls() == {EXCEPTION_DIRECTORY_TTL_S}, what="the exception applies"
        )
        wait_until(lambda: directory_ttls() == {30}, what="the exception has expired")
