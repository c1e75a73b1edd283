"""Malformed and hostile requests at the entry: refused with a code, and nothing else happens."""

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
SMUGGLED: Final = b"GET /lotbook/smuggled HTTP/1.1\r\nHost: x\r\nToucan-Account: acme\r\n\r\n"
STATUS_LINE: Final = re.compile(rb"HTTP/1\.1 (\d{3}) ")
ERROR_HEADER: Final = re.compile(rb"Toucan-Error: (TS\d{3})")


@dataclass(frozen=True)
class RawAnswer:
    """All bytes that came back on one connection."""

    data: bytes

    @property
    def statuses(self) -> list[int]:
        """The status of each answer."""
        return [int(status) for status in STATUS_LINE.findall(self.data)]

    @property
    def code(self) -> str:
        """The error code of the first answer, or an empty text."""
        match = ERROR_HEADER.search(self.data)
        return match.group(1).decode() if match else ""


def send_raw(address: HostPort, data: bytes, end_sending: bool = True) -> RawAnswer:
    """Send bytes on a fresh connection and read until the proxy closes it."""
    received = b""
    with socket.create_connection((address.ip, address.port), READ_TIMEOUT_S) as connection:
        try:
            connection.sendall(data)
            if end_sending:
                connection.shutdown(socket.SHUT_WR)
            while chunk := connection.recv(65_536):
                received += chunk
        except ConnectionError:
            pass  # the proxy closed before it had read everything
    return RawAnswer(received)


