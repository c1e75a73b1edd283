"""What a slot broker knows of one registered target."""

from dataclasses import dataclass, field
from typing import Final

from toucanspindle_entry.model import TargetEntry, TargetState
from toucanspindle_entry.targets.targethealth import HealthEstimate

# Costs are in units of failure probability.
UTILIZATION_COST: Final = 0.08  # Times the share of the target's slots in use.
SLOWNESS_COST: Final = 0.10  # For a target twice as slow as the service's mean.
WARMUP_COST: Final = 0.10  # For a target that is still warming up.
UNCONFIRMED_COST: Final = 0.3  # The entry lapsed during a store outage; the target may be gone.


@dataclass
class TargetRecord:
    """State of a registered target; times are in seconds of the broker's clock.

    `leases` holds slot request ids.  `slowness` is the target's work time relative to the mean of
    the service.  `joined_at` is minus infinity for the targets registered first.
    """

    entry: TargetEntry
    health: HealthEstimate = field(default_factory=HealthEstimate)
    leases: set[str] = field(default_factory=set)
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
