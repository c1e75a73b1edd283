"""Tokens that bind a non-idempotent request to the one process that may dispatch it.

A token is "<incarnation>.<window>.<mac>".  The incarnation identifies the issuing process.  The
window is a counter that the issuer increments at least every half token lifetime while it hands
out tokens.  The MAC is an HMAC-SHA-256 over both, with a secret that never leaves the process.
Tokens are public: the directory hands them out.  Only the issuer's own monotonic clock decides
when a token expires.
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
    """Return the incarnation in a token, or None if the text doesn't have the form of a token.

    The MAC isn't checked, as only the issuer has the secret.
    """
    match = _TOKEN.fullmatch(token)
    return match.group(1) if match else None


class TokenIssuer:
    """Issues and checks the tokens of one incarnation; safe for use by several threads.

    Invariants: window numbers only increase; the time at which a window was minted never changes;
    an expired token never becomes valid again.
    """

    def __init__(
        self, incarnation: str, clock: Clock, lifetime_s: float, secret: bytes | None = None
    ) -> None:
        """Create an issuer for `incarnation`; without `secret` it generates a random one.

        Raises ValueError if the incarnation isn't 1 to 64 URL-safe characters.
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
        """Identifier of the issuing process, which every token names."""
        return self._incarnation

    @property
    def lifetime_s(self) -> float:
        """Seconds from when a token is minted until it expires."""
        return self._lifetime_s

    def current(self) -> str:
        """Return the newest token; mint a new one if that is half a lifetime old or older."""
        with self._lock:
            if self._clock.now() - self._minted_at[-1] >= self._lifetime_s / 2:
                self._mint()
            return self._current

    def rotate(self) -> str:
        """Mint and return a new token at once; older tokens stay valid until they expire."""
        with self._lock:
            self._mint()
            return self._current

    def minted_at(self, token: str) -> float:
        """Return when a token was minted, in seconds of the issuer's clock.

        Raises RequestError TOKEN_INVALID if it isn't a token of this issuer.
        """
        match = _TOKEN.fullmatch(token)
        if match is None or match.group(1) != self._incarnation:
            raise _invalid_token_error("it wasn't issued by this node's running process")
        window = int(match.group(2))
        if not hmac.compare_digest(match.group(3), self._mac(window)):
            raise _invalid_token_error("its signature is wrong")
        with self._lock:
            return self._minted_at[window]

    def tokens_minted_after(self, earliest: float) -> list[str]:
        """Return all tokens minted after `earliest`, a time in seconds of the issuer's clock."""
        with self._lock:
            minted_at = list(self._minted_at)
        return [self._token_for(w) for w, at in enumerate(minted_at) if at > earliest]

    def check(self, token: str) -> None:
        """Raise RequestError (TOKEN_INVALID or TOKEN_EXPIRED) unless the token is valid now."""
        if self.is_expired(self.minted_at(token), self._clock.now()):
            raise token_expired_error()

    def is_expired(self, minted_at: float, now: float) -> bool:
        """Return whether a token minted at `minted_at` has expired at `now`; both in seconds."""
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


def token_expired_error() -> RequestError:
    """Return the error for a new request under an expired token."""
    return RequestError(
        errorcodes.TOKEN_EXPIRED,
        "The token has expired and the request was not run.",
        "ask the directory again and send the request with the new token",
    )


def _invalid_token_error(cause: str) -> RequestError:
    return RequestError(
        errorcodes.TOKEN_INVALID,
        f"The token is refused: {cause}.",
        "ask the directory again and send the request with the token unchanged",
    )