class BorderCase(FleetTestCase):
    """A fleet of two nodes, and checks that it came through."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet: Fleet = self.start_lotbook(TARGETS, FleetOptions(node_count=2))
        self.node: EntryNode = self.fleet.nodes[0]

    def headers_of(self, reservation: Reservation) -> bytes:
        return (
            f"Host: x\r\nToucan-Account: {ACCOUNT}\r\nIdempotency-Key: {reservation.key}\r\n"
            f"Toucan-Token: {reservation.token}\r\n"
        ).encode()

    def assert_refused(self, framings: dict[str, tuple[bytes, bytes]]) -> None:
        """Assert that reservations with such last headers and bodies are refused, and none runs."""
        faults: list[str] = []
        for name, (framing, body) in framings.items():
            reservation = self.reservation(self.fleet, self.node)
            head = b"POST /lotbook HTTP/1.1\r\n" + self.headers_of(reservation) + framing
            faults += self.faults_of(name, head + b"\r\n" + body, reservation)
        self.assertEqual([], faults)
        self.assert_goes_on()

    def faults_of(self, name: str, data: bytes, reservation: Reservation) -> list[str]:
        """Send `data`; return what is wrong unless it gets one refusal with a code and no run."""
        try:
            answer = send_raw(self.node.entry, data)
        except TimeoutError:
            return [f"{name}: neither answered nor closed"]
        faults = []
        refused = b"Toucan-Outcome: not-run" in answer.data
        if len(answer.statuses) != 1 or answer.statuses[0] < 400 or not refused:
            faults.append(f"{name}: {answer.data[:300]!r}")
        if not answer.code:
            faults.append(f"{name}: no code")
        if runs_of(self.fleet, reservation.key):
            faults.append(f"{name}: it ran")
        return faults

    def assert_goes_on(self) -> None:
        """The proxy serves both kinds of request, and nothing was smuggled in."""
        self.assertEqual(OutcomeKind.ANSWERED, look_up(self.node.entry).kind)
        reservation = self.reservation(self.fleet, self.node)
        self.assertEqual(OutcomeKind.ANSWERED, reserve(self.node.entry, reservation).kind)
        self.assertEqual(1, len(runs_of(self.fleet, reservation.key)))
        logs = [target.log_path.read_bytes() for target in self.fleet.targets.values()]
        self.assertNotIn(b"smuggled", b"".join(logs))


class SmugglingTests(BorderCase):
    """Requests that two readers of the same bytes would take differently."""

    def test_ambiguous_framing_is_refused(self) -> None:
        chunked = b"0\r\n\r\n" + SMUGGLED
        framings = {
            "length and encoding": (
                b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                chunked,
            ),
            "encoding and length": (
                b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
                chunked,
            ),
            "two lengths": (b"Content-Length: 5\r\nContent-Length: 0\r\n", b"hello" + SMUGGLED),
            "one length twice": (b"Content-Length: 5\r\nContent-Length: 5\r\n", b"hello"),
            "list of lengths": (b"Content-Length: 5, 5\r\n", b"hello" + SMUGGLED),
            "signed length": (b"Content-Length: +5\r\n", b"hello" + SMUGGLED),
            "negative length": (b"Content-Length: -1\r\n", SMUGGLED),
            "hexadecimal length": (b"Content-Length: 0x5\r\n", b"hello" + SMUGGLED),
            "underscored length": (b"Content-Length: 1_0\r\n", b"hellohello" + SMUGGLED),
            "empty length": (b"Content-Length:\r\n", SMUGGLED),
            "other encoding": (b"Transfer-Encoding: gzip\r\n", SMUGGLED),
            "two encodings": (b"Transfer-Encoding: gzip, chunked\r\n", chunked),
            "obscured encoding": (b"Transfer-Encoding: xchunked\r\n", chunked),
            "encoding twice": (
                b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
                chunked,
            ),
            "folded header": (b"X-A: b\r\n Content-Length: 5\r\n", b"hello" + SMUGGLED),
            "folded encoding": (b"Transfer-Encoding:\r\n chunked\r\n", chunked),
            "bare line feed": (b"X-A: b\nContent-Length: 5\r\n", b"hello" + SMUGGLED),
            "bare carriage return": (b"X-A: b\rContent-Length: 5\r\n", b"hello" + SMUGGLED),
            "space before colon": (b"Content-Length : 5\r\n", b"hello" + SMUGGLED),
            "tab in name": (b"Content-Length\t: 5\r\n", b"hello" + SMUGGLED),
            "no colon": (b"Content-Length 5\r\n", b"hello" + SMUGGLED),
            "null byte": (b"X-A: a\0b\r\nContent-Length: 5\r\n", b"hello" + SMUGGLED),
        }
        self.assert_refused(framings)

    def test_malformed_request_lines_are_refused(self) -> None:
        lines = {
            "no version": b"POST /lotbook",
            "unknown version": b"POST /lotbook HTTP/9.9",
            "relative path": b"POST lotbook HTTP/1.1",
            "empty path": b"POST  HTTP/1.1",
            "extra word": b"POST /lotbook x HTTP/1.1",
        }
        faults: list[str] = []
        for name, line in lines.items():
            reservation = self.reservation(self.fleet, self.node)
            head = line + b"\r\n" + self.headers_of(reservation)
            faults += self.faults_of(
                name, head + b"Content-Length: 0\r\n\r\n" + SMUGGLED, reservation
            )
        self.assertEqual([], faults)
        self.assert_goes_on()

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
        self.assert_refused({name: (encoding, body + SMUGGLED) for name, body in bodies.items()})

    def test_a_body_cut_short_runs_nothing(self) -> None:
        for framing, body in (
            (b"Content-Length: 50\r\n", b"hello"),
            (b"Transfer-Encoding: chunked\r\n", b"32\r\nhello"),
            (b"Transfer-Encoding: chunked\r\n", b"5\r\nhello\r\n"),
        ):
            reservation = self.reservation(self.fleet, self.node)
            head = b"POST /lotbook HTTP/1.1\r\n" + self.headers_of(reservation) + framing
            answer = send_raw(self.node.entry, head + b"\r\n" + body)
            self.assertNotIn(200, answer.statuses, f"{framing!r} {body!r}")
            self.assertEqual([], runs_of(self.fleet, reservation.key), f"{framing!r} {body!r}")
        self.assert_goes_on()


class LimitTests(BorderCase):
    """Requests that are too large, or not text."""

    def test_oversize_requests_are_refused(self) -> None:
        limit = self.fleet.config.defaults.max_body_bytes
        framings = {
            "one long header": (b"X-A: " + b"a" * 40_000 + b"\r\nContent-Length: 0\r\n", b""),
            "many headers": (b"X-A: a\r\n" * 10_000 + b"Content-Length: 0\r\n", b""),
            "declared too long": (b"Content-Length: 999999999999\r\n", b""),
            "longer than the service takes": (
                f"Content-Length: {limit + 1}\r\n".encode(),
                b"x" * (limit + 1),
            ),
        }
        self.assert_refused(framings)

    def test_a_long_path_is_refused(self) -> None:
        reservation = self.reservation(self.fleet, self.node)
        head = b"POST /lotbook/" + b"a" * 100_000 + b" HTTP/1.1\r\n"
        data = head + self.headers_of(reservation) + b"Content-Length: 0\r\n\r\n"
        self.assertEqual([], self.faults_of("long path", data, reservation))
        self.assert_goes_on()

    def test_bytes_that_are_not_text_are_refused(self) -> None:
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
        faults: list[str] = []
        for name, (good, bad) in requests.items():
            reservation = self.reservation(self.fleet, self.node)
            head = b"POST /lotbook HTTP/1.1\r\n" + self.headers_of(reservation)
            data = head.replace(good, bad, 1) + b"Content-Length: 0\r\n\r\n"
            faults += self.faults_of(name, data, reservation)
        self.assertEqual([], faults)
        self.assert_goes_on()


class IdentityTests(BorderCase):
    """Tokens and keys that aren't what they should be."""

    def test_forged_and_altered_tokens_are_refused(self) -> None:
        good = self.reservation(self.fleet, self.node)
        issuer, window, mac = good.token.split(".")
        tokens = {
            "no token's form": "x",
            "altered mac": f"{issuer}.{window}.{mac[::-1]}",
            "altered window": f"{issuer}.{int(window) + 1}.{mac}",
            "huge window": f"{issuer}.999999999999999.{mac}",
            "longer": good.token + "A",
        }
        for name, token in tokens.items():
            for node in self.fleet.nodes:
                told = reserve(node.entry, Reservation(uuid.uuid4().hex, token, b"body"))
                self.assertEqual(OutcomeKind.NOT_RUN, told.kind, f"{name} at {node.name}")
                self.assertEqual("TS306", told.code, f"{name} at {node.name}")
        self.assertEqual([], [run for run in self.fleet.all_runs() if run.key])
        self.assert_goes_on()

    def test_a_token_of_nobody_is_unknown(self) -> None:
        _, window, mac = self.reservation(self.fleet, self.node).token.split(".")
        forged = Reservation(uuid.uuid4().hex, f"nobody.{window}.{mac}", b"body")
        self.assertEqual(OutcomeKind.UNKNOWN, reserve(self.node.entry, forged).kind)
        self.assertEqual([], runs_of(self.fleet, forged.key))

    def test_a_key_with_another_body_is_refused_and_the_first_stands(self) -> None:
        first = self.reservation(self.fleet, self.node)
        told = reserve(self.node.entry, first)
        changed = Reservation(first.key, first.token, b"another body")
        for node in self.fleet.nodes:
            refused = reserve(node.entry, changed)
            self.assertEqual(("TS308", 422), (refused.code, refused.status), node.name)
        self.assertEqual(told, reserve(self.node.entry, first))
        self.assertEqual(1, len(runs_of(self.fleet, first.key)), SERVICE)
