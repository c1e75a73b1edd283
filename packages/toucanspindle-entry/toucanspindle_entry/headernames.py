"""Names of the headers that callers and targets use, as the adapter to the platform knows them."""

from dataclasses import dataclass


@dataclass(frozen=True)
class HeaderNames:
    """Lower-case names of the headers that callers and targets use.

    `signature` proves that a target produced the response; `expected_target` names the only target
    that may run the request; `not_run` marks the response to a request that the target didn't run.
    A target that leaves sends `leaving` with the value 1 in all its responses.
    A target in need names in `rate_limit` how many requests a second it takes from all hosts.
    Callers send the key of their client account in `account_key`; targets get the name of the
    account in `account`.
    """

    request_id: bytes
    deadline_ms: bytes
    signature: bytes
    expected_target: bytes
    not_run: bytes
    leaving: bytes
    rate_limit: bytes
    account_key: bytes
    account: bytes
