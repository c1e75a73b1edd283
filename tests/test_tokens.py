"""Tests of TokenIssuer and request_fingerprint."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import LessThan
from toucanspindle_core import errorcodes
from toucanspindle_core.clock import ManualClock
from toucanspindle_core.errors import RequestError
from toucanspindle_core.fingerprint import request_fingerprint
from toucanspindle_core.tokens import MAX_TOKEN_CHARS, TokenIssuer, issuer_of


class TokenTests(TestCase):
    """Issuing and checking tokens."""

    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.issuer = TokenIssuer("n1-3fa9", self.clock, 600.0, b"secret")

    def error_code_of(self, token: str) -> object:
        return self.assertRaises(RequestError, self.issuer.check, token).code

    def test_token_names_its_issuer_within_the_length_limit(self) -> None:
        token = TokenIssuer("i" * 64, self.clock, 600.0).current()
        self.assertEqual("i" * 64, issuer_of(token))
        self.assertThat(len(token), LessThan(MAX_TOKEN_CHARS))

    def test_token_is_renewed_after_half_lifetime_and_expires_after_lifetime(self) -> None:
        first = self.issuer.current()
        self.clock.advance(300.0)
        self.assertNotEqual(first, self.issuer.current())
        self.clock.advance(299.0)
        self.issuer.check(first)
        self.clock.advance(1.0)
        self.assertIs(errorcodes.TOKEN_EXPIRED, self.error_code_of(first))

    def test_token_of_another_process_of_the_same_node_is_invalid(self) -> None:
        again = TokenIssuer("n1-3fa9", self.clock, 600.0, b"another secret")
        self.assertIs(errorcodes.TOKEN_INVALID, self.error_code_of(again.current()))

    def test_token_for_a_window_not_yet_minted_is_invalid(self) -> None:
        _, _, mac = self.issuer.current().split(".")
        self.assertIs(errorcodes.TOKEN_INVALID, self.error_code_of(f"n1-3fa9.7.{mac}"))

    @given(st.data())
    def test_token_with_one_altered_character_is_invalid(self, data: st.DataObject) -> None:
        token = self.issuer.current()
        place = data.draw(st.integers(0, len(token) - 1))
        character = data.draw(st.characters().filter(lambda c: c != token[place]))
        altered = token[:place] + character + token[place + 1 :]
        self.assertIs(errorcodes.TOKEN_INVALID, self.error_code_of(altered))

    @given(st.text())
    def test_arbitrary_text_is_invalid(self, text: str) -> None:
        self.assertIs(errorcodes.TOKEN_INVALID, self.error_code_of(text))


class FingerprintTests(TestCase):
    """Requests that differ in method, path or body have different fingerprints."""

    @given(st.lists(st.tuples(st.text(), st.text(), st.binary()), unique=True, max_size=5))
    def test_different_requests_have_different_fingerprints(
        self, requests: list[tuple[str, str, bytes]]
    ) -> None:
        parts = [(m, p, b) for m, p, b in requests if m.isascii()]
        self.assertEqual(len(parts), len({request_fingerprint(*part) for part in parts}))

    def test_bytes_moved_between_path_and_body_change_the_fingerprint(self) -> None:
        self.assertNotEqual(
            request_fingerprint("POST", "/a", b"b"), request_fingerprint("POST", "/ab", b"")
        )
