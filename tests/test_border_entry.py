"""Malformed and hostile requests are refused with an error code and don't run."""

import re
import socket
import uuid
from dataclasses import dataclass
from typing import Final

from toucanspindle_core.hostport import HostPort
from toucanspindle_core.outcome import OutcomeKind
from toucanspindle_standins.entrynode import EntryNode
from toucanspindle_standins.fleet import Fleet, FleetOptions

from tests.fleetcase import ACCOUNT, SERVICE, FleetTestCase, Reservation, look_up, reserve, runs_of

READ_TIMEOUT_S: Final = 10.0
TARGETS: Final = 4
SMUGGLED_REQUEST: Final = (
    b"GET /lotbook/smuggled HTTP/1.1\r\nHost: x\r\nToucan-Account: acme\r\n\r\n"
)
STATUS_LINE: Final = re.compile(rb"HTTP/1\.1 (\d{3}) ")
ERROR_HEADER: Final = re.compile(rb"Toucan-Error: (TS\d{3})")


@dataclass(frozen=True)
class RawResponse:
    """All bytes received on one connection."""

    data: bytes

    @property
    def statuses(self) -> list[int]:
        """The status of each response."""
        return [int(status) for status in STATUS_LINE.findall(self.data)]

    @property
    def code(self) -> str:
        """The error code of the first response, or an empty string."""
        match = ERROR_HEADER.search(self.data)
        return match.group(1).decode() if match else ""


def send_raw(address: HostPort, data: bytes, end_sending: bool = True) -> RawResponse:
    """Send bytes on a new connection, and read until the proxy closes it."""
    received = b""
    with socket.create_connection((address.ip, address.port), READ_TIMEOUT_S) as connection:
        try:
            connection.sendall(data)
            if end_sending:
                connection.shutdown(socket.SHUT_WR)
            while chunk := connection.recv(65_536):
                received += chunk
        except ConnectionError:
            pass  # the proxy closed the connection before it read all bytes
    return RawResponse(received)


class RequestValidationTestCase(FleetTestCase):
    """A fleet of two nodes, and checks that it refuses requests and still serves."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet: Fleet = self.start_lotbook(TARGETS, FleetOptions(node_count=2))
        self.node: EntryNode = self.fleet.nodes[0]

    def headers_of(self, reservation: Reservation) -> bytes:
        return (
            f"Host: x\r\nToucan-Account: {ACCOUNT}\r\nIdempotency-Key: {reservation.key}\r\n"
            f"Toucan-Token: {reservation.token}\r\n"
        ).encode()

    def assert_refused(self, framing_by_case: dict[str, tuple[bytes, bytes]]) -> None:
        """Assert that reservations with such final headers and bodies are refused and don't run."""
        failures: list[str] = []
        for name, (framing, body) in framing_by_case.items():
            reservation = self.reservation(self.fleet, self.node)
            head = b"POST /lotbook HTTP/1.1\r\n" + self.headers_of(reservation) + framing
            failures += self.failures_of(name, head + b"\r\n" + body, reservation)
        self.assertEqual([], failures)
        self.assert_proxy_still_serves()

    def failures_of(self, name: str, data: bytes, reservation: Reservation) -> list[str]:
        """Send `data`; return a text for each deviation from one refusal with a code and no run."""
        try:
            response = send_raw(self.node.entry, data)
        except TimeoutError:
            return [f"{name}: neither answered nor closed"]
        failures = []
        refused = b"Toucan-Outcome: not-run" in response.data
        if len(response.statuses) != 1 or response.statuses[0] < 400 or not refused:
            failures.append(f"{name}: {response.data[:300]!r}")
        if not response.code:
            failures.append(f"{name}: no code")
        if runs_of(self.fleet, reservation.key):
            failures.append(f"{name}: it ran")
        return failures

    def assert_proxy_still_serves(self) -> None:
        """Assert that the proxy serves both kinds of request, and that no smuggled request ran."""
        self.assertEqual(OutcomeKind.ANSWERED, look_up(self.node.entry).kind)
        reservation = self.reservation(self.fleet, self.node)
        self.assertEqual(OutcomeKind.ANSWERED, reserve(self.node.entry, reservation).kind)
        self.assertEqual(1, len(runs_of(self.fleet, reservation.key)))
        logs = [target.log_path.read_bytes() for target in self.fleet.targets.values()]
        self.assertNotIn(b"smuggled", b"".join(logs))


