"""Digest of what a request asks for.

Two requests with one fingerprint ask for the same thing.  It tells a resend from another request
under a used key, and it names a request that crashed its target.  Each part is preceded by its
length, so that no two different requests yield the same input to the hash.
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
