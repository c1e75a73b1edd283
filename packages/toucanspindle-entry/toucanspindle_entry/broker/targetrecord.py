"""What a slot broker knows of one registered target."""

from dataclasses import dataclass, field
from typing import Final

from toucanspindle_entry.model import TargetEntry, TargetState
from toucanspindle_entry.targets.targethealth import HealthEstimate

# Costs are in units of failure probability.
UTILIZATION_COST: Final = 0.08  # Times the share of the target's slots in use.
SLOWNESS_COST: Final = 0.10  # For a target twice as slow as the service's mean.
WARMUP_COST: Final = 0.10  # For a target that is still warming up.
# A target crashes if the requests that it holds exceed its memory.  Bound of their bodies together,
# unless there is just one.
MAX_BODY_BYTES: Final = 64 * 1024 * 1024
UNCONFIRMED_COST: Final = 0.3  # The entry lapsed during a store outage; the target may be gone.


@dataclass
class TargetRecord:
    """State of a registered target; times are in seconds of the broker's clock.

    `leases` holds the sizes of the bodies in bytes, by slot request id; `body_bytes` is their sum.
    `slowness` is the target's work time relative to the mean of the service.  `joined_at` is minus
    infinity for the targets registered first.
    """

    entry: TargetEntry
    health: HealthEstimate = field(default_factory=HealthEstimate)
    leases: dict[str, int] = field(default_factory=dict)
    body_bytes: int = 0
    slowness: float = 1.0
    paused_until: float = 0.0
    warmed_up_at: float = 0.0
    joined_at: float = float("-inf")
    is_confirmed: bool = True
    is_leaving: bool = False

    @property
    def takes_requests(self) -> bool:
        """Whether the target is ready, by its registration and its responses."""
        return self.entry.state is TargetState.READY and not self.is_leaving

    def add_lease(self, slot_request_id: str, body_bytes: int) -> None:
        """Add a lease."""
        self.remove_lease(slot_request_id)
        self.leases[slot_request_id] = body_bytes
        self.body_bytes += body_bytes

    def remove_lease(self, slot_request_id: str) -> None:
        """Remove a lease, if there is one."""
        self.body_bytes -= self.leases.pop(slot_request_id, 0)

    def clear_leases(self) -> None:
        """Remove all leases."""
        self.leases.clear()
        self.body_bytes = 0

    def has_room_for_body(self, body_bytes: int) -> bool:
        """Return whether the target may hold a body beside those that it holds."""
        return not (body_bytes and self.body_bytes) or (
            self.body_bytes + body_bytes <= MAX_BODY_BYTES
        )

    @property
    def has_free_slot(self) -> bool:
        """Whether the target has fewer leases than slots."""
        return len(self.leases) < self.entry.slots

    def expected_cost(self, unhealthy_probability: float, now: float) -> float:
        """Return the cost of sending the next request here, in units of failure probability.

        Jitter and the surcharge for another failure domain come on top.
        """
        utilization = len(self.leases) / max(1, self.entry.slots)
        cost = unhealthy_probability + UTILIZATION_COST * utilization
        cost += SLOWNESS_COST * min(3.0, max(0.0, self.slowness - 1.0))
        if now < self.warmed_up_at:
            cost += WARMUP_COST
        if not self.is_confirmed:
            cost += UNCONFIRMED_COST
        return cost
