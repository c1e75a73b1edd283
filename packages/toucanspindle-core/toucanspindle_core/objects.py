"""Names and models of the objects that the fleet stores through the platform's object API.

Kinds and names:

- `config/head`: the configuration head; a change is accepted by replacing it conditionally.
- `config-part/<digest>`: an immutable part, named by the SHA-256 of its canonical JSON.
- `permits/<service>`: granted ejection permits of a service.
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
    """One accepted change: its generation, its parts, and who made it, why and when.

    `parts` maps the role of each part ("fleet", "exceptions", "accounts-0", "services-0", ...) to
    its digest.  `previous` is the digest of the previous head, which is stored as a part; it is
    empty in the first head.
    """

    generation: int = Field(ge=1)
    change_id: str = Field(min_length=8)
    parts: dict[str, str]
    who: str
    why: str
    when: datetime
    previous: str = ""


def canonical_json(value: Any) -> bytes:
    """Return the canonical JSON of a value (sorted keys, no blanks), over which digests are made.

    Values that JSON can't represent are written as their text.
    """
    return json.dumps(value, sort_keys=True, separators=(",", ":"), default=str).encode()


def digest_of(data: bytes) -> str:
    """Return the SHA-256 of canonical JSON in hexadecimal."""
    return hashlib.sha256(data).hexdigest()
