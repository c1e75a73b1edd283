"""Objects that the system keeps in the platform's object API, as models at the border.

Kinds and names:

- `config/head`: the configuration head; replacing it conditionally is what accepts a change.
- `config-part/<digest>`: an immutable part, named by the SHA-256 of its canonical JSON.
- `permits/<service>`: grants of ejection permits.
"""

import hashlib
import json
from datetime import datetime
from typing import Any, Final

from pydantic import Field

from toucanspindle_core.fleetconfig import StrictModel

CONFIG_KIND: Final = "config"
HEAD_NAME: Final = "head"
PART_KIND: Final = "config-part"
PERMITS_KIND: Final = "permits"
MAX_VALUE_BYTES: Final = 1_000_000


class ConfigHead(StrictModel):
    """What one accepted change consists of.

    `parts` maps a part's role ("defaults", "exceptions", "accounts", "services-0", ...) to its
    digest.  `previous` is the digest of the previous head, kept as a part, or empty at first.
    """

    generation: int = Field(ge=1)
    change_id: str = Field(min_length=8)
    parts: dict[str, str]
    who: str
    why: str
    when: datetime
    previous: str = ""


def canonical_json(value: Any) -> bytes:
    """Return the one JSON encoding of a value that digests are taken of."""
    return json.dumps(value, sort_keys=True, separators=(",", ":"), default=str).encode()


def digest_of(data: bytes) -> str:
    """Return the hexadecimal SHA-256 of canonical JSON."""
    return hashlib.sha256(data).hexdigest()
