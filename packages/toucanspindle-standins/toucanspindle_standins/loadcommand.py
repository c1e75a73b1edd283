"""The command `toucan-standins load`."""

import asyncio
import json
from dataclasses import asdict

from toucanspindle_core import errorcodes
from toucanspindle_core.errors import SettingsError

from toucanspindle_standins.cliarguments import parse_address
from toucanspindle_standins.loadgenerator import MAX_SECONDS, LoadGenerator, LoadSettings


def load(
    *,
    to: str,
    path: str,
    rate: float,
    seconds: float,
    account_count: int = 20,
    seed: int = 1,
    non_idempotent: float = 0.0,
    submit_service: str = "",
    submit_path: str = "",
    paired_direct: str | None = None,
) -> None:
    """Send requests at a fixed mean rate, without waiting for answers, and print a JSON report.

    Parameters
    ----------
    to
        IP:port of an entry node.
    path
        Path of the idempotent GET requests.
    rate
        Mean requests per second of a Poisson process.
    seconds
        Duration of the run; at most 600.
    account_count
        Number of accounts, drawn uniformly per request.
    seed
        Seed of the arrival times, accounts and request kinds.
    non_idempotent
        Share of requests that are sent as POST with idempotency key and token.
    submit_service
        Service whose directory answer provides the token.
    submit_path
        Path of the POST requests.
    paired_direct
        IP:port of a target that also gets each request; latency differences are reported.
    """
    if not 0 < seconds <= MAX_SECONDS or rate <= 0 or account_count < 1:
        raise SettingsError(
            errorcodes.STANDIN_USAGE,
            f"A run of {seconds} s at {rate}/s for {account_count} accounts isn't possible.",
            f"give a rate, a count and seconds above 0, and at most {MAX_SECONDS:.0f} seconds",
        )
    if non_idempotent and not (submit_service and submit_path):
        raise SettingsError(
            errorcodes.STANDIN_USAGE,
            "Non-idempotent requests need a service and a path.",
            "give --submit-service and --submit-path",
        )
    settings = LoadSettings(
        to=parse_address(to),
        path=path,
        rate_per_s=rate,
        seconds=seconds,
        account_count=account_count,
        seed=seed,
        non_idempotent=non_idempotent,
        submit_service=submit_service,
        submit_path=submit_path,
        paired_direct=parse_address(paired_direct) if paired_direct else None,
    )
    report = asyncio.run(LoadGenerator(settings).run())
    print(json.dumps(asdict(report), indent=2))
