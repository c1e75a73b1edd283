"""Malformed, oversized and forged messages on the link between proxies.

Each is refused with a code; the process goes on, and neither a record nor a request is lost.
"""

import asyncio
import socket
from typing import Any, Final, cast

from grpclib.server import Server
from testtools import TestCase
from toucanspindle_core import control_pb2 as pb
from toucanspindle_core.clock import MonotonicClock
from toucanspindle_core.control_grpc import IssuerLinkBase, IssuerLinkStub
from toucanspindle_core.hostport import HostPort
from toucanspindle_core.outcome import Outcome, OutcomeKind
from toucanspindle_core.records import RecordTable, Started
from toucanspindle_core.tokens import TokenIssuer
from toucanspindle_node.eventloop import EventLoopThread
from toucanspindle_node.exchange import CallerRequest, Exchange
from toucanspindle_node.fleetstate import FleetState
from toucanspindle_node.handover import BYTES_PER_BATCH, hand_over_records
from toucanspindle_node.issuerlink import MAX_MESSAGE_BYTES, IssuerLinkClient
from toucanspindle_standins.entrynode import EntryNode
from toucanspindle_standins.fleet import FleetOptions

from tests.fleetcase import ACCOUNT, FleetTestCase, Reservation, reserve, runs_of
from tests.harness import ADDRESSES
from tests.rawmessages import CALL_TIMEOUT_S, RawCodec, refusal_of, refusal_of_length

SUBMIT: Final = "/toucanspindle.IssuerLink/Submit"
REFUSED: Final = "TS502"
ALIEN: Final = "someone-else"
ALIEN_TOKEN: Final = f"{ALIEN}.0." + "x" * 24


def submit_of(reservation: Reservation, **changes: Any) -> pb.SubmitRequest:
    """Return the message by which an honest proxy sends a reservation, with changes."""
    headers = {
        "toucan-account": ACCOUNT,
        "toucan-token": reservation.token,
        "idempotency-key": reservation.key,
    } | changes.pop("headers", {})
    values: dict[str, Any] = {
        "account": ACCOUNT,
        "token": reservation.token,
        "key": reservation.key,
        "method": "POST",
        "path": "/lotbook",
        "body": reservation.body,
        "deadline_ms": 2000,
        "headers": [pb.Header(name=n, value=v) for n, v in headers.items()],
    }
    return pb.SubmitRequest(**(values | changes))


class RefusedMessageTests(FleetTestCase):
    """What a running proxy refuses from others."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = self.start_lotbook(options=FleetOptions(node_count=2))
        self.issuer, self.other = self.fleet.nodes
        self.done = self.reservation(self.fleet, self.issuer)
        self.first = reserve(self.issuer.entry, self.done)
        self.request = self.reservation(self.fleet, self.issuer)

    def test_all_are_refused_and_nothing_is_lost(self) -> None:
        self.assertEqual({}, {n: r for n, r in self.messages().items() if r != REFUSED})
        self.assert_unharmed()

    def messages(self) -> dict[str, str]:
        """Return how each message was refused."""
        line_end = {"x-note": "a\r\nTransfer-Encoding: chunked"}
        submits = {
            "line end in a value": submit_of(self.request, headers=line_end),
            "line end in a name": submit_of(self.request, headers={"x\r\ny": "1"}),
            "length in upper case": submit_of(self.request, headers={"Content-Length": "0"}),
            "character beyond latin-1": submit_of(self.request, headers={"x": "\u20ac"}),
            "line end in the path": submit_of(self.request, path="/lotbook HTTP/1.1\r\nx: y"),
            "no method": submit_of(self.request, method=""),
            "another key": submit_of(self.request, key="another"),
            "another account": submit_of(self.request, account="other"),
            "no wire format": b"\xff" * 64,
        }
        own = pb.SubmitAnswer(kind=pb.ANSWERED, status=200)
        batches = {
            "foreign token": batch_of(pb.FinishedRecord(token=ALIEN_TOKEN, answer=own), "another"),
            "no outcome": batch_of(pb.FinishedRecord(token=ALIEN_TOKEN)),
            "status of none": batch_of(record_with(pb.SubmitAnswer(kind=pb.ANSWERED))),
            "not run as unknown": batch_of(
                record_with(pb.SubmitAnswer(kind=pb.NOT_RUN, status=504))
            ),
            "line end for a caller": batch_of(record_with(split_answer())),
        }
        crashes = {
            "no fingerprint": pb.CrashNotice(entry=pb.QuarantineEntry(service="lotbook")),
            "no service": pb.CrashNotice(entry=pb.QuarantineEntry(fingerprint="ab")),
            "no entry": pb.CrashNotice(),
        }
        refused = {name: self.refusal("Submit", message) for name, message in submits.items()}
        refused |= {name: self.refusal("HandOver", message) for name, message in batches.items()}
        refused |= {name: self.refusal("NoteCrash", message) for name, message in crashes.items()}
        address = control_address(self.issuer)
        refused["too long"] = asyncio.run(refusal_of_length(address, SUBMIT, MAX_MESSAGE_BYTES + 1))
        return refused

    def refusal(self, method: str, message: Any) -> str:
        return asyncio.run(
            refusal_of(control_address(self.issuer), IssuerLinkStub, method, message)
        )

    def assert_unharmed(self) -> None:
        address = control_address(self.issuer)
        with socket.create_connection((address.ip, address.port)) as garbage:
            garbage.sendall(b"GET / HTTP/1.1\r\n\r\n" + b"\0" * 1000)
        self.assertEqual([], runs_of(self.fleet, self.request.key))
        for node in self.fleet.nodes:
            self.assertTrue(node.proxy.running)
            self.assertEqual(self.first, reserve(node.entry, self.done))
        told = [reserve(node.entry, self.request) for node in (self.other, self.issuer)]
        self.assertEqual({OutcomeKind.ANSWERED}, {one.kind for one in told}, str(told))
        for one in (self.done, self.request):
            self.assertEqual(1, len(runs_of(self.fleet, one.key)))


def control_address(node: EntryNode) -> HostPort:
    """Return where a node's proxy hears other proxies."""
    return HostPort.parse(node.settings.proxy_control_address)