class SmugglingTests(RequestValidationTestCase):
    """Requests that two HTTP parsers could interpret differently."""

    def test_ambiguous_framing_is_refused(self) -> None:
        chunked = b"0\r\n\r\n" + SMUGGLED_REQUEST
        framing_by_case = {
            "length and encoding": (
                b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                chunked,
            ),
            "encoding and length": (
                b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
                chunked,
            ),
            "two lengths": (
                b"Content-Length: 5\r\nContent-Length: 0\r\n",
                b"hello" + SMUGGLED_REQUEST,
            ),
            "one length twice": (b"Content-Length: 5\r\nContent-Length: 5\r\n", b"hello"),
            "list of lengths": (b"Content-Length: 5, 5\r\n", b"hello" + SMUGGLED_REQUEST),
            "signed length": (b"Content-Length: +5\r\n", b"hello" + SMUGGLED_REQUEST),
            "negative length": (b"Content-Length: -1\r\n", SMUGGLED_REQUEST),
            "hexadecimal length": (b"Content-Length: 0x5\r\n", b"hello" + SMUGGLED_REQUEST),
            "underscored length": (b"Content-Length: 1_0\r\n", b"hellohello" + SMUGGLED_REQUEST),
            "empty length": (b"Content-Length:\r\n", SMUGGLED_REQUEST),
            "other encoding": (b"Transfer-Encoding: gzip\r\n", SMUGGLED_REQUEST),
            "two encodings": (b"Transfer-Encoding: gzip, chunked\r\n", chunked),
            "obscured encoding": (b"Transfer-Encoding: xchunked\r\n", chunked),
            "encoding twice": (
                b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
                chunked,
            ),
            "folded header": (b"X-A: b\r\n Content-Length: 5\r\n", b"hello" + SMUGGLED_REQUEST),
            "folded encoding": (b"Transfer-Encoding:\r\n chunked\r\n", chunked),
            "bare line feed": (b"X-A: b\nContent-Length: 5\r\n", b"hello" + SMUGGLED_REQUEST),
            "bare carriage return": (b"X-A: b\rContent-Length: 5\r\n", b"hello" + SMUGGLED_REQUEST),
            "space before colon": (b"Content-Length : 5\r\n", b"hello" + SMUGGLED_REQUEST),
            "tab in name": (b"Content-Length\t: 5\r\n", b"hello" + SMUGGLED_REQUEST),
            "no colon": (b"Content-Length 5\r\n", b"hello" + SMUGGLED_REQUEST),
            "null byte": (b"X-A: a\0b\r\nContent-Length: 5\r\n", b"hello" + SMUGGLED_REQUEST),
        }
        self.assert_refused(framing_by_case)

    def test_malformed_request_lines_are_refused(self) -> None:
        lines = {
            "no version": b"POST /lotbook",
            "unknown version": b"POST /lotbook HTTP/9.9",
            "relative path": b"POST lotbook HTTP/1.1",
            "empty path": b"POST  HTTP/1.1",
            "extra word": b"POST /lotbook x HTTP/1.1",
        }
        failures: list[str] = []
        for name, line in lines.items():
            reservation = self.reservation(self.fleet, self.node)
            head = line + b"\r\n" + self.headers_of(reservation)
            failures += self.failures_of(
                name, head + b"Content-Length: 0\r\n\r\n" + SMUGGLED_REQUEST, reservation
            )
        self.assertEqual([], failures)
        self.assert_proxy_still_serves()

    def test_broken_chunks_are_refused(self) -> None:
        bodies = {
            "not a number": b"zz\r\nhello\r\n0\r\n\r\n",
            "negative": b"-5\r\nhello\r\n0\r\n\r\n",
            "signed": b"+5\r\nhello\r\n0\r\n\r\n",
            "underscored": b"1_0\r\n" + b"x" * 16 + b"\r\n0\r\n\r\n",
            "prefixed": b"0x5\r\nhello\r\n0\r\n\r\n",
            "no end of chunk": b"5\r\nhelloworld\r\n0\r\n\r\n",
            "huge": b"ffffffffffffffff\r\nhello\r\n0\r\n\r\n",
            "empty size": b"\r\nhello\r\n0\r\n\r\n",
            "bare line feed": b"5\nhello\n0\n\n",
        }
        encoding = b"Transfer-Encoding: chunked\r\n"
        self.assert_refused(
            {name: (encoding, body + SMUGGLED_REQUEST) for name, body in bodies.items()}
        )

    def test_truncated_body_does_not_run(self) -> None:
        for framing, body in (
            (b"Content-Length: 50\r\n", b"hello"),
            (b"Transfer-Encoding: chunked\r\n", b"32\r\nhello"),
            (b"Transfer-Encoding: chunked\r\n", b"5\r\nhello\r\n"),
        ):
            reservation = self.reservation(self.fleet, self.node)
            head = b"POST /lotbook HTTP/1.1\r\n" + self.headers_of(reservation) + framing
            response = send_raw(self.node.entry, head + b"\r\n" + body)
            self.assertNotIn(200, response.statuses, f"{framing!r} {body!r}")
            self.assertEqual([], runs_of(self.fleet, reservation.key), f"{framing!r} {body!r}")
        self.assert_proxy_still_serves()


