"""A slot that a broker has granted."""

from dataclasses import dataclass
from typing import Final

LEASE_GRACE_S: Final = 0.5  # A lease without a report expires this long after its deadline.


@dataclass
class Lease:
    """A granted slot, held until its attempt is reported or the lease expires.

    `retry_credit_at` is when the credit that a retry took was deposited, or None without credit;
    credit from the budget's window is dated by the grant.  `is_settled` is true once the attempt
    has outlived the failures of unhealthy targets.
    """

    host: str
    target: str
    granted_at: float
    expires_at: float
    fingerprint: str
    can_retry: bool = False
    retry_credit_at: float | None = None
    is_overdue: bool = False
    is_settled: bool = False
    body_bytes: int = 0
