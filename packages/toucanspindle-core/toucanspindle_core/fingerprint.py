"""Fingerprint of a request: a digest of its method, path and body.

Requests with the same fingerprint are treated as the same request.  The fingerprint distinguishes
a resend from another request that reuses its key, and identifies a request that crashed its target.
The hash input has the length of each part before the part, so two different requests never have
the same input.
"""

import hashlib
from typing import Final

LENGTH_BYTES: Final = 8


def request_fingerprint(method: str, path: str, body: bytes) -> bytes:
    """Return the 32-byte SHA-256 over method, path (with its query) and body."""
    digest = hashlib.sha256()
    for part in (method.encode(), path.encode("utf-8", "surrogateescape"), body):
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.digest()
