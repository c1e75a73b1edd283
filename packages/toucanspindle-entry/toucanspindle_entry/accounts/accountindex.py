"""Finds the client account of a request by the key that the caller sent.

A key is looked up in one table, whatever the number of accounts.  Keys are secrets: nothing here
writes one to a log, an error or a representation.
"""

from collections.abc import Iterable

from toucanspindle_entry.model import ClientAccount


class AccountError(ValueError):
    """The accounts of a plan are inconsistent; the text contains no key."""


class AccountIndex:
    """The client accounts of one plan by their keys."""

    def __init__(self, accounts: Iterable[ClientAccount]) -> None:
        """Index the accounts; raise AccountError if two of them have the same key."""
        self._accounts_by_key: dict[str, ClientAccount] = {}
        self._accounts_by_name: dict[str, ClientAccount] = {}
        for account in accounts:
            self._accounts_by_name[account.name] = account
            for key in account.keys:
                if self._accounts_by_key.setdefault(key, account) is not account:
                    raise AccountError(f"account {account.name!r} has a key of another account")

    def find(self, key: str) -> ClientAccount | None:
        """Return the account that a key belongs to, or None."""
        return self._accounts_by_key.get(key)

    def named(self, name: str) -> ClientAccount | None:
        """Return the account of a name, or None."""
        return self._accounts_by_name.get(name)