def batch_of(record: pb.FinishedRecord, sender: str = ALIEN) -> pb.RecordBatch:
    """Return a batch of one record."""
    return pb.RecordBatch(from_incarnation=sender, records=[record], keep_ms=60_000)


def record_with(answer: pb.SubmitAnswer) -> pb.FinishedRecord:
    """Return a record with an answer."""
    return pb.FinishedRecord(account=ACCOUNT, token=ALIEN_TOKEN, key="k", answer=answer)


def split_answer() -> pb.SubmitAnswer:
    """Return an answer that would be two if its headers were passed on."""
    header = pb.Header(name="x", value="1\r\n\r\nHTTP/1.1 200 OK")
    return pb.SubmitAnswer(kind=pb.ANSWERED, status=200, headers=[header])


class WrongIssuer(IssuerLinkBase):
    """Answers each submit with a given message."""

    answer: Any = None

    async def Submit(self, stream: Any) -> None:  # noqa: N802
        """Answer whatever comes."""
        await stream.recv_message()
        await stream.send_message(self.answer)

    async def _nothing(self, stream: Any) -> None:
        raise NotImplementedError

    HandOver = Explain = NoteCrash = _nothing


class WrongAnswerTests(TestCase):
    """What a proxy makes of an issuer's answer that is no outcome."""

    def test_each_is_unknown(self) -> None:
        answers: dict[str, Any] = {
            "no wire format": b"\xff" * 64,
            "no outcome": b"",
            "status of none": pb.SubmitAnswer(kind=pb.ANSWERED).SerializeToString(),
            "not run as unknown": pb.SubmitAnswer(kind=pb.NOT_RUN, status=504).SerializeToString(),
            "line end": split_answer().SerializeToString(),
        }
        for name, answer in answers.items():
            self.assertEqual("TS317", self.code_told(answer), name)

    def code_told(self, answer: bytes) -> str:
        """Return the code that a caller is told after the issuer's answer."""
        loop = EventLoopThread("test")
        loop.start()
        self.addCleanup(loop.close)
        issuer = WrongIssuer()
        issuer.answer = answer
        address = ADDRESSES.take()
        server = loop.call(start_server(issuer, address), CALL_TIMEOUT_S)
        caller = IssuerLinkClient(loop)
        exchange = Exchange(CallerRequest("POST", "/lotbook", {}, b""), cast(Any, None))
        exchange.deadline = exchange.received_at + CALL_TIMEOUT_S
        outcome = caller.submit(str(address), exchange)
        caller.close()
        loop.call(stop_server(server), CALL_TIMEOUT_S)
        return outcome.error_code.name if outcome.error_code else outcome.kind.value


async def start_server(issuer: WrongIssuer, address: HostPort) -> Server:
    """Start a server that sends the bytes of its answers as they are."""
    server = Server([issuer], codec=RawCodec())
    await server.start(address.ip, address.port)
    return server


async def stop_server(server: Server) -> None:
    """Stop it."""
    server.close()
    await server.wait_closed()


class BatchTests(TestCase):
    """Records that are handed over stay below what a successor takes in one message."""

    def test_large_answers_are_spread_over_batches(self) -> None:
        batches: list[pb.RecordBatch] = []
        issuer = TokenIssuer("issuer", MonotonicClock(), 60.0)
        records = RecordTable(issuer, MonotonicClock(), 120.0, 100)
        for key in ("a", "b", "c"):
            begun = records.begin(ACCOUNT, issuer.current(), key, b"", 0.0)
            assert isinstance(begun, Started)
            begun.record.finish(Outcome.answered(200, (), bytes(BYTES_PER_BATCH)))
        successor = pb.Member(incarnation="next", state=pb.LIVE, proxy_control_address="1.1.1.1:1")
        caller = cast(IssuerLinkClient, RecordingCaller(batches))
        hand_over_records(records, "issuer", FleetState(members=(successor,)), caller)
        self.assertEqual([1, 1, 1, 0], [len(batch.records) for batch in batches])
        self.assertEqual([False, False, False, True], [batch.complete for batch in batches])
        self.assertLess(max(batch.ByteSize() for batch in batches), MAX_MESSAGE_BYTES)


class RecordingCaller:
    """Keeps the batches that it is to hand over."""

    def __init__(self, batches: list[pb.RecordBatch]) -> None:
        self._batches = batches

    def hand_over(self, address: str, batch: pb.RecordBatch) -> None:  # noqa: ARG002
        """Keep a batch."""
        self._batches.append(batch)
