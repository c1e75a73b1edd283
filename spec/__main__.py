"""Checks every specification and every removed guard: `python -m spec [--late-writes]`.

With `--late-writes` the permits are explored with writes that arrive after their holder gave up
waiting, which takes some minutes.  The exit code is 1 unless every property holds and every
removed guard is found.
"""

import sys
from collections.abc import Iterator

from spec import configuration, dispatch, forwarding, permits
from spec.checking import Specification, check


def _faulty() -> Iterator[Specification]:
    for guard in dispatch.Guard:
        yield dispatch.DispatchSpec(guard).specification()
    for forwarding_guard in forwarding.Guard:
        yield forwarding.ForwardingSpec(forwarding_guard).specification()
    for configuration_guard in configuration.Guard:
        yield configuration.ConfigurationSpec(configuration_guard).specification()
    for permit_guard in permits.Guard:
        yield permits.PermitSpec(permit_guard).specification()


def main(late_writes: bool) -> int:
    """Check everything, print what was explored, and return the exit code."""
    failed = False
    for specification in (
        dispatch.DispatchSpec().specification(),
        forwarding.ForwardingSpec().specification(),
        configuration.ConfigurationSpec().specification(),
        permits.PermitSpec(late_writes=late_writes).specification(),
    ):
        print(specification.describe())
        result = check(specification)
        print(result, flush=True)
        failed = failed or bool(result.violations) or not result.exhaustive
    for specification in _faulty():
        result = check(specification, stop_at_violation=True)
        print(result, flush=True)
        failed = failed or not result.violations
    return int(failed)


if __name__ == "__main__":
    sys.exit(main("--late-writes" in sys.argv[1:]))
