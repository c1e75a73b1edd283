"""An exception that expires stops to apply on running nodes, without another change."""

from datetime import UTC, datetime, timedelta
from typing import Final

from toucanspindle_core.fleetconfig import ExceptionModel
from toucanspindle_standins.fleet import Fleet

from tests.fleetcase import SERVICE, FleetTestCase
from tests.harness import wait_until

LIFE_S: Final = 4
EXCEPTION_TTL_S: Final = 7


class ExpiryTests(FleetTestCase):
    """Expiry on all nodes of a fleet of real processes."""

    def add_exception(self, fleet: Fleet) -> None:
        """Accept an exception that expires soon."""
        exception = ExceptionModel.model_validate(
            {
                "id": "short",
                "service": SERVICE,
                "reason": "for a few seconds",
                "expires": datetime.now(UTC) + timedelta(seconds=LIFE_S),
                "settings": {"directory_ttl_s": EXCEPTION_TTL_S},
            }
        )
        changed = fleet.config.model_copy(update={"exceptions": [exception]})
        fleet.accept(changed, "for a few seconds")

    def test_defaults_apply_again_after_the_expiry(self) -> None:
        fleet = self.start_lotbook(directory_ttl_s=30)

        def lifetimes() -> set[int]:
            answers = [fleet.directory(node, SERVICE).json() for node in fleet.nodes]
            return {answer["ttl_s"] for answer in answers}

        self.assertEqual({30}, lifetimes())
        self.add_exception(fleet)
        wait_until(lambda: lifetimes() == {EXCEPTION_TTL_S}, what="the exception applies")
        wait_until(lambda: lifetimes() == {30}, what="the exception has expired")
