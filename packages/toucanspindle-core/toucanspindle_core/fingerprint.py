"""Fingerprint of a request: a digest of its method, path and body.

Requests with the same fingerprint are treated as the same request.  The fingerprint distinguishes
a resend from another request that reuses its key, and identifies a request that crashed its target.
The hash input has the length of each part before the part, so two different requests never have
the same input.
"""

import hashlib
from collections.abc import Iterable
from typing import Final

LENGTH_BYTES: Final = 8


def request_fingerprint(method: str, path: str, body: bytes) -> bytes:
    """Return the 32-byte SHA-256 over method, path (with its query) and body."""
    return fingerprint_of_parts(method, path, (body,), len(body))


def fingerprint_of_parts(
    method: str, path: str, body_parts: Iterable[bytes | bytearray], body_bytes: int
) -> bytes:
    """Return the fingerprint of a request whose body is in parts, of `body_bytes` together."""
    digest = hashlib.sha256()
    for part in (method.encode(), path.encode("utf-8", "surrogateescape")):
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    digest.update(body_bytes.to_bytes(LENGTH_BYTES, "big"))
    for body_part in body_parts:
        digest.update(body_part)
    return digest.digest()
