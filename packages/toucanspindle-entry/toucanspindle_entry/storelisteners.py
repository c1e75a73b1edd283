"""Applies what the store shows of the plan and of the targets to the state of a node."""

from collections.abc import Callable

from logbook import Logger

from toucanspindle_entry.model import FleetPlan, TargetEntry, TargetState
from toucanspindle_entry.store.objectstore import StoreChanges, StoreListing
from toucanspindle_entry.targets.targettable import TargetTable

log = Logger("node")


class PlanListener:
    """Passes plans from the store on, also those that aren't newer than the one in force.

    `shown_version` is the version of the newest plan that the store has shown, or None without one.
    `is_unreadable` tells that the plan which the store has now can't be decoded.  Such a plan is
    passed over, and the one before it stays the newest one.
    """

    def __init__(self, apply_plan: Callable[[FleetPlan], None]) -> None:
        """Create a listener that hasn't seen a plan."""
        self._apply_plan = apply_plan
        self.plan_name: str | None = None
        self.shown_version: int | None = None
        self.is_unreadable = False
        # Era and revision of the unreadable plan before which this host has seen all plans.
        self._passed_over: tuple[int, int] | None = None

    def on_listing(self, listing: StoreListing, grace_until: float | None) -> None:  # noqa: ARG002
        """Pass the plan of a listing on."""
        # A plan that can't be decoded counts as none here, unless it is the one passed over: a
        # valid one may have come before it.
        if all((listing.era, item.revision) != self._passed_over for item in listing.items):
            self.shown_version = None
        self.is_unreadable = True
        for item in listing.items:
            if isinstance(item.value, FleetPlan):
                self._apply(item.name, item.value)

    def on_changes(self, changes: StoreChanges, grace_until: float | None) -> None:  # noqa: ARG002
        """Pass changed plans on, oldest first."""
        # A plan that can't be decoded is passed over, since this host has seen all before it.
        for change in changes.changes:
            if isinstance(change.value, FleetPlan) and not change.removed:
                self._apply(change.name, change.value)
            elif change.removed and change.name == self.plan_name:
                self.shown_version = None
            elif change.name in {self.plan_name, ""}:  # An unreadable object may have no name.
                self.is_unreadable = True
                self._passed_over = (changes.era, change.revision) if change.revision else None

    def _apply(self, name: str, plan: FleetPlan) -> None:
        self.plan_name = name
        self.is_unreadable = False
        self.shown_version = plan.version
        self._apply_plan(plan)


class TargetListener:
    """Applies target registrations from the store to the target table."""

    def __init__(self, table: TargetTable, on_change: Callable[[], None]) -> None:
        """Create a listener; `on_change` is called after the table may have changed."""
        self._table = table
        self._on_change = on_change

    def on_listing(self, listing: StoreListing, grace_until: float | None) -> None:
        """Replace the targets by those of a listing."""
        entries = [item.value for item in listing.items if isinstance(item.value, TargetEntry)]
        for entry in entries:
            if (known := self._table.get(entry.name)) is not None:
                _log_target_change(known, entry)
        self._table.begin_era(listing.era, grace_until or 0.0)
        self._table.replace_all(entries, grace_until)
        self._table.advance_to(listing.revision)
        self._on_change()

    def on_changes(self, changes: StoreChanges, grace_until: float | None) -> None:
        """Apply changed and removed registrations, oldest first."""
        for change in changes.changes:
            self._table.record_change(change.revision)
            if isinstance(change.value, TargetEntry) and not change.removed:
                _log_target_change(self._table.get(change.name), change.value)
                self._table.register(change.value)
            elif grace_until is not None:
                log.info("event=target_unconfirmed target={}", change.name)
                self._table.mark_unconfirmed(change.name, grace_until)
            else:
                log.info("event=target_removed target={}", change.name)
                self._table.remove(change.name)
        self._table.advance_to(changes.revision)
        self._on_change()


def _log_target_change(old: TargetEntry | None, new: TargetEntry) -> None:
    if old is None:
        log.info(
            "event=target_joined target={} service={} address={}",
            new.name,
            new.service,
            new.address,
        )
    elif old.started_ms != new.started_ms:
        log.info("event=target_restarted target={}", new.name)
    elif old.state is not new.state and new.state is TargetState.DRAINING:
        log.info("event=target_draining target={} service={}", new.name, new.service)
