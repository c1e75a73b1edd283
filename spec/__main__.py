"""Checks every specification, and that each guard is needed: `python -m spec [--late-writes]`.

With `--late-writes` the permit specification includes writes that take effect after their holder
stopped waiting, which takes some minutes.  The exit code is 0 if every property holds and every
specification without one of its guards violates a property, and 1 otherwise.
"""

import sys
from collections.abc import Iterator

from spec import configuration, dispatch, forwarding, permits, revocation
from spec.checking import Specification, check


def _specifications_without_one_guard() -> Iterator[Specification]:
    for guard in dispatch.Guard:
        yield dispatch.DispatchSpec(guard).specification()
    for forwarding_guard in forwarding.Guard:
        yield forwarding.ForwardingSpec(forwarding_guard).specification()
    for configuration_guard in configuration.Guard:
        yield configuration.ConfigurationSpec(configuration_guard).specification()
    for permit_guard in permits.Guard:
        yield permits.PermitSpec(permit_guard).specification()
    for revocation_guard in revocation.Guard:
        yield revocation.RevocationSpec(revocation_guard).specification()


def main(late_writes: bool) -> int:
    """Check all specifications, print the results, and return the exit code, 0 or 1."""
    failed = False
    for specification in (
        dispatch.DispatchSpec().specification(),
        forwarding.ForwardingSpec().specification(),
        configuration.ConfigurationSpec().specification(),
        permits.PermitSpec(late_writes=late_writes).specification(),
        revocation.RevocationSpec().specification(),
    ):
        print(specification.describe())
        result = check(specification)
        print(result, flush=True)
        failed = failed or bool(result.violations) or not result.is_exhaustive
    for specification in _specifications_without_one_guard():
        result = check(specification, stop_at_violation=True)
        print(result, flush=True)
        failed = failed or not result.violations
    return int(failed)


if __name__ == "__main__":
    sys.exit(main("--late-writes" in sys.argv[1:]))
