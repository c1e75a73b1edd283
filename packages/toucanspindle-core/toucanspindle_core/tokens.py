"""Tokens that bind a non-idempotent request to the one process that may dispatch it.

A token is "<incarnation>.<window>.<mac>".  The incarnation names the issuing process, the window
is a number that the issuer raises each half lifetime, and the MAC is an HMAC of both by a secret
that never leaves the process.  Tokens are public: the directory hands them out.  A token expires
by the issuer's own monotonic clock; no other clock takes part.
"""

import base64
import hashlib
import hmac
import re
import secrets
import threading
from typing import Final

from toucanspindle_core import errorcodes
from toucanspindle_core.clock import Clock
from toucanspindle_core.errors import RequestError

SECRET_BYTES: Final = 32
MAC_BYTES: Final = 18
MAX_TOKEN_CHARS: Final = 120
MAX_INCARNATION_CHARS: Final = 64

_TOKEN: Final = re.compile(
    rf"([A-Za-z0-9_-]{{1,{MAX_INCARNATION_CHARS}}})\.(0|[1-9][0-9]{{0,15}})\.([A-Za-z0-9_-]{{24}})",
    re.ASCII,
)
_INCARNATION: Final = re.compile(rf"[A-Za-z0-9_-]{{1,{MAX_INCARNATION_CHARS}}}", re.ASCII)


def issuer_of(token: str) -> str | None:
    """Return the incarnation that a token names, or None when it has no token's form.

    The MAC isn't checked: only the issuer can.
    """
    match = _TOKEN.fullmatch(token)
    return match.group(1) if match else None


class TokenIssuer:
    """Issues and checks the tokens of one incarnation; safe for use by several threads.

    Invariants: window numbers only grow; the time at which a window was minted never changes; a
    token that has expired never becomes valid again.
    """

    def __init__(
        self, incarnation: str, clock: Clock, lifetime_s: float, secret: bytes | None = None
    ) -> None:
        """Create an issuer for `incarnation`; without `secret` a random one is drawn.

        Raise ValueError when the incarnation isn't 1 to 64 URL-safe characters.
        """
        if not _INCARNATION.fullmatch(incarnation):
            raise ValueError(f"incarnation {incarnation!r} isn't 1 to 64 URL-safe characters")
        self._incarnation = incarnation
        self._clock = clock
        self._lifetime_s = lifetime_s
        self._secret = secret or secrets.token_bytes(SECRET_BYTES)
        self._lock = threading.Lock()
        self._minted_at: list[float] = [clock.now()]
        self._current = self._token_for(0)

    @property
    def incarnation(self) -> str:
        """The process that the tokens are bound to."""
        return self._incarnation

    @property
    def lifetime_s(self) -> float:
        """Seconds from the minting of a token to its expiry."""
        return self._lifetime_s

    def current(self) -> str:
        """Return the newest token, minting one when half a lifetime has passed."""
        with self._lock:
            if self._clock.now() - self._minted_at[-1] >= self._lifetime_s / 2:
                self._mint()
            return self._current

    def rotate(self) -> str:
        """Mint a new token at once; older ones stay valid until they expire."""
        with self._lock:
            self._mint()
            return self._current

    def minted_at(self, token: str) -> float:
        """Return when a token of this issuer was minted; raise RequestError TOKEN_INVALID."""
        match = _TOKEN.fullmatch(token)
        if match is None or match.group(1) != self._incarnation:
            raise _invalid("it isn't a token of this node's running process")
        window = int(match.group(2))
        if not hmac.compare_digest(match.group(3), self._mac(window)):
            raise _invalid("its signature is wrong")
        with self._lock:
            return self._minted_at[window]

    def tokens_since(self, earliest: float) -> list[str]:
        """Return every token minted after `earliest`, in seconds of the issuer's clock."""
        with self._lock:
            minted_at = list(self._minted_at)
        return [self._token_for(w) for w, at in enumerate(minted_at) if at > earliest]

    def check(self, token: str) -> None:
        """Raise RequestError TOKEN_INVALID or TOKEN_EXPIRED unless the token is valid now."""
        if self.is_expired(self.minted_at(token), self._clock.now()):
            raise expired_error()

    def is_expired(self, minted_at: float, now: float) -> bool:
        """Return whether a token minted at `minted_at` has expired at `now`."""
        return now - minted_at >= self._lifetime_s

    def _mint(self) -> None:
        self._minted_at.append(self._clock.now())
        self._current = self._token_for(len(self._minted_at) - 1)

    def _token_for(self, window: int) -> str:
        return f"{self._incarnation}.{window}.{self._mac(window)}"

    def _mac(self, window: int) -> str:
        message = f"{self._incarnation}.{window}".encode()
        digest = hmac.new(self._secret, message, hashlib.sha256).digest()
        return base64.urlsafe_b64encode(digest[:MAC_BYTES]).decode()


def expired_error() -> RequestError:
    """Return the error for an expired token."""
    return RequestError(
        errorcodes.TOKEN_EXPIRED,
        "The token has expired and the request was not run.",
        "ask the directory again and send the request with the fresh token",
    )


def _invalid(cause: str) -> RequestError:
    return RequestError(
        errorcodes.TOKEN_INVALID,
        f"The token is refused: {cause}.",
        "ask the directory again and send the request with the token as it was given",
    )
