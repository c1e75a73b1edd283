"""Registry of all error codes that toucanspindle reports.

Each code is registered here once, with the HTTP status that callers get with it and a description
for the reference pages.  Number ranges: 1xx process settings, 2xx fleet configuration and
operator commands, 3xx request outcomes, 4xx the platform, 5xx control traffic between processes,
6xx decisions, 7xx the stand-ins.
"""

from dataclasses import dataclass
from typing import Final


@dataclass(frozen=True)
class ErrorCode:
    """An error code: its printed name, the HTTP status for callers, and its description."""

    name: str
    http_status: int
    description: str

    def __str__(self) -> str:
        """Return the printed name, such as "TS101"."""
        return self.name


_registry: dict[str, ErrorCode] = {}


def _register(name: str, http_status: int, description: str) -> ErrorCode:
    if name in _registry:
        raise ValueError(f"error code {name} is registered twice")
    code = ErrorCode(name, http_status, description)
    _registry[name] = code
    return code


def all_codes() -> list[ErrorCode]:
    """Return every registered code, sorted by name."""
    return [_registry[name] for name in sorted(_registry)]


def lookup_code(name: str) -> ErrorCode | None:
    """Return the code registered under `name`, or None."""
    return _registry.get(name)


# 1xx: process settings.
SETTINGS_INVALID: Final = _register("TS101", 500, "A process settings file has wrong values.")
SETTINGS_UNREADABLE: Final = _register("TS102", 500, "A settings file can't be read or isn't TOML.")
ADDRESS_IN_USE: Final = _register("TS103", 500, "A listening address is in use.")
ADDRESS_INVALID: Final = _register("TS104", 500, "A listening address doesn't belong to this host.")

# 2xx: fleet configuration and operator commands.
CONFIG_INVALID: Final = _register("TS201", 500, "A fleet configuration has wrong values.")
CONFIG_CONFLICT: Final = _register("TS202", 500, "Another operator's change was accepted first.")
CONFIG_ABSENT: Final = _register("TS203", 503, "No fleet configuration has been applied yet.")
CONFIG_TOO_LARGE: Final = _register("TS204", 500, "A part of the configuration exceeds 1 MB.")
UNKNOWN_NAME: Final = _register("TS205", 500, "A named service, target or exception is unknown.")
CHANGE_UNCERTAIN: Final = _register(
    "TS206", 500, "It isn't known yet whether a change took effect."
)
CONFIG_PART_MISSING: Final = _register("TS207", 503, "A part of the configuration is missing.")
CONFIG_PART_CORRUPT: Final = _register("TS208", 500, "A part doesn't match its digest or role.")
CONFIG_HEAD_MALFORMED: Final = _register("TS209", 500, "The configuration head is malformed.")
BASE_GENERATION_MISSING: Final = _register(
    "TS210", 500, "A change doesn't name its base generation."
)
PLATFORM_GENERATION_OUTDATED: Final = _register(
    "TS211", 500, "Nodes hold a newer generation than the platform."
)
ROLLOUT_INCOMPLETE: Final = _register(
    "TS212", 503, "Some nodes don't have a generation in force yet."
)
OPTION_INVALID: Final = _register("TS213", 500, "An option or argument has a wrong value.")

# 3xx: request outcomes.
ACCOUNT_MISSING: Final = _register("TS301", 400, "The request names no account.")
NO_ROUTE: Final = _register("TS302", 404, "No route matches the request.")
SERVICE_UNKNOWN: Final = _register("TS303", 404, "The service isn't declared.")
KEY_MISSING: Final = _register("TS304", 428, "A non-idempotent request has no idempotency key.")
TOKEN_MISSING: Final = _register("TS305", 428, "A non-idempotent request has no token.")
TOKEN_INVALID: Final = _register(
    "TS306", 428, "The token is forged, altered or issued by another process."
)
TOKEN_EXPIRED: Final = _register("TS307", 428, "The token has expired.")
KEY_REUSED: Final = _register("TS308", 422, "The key was used with another request.")
RECORDS_FULL: Final = _register("TS309", 503, "The node can't record another request.")
DEADLINE_TOO_SHORT: Final = _register(
    "TS310", 503, "The deadline is too short or passed before dispatch."
)
OVERLOADED: Final = _register("TS311", 503, "The service has no room for the request.")
ACCOUNT_LIMITED: Final = _register("TS312", 429, "The account is over its rate limit.")
NO_TARGET: Final = _register("TS313", 503, "No target could take the request.")
QUARANTINED: Final = _register("TS314", 409, "The request crashed targets and is quarantined.")
UNKNOWN_TIMEOUT: Final = _register("TS315", 504, "The target didn't answer in time.")
UNKNOWN_ANSWER_LOST: Final = _register("TS316", 504, "The target's answer was lost or incomplete.")
UNKNOWN_ISSUER: Final = _register("TS317", 504, "The node that issued the token can't be reached.")
UNKNOWN_MISMATCHED_ANSWER: Final = _register(
    "TS318", 504, "The target's answer is for another request."
)
BODY_TOO_LARGE: Final = _register("TS319", 413, "The request body exceeds the limit.")
BAD_REQUEST: Final = _register("TS320", 400, "The request is malformed.")
NODE_CLOSING: Final = _register("TS321", 503, "The node is closing and accepts no new request.")
UNKNOWN_RECORD_EVICTED: Final = _register("TS322", 504, "The token is older than the records kept.")
UNKNOWN_CRASHED_TARGETS: Final = _register("TS323", 504, "The request crashed targets that ran it.")
UNKNOWN_PROXY_FAILED: Final = _register("TS324", 504, "The proxy failed while serving the request.")
RETRIES_EXHAUSTED: Final = _register(
    "TS325", 502, "The request failed, and the service's retries are used up."
)
TARGET_FAILED: Final = _register("TS326", 502, "The target's answer was broken or unusable.")
ACCOUNT_KEY_UNKNOWN: Final = _register(
    "TS327", 401, "The request's account key is missing or unknown."
)
ACCOUNT_KEYS_UNCONFIRMED: Final = _register(
    "TS328", 503, "The host can't confirm in time that account keys are still valid."
)

# 4xx: the platform.
PLATFORM_UNREACHABLE: Final = _register("TS401", 503, "The platform can't be reached.")
PLATFORM_CONFLICT: Final = _register("TS402", 500, "A conditional update found another version.")
PLATFORM_MALFORMED: Final = _register("TS403", 500, "The platform's answer is malformed.")
PLATFORM_REFUSED: Final = _register("TS404", 500, "The platform refused the call.")

# 5xx: control traffic between processes.
AGENT_UNREACHABLE: Final = _register("TS501", 503, "The agent can't be reached.")
PEER_MALFORMED: Final = _register("TS502", 500, "A peer's message is malformed.")
INCARNATION_OUTDATED: Final = _register("TS503", 500, "A message names an outdated incarnation.")
INCARNATION_UNKNOWN: Final = _register("TS504", 500, "A message names an unknown incarnation.")
PEER_UNREACHABLE: Final = _register("TS505", 503, "A peer can't be reached.")
BUNDLE_INCOMPLETE: Final = _register(
    "TS506", 503, "A configuration bundle has a missing or altered part."
)
PLATFORM_HEAD_OUTDATED: Final = _register(
    "TS507", 500, "The platform holds an older configuration."
)

# 6xx: decisions.
PERMITS_INVALID: Final = _register("TS601", 500, "A permits object is malformed.")

# 7xx: the stand-ins.
STANDIN_USAGE: Final = _register("TS701", 400, "A stand-in got a request that it doesn't support.")