class LimitTests(RequestValidationTestCase):
    """Requests that are too large, or whose header values are invalid or repeated."""

    def test_oversize_requests_are_refused(self) -> None:
        limit = self.fleet.config.defaults.max_body_bytes
        framing_by_case = {
            "one long header": (b"X-A: " + b"a" * 40_000 + b"\r\nContent-Length: 0\r\n", b""),
            "many headers": (b"X-A: a\r\n" * 10_000 + b"Content-Length: 0\r\n", b""),
            "declared too long": (b"Content-Length: 999999999999\r\n", b""),
            "longer than the service accepts": (
                f"Content-Length: {limit + 1}\r\n".encode(),
                b"x" * (limit + 1),
            ),
        }
        self.assert_refused(framing_by_case)

    def test_long_path_is_refused(self) -> None:
        reservation = self.reservation(self.fleet, self.node)
        head = b"POST /lotbook/" + b"a" * 100_000 + b" HTTP/1.1\r\n"
        data = head + self.headers_of(reservation) + b"Content-Length: 0\r\n\r\n"
        self.assertEqual([], self.failures_of("long path", data, reservation))
        self.assert_proxy_still_serves()

    def test_invalid_or_repeated_header_values_are_refused(self) -> None:
        requests = {
            "account": (b"Account: acme", b"Account: ac\xffme"),
            "key": (b"Key: ", b"Key: \xff\xfe"),
            "token": (b"Token: ", b"Token: \xc3\x28"),
            "method": (b"POST", b"PO\xffST"),
            "path": (b"/lotbook", b"/\xfflotbook"),
            "deadline": (b"Host: x", b"Toucan-Deadline-Ms: \xb2"),
            "long deadline": (b"Host: x", b"Host: x\r\nToucan-Deadline-Ms: 000000100999999999999"),
            "account twice": (b"Host: x", b"Host: x\r\nToucan-Account: other"),
            "key twice": (b"Host: x", b"Host: x\r\nIdempotency-Key: other"),
            "token twice": (b"Host: x", b"Host: x\r\nToucan-Token: other"),
            "deadline twice": (
                b"Host: x",
                b"Host: x\r\nToucan-Deadline-Ms: 500\r\nToucan-Deadline-Ms: 900",
            ),
        }
        failures: list[str] = []
        for name, (good, bad) in requests.items():
            reservation = self.reservation(self.fleet, self.node)
            head = b"POST /lotbook HTTP/1.1\r\n" + self.headers_of(reservation)
            data = head.replace(good, bad, 1) + b"Content-Length: 0\r\n\r\n"
            failures += self.failures_of(name, data, reservation)
        self.assertEqual([], failures)
        self.assert_proxy_still_serves()


class IdentityTests(RequestValidationTestCase):
    """Forged and altered tokens, and reused keys."""

    def test_forged_and_altered_tokens_are_refused(self) -> None:
        good = self.reservation(self.fleet, self.node)
        issuer, window, mac = good.token.split(".")
        tokens = {
            "malformed token": "x",
            "altered mac": f"{issuer}.{window}.{mac[::-1]}",
            "altered window": f"{issuer}.{int(window) + 1}.{mac}",
            "huge window": f"{issuer}.999999999999999.{mac}",
            "longer": good.token + "A",
        }
        for name, token in tokens.items():
            for node in self.fleet.nodes:
                result = reserve(node.entry, Reservation(uuid.uuid4().hex, token, b"body"))
                self.assertEqual(OutcomeKind.NOT_RUN, result.kind, f"{name} at {node.name}")
                self.assertEqual("TS306", result.code, f"{name} at {node.name}")
        self.assertEqual([], [run for run in self.fleet.all_runs() if run.key])
        self.assert_proxy_still_serves()

    def test_request_with_a_token_of_an_unknown_issuer_is_reported_as_unknown(self) -> None:
        _, window, mac = self.reservation(self.fleet, self.node).token.split(".")
        forged = Reservation(uuid.uuid4().hex, f"nobody.{window}.{mac}", b"body")
        self.assertEqual(OutcomeKind.UNKNOWN, reserve(self.node.entry, forged).kind)
        self.assertEqual([], runs_of(self.fleet, forged.key))

    def test_reused_key_with_another_body_is_refused_and_keeps_the_first_outcome(self) -> None:
        first = self.reservation(self.fleet, self.node)
        result = reserve(self.node.entry, first)
        changed_body = Reservation(first.key, first.token, b"another body")
        for node in self.fleet.nodes:
            refused = reserve(node.entry, changed_body)
            self.assertEqual(("TS308", 422), (refused.code, refused.status), node.name)
        self.assertEqual(result, reserve(self.node.entry, first))
        self.assertEqual(1, len(runs_of(self.fleet, first.key)), SERVICE)
