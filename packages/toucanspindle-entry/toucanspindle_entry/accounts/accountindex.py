"""Finds the client account of a request by the key that the caller sent.

A key is looked up in one table, whatever the number of accounts.  Keys are secrets: a plan holds
only digests of them, from the moment at which it is decoded, so that neither the messages between
hosts nor the memory of a process has a key that no caller is just using.
"""

import hashlib
from collections.abc import Iterable
from typing import Final

from toucanspindle_entry.model import ClientAccount

# 128 bits: keys are random, so a digest can't be guessed, and a plan stays small enough to relay.
DIGEST_BYTES: Final = 16


def key_digest(key: str) -> str:
    """Return the digest of a key under which its account is found."""
    encoded = key.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest()


class AccountError(ValueError):
    """The accounts of a plan are inconsistent; the text contains no key."""


class AccountIndex:
    """The client accounts of one plan by their keys."""

    def __init__(self, accounts: Iterable[ClientAccount]) -> None:
        """Index the accounts; raise AccountError if two of them have the same key."""
        self._accounts_by_digest: dict[str, ClientAccount] = {}
        self._accounts_by_name: dict[str, ClientAccount] = {}
        for account in accounts:
            self._accounts_by_name[account.name] = account
            for digest in account.key_digests:
                if self._accounts_by_digest.setdefault(digest, account) is not account:
                    raise AccountError(f"account {account.name!r} has a key of another account")

    def find(self, key: str) -> ClientAccount | None:
        """Return the account that a key belongs to, or None."""
        return self._accounts_by_digest.get(key_digest(key))

    def named(self, name: str) -> ClientAccount | None:
        """Return the account of a name, or None."""
        return self._accounts_by_name.get(name)
