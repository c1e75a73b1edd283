"""Malformed, oversized and forged messages between proxies.

A proxy refuses each with an error code, keeps running, and loses no record and no request.
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
from toucanspindle_core.records import NewRequest, RecordTable
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
from tests.rawmessages import CALL_TIMEOUT_S, RawCodec, call_error_code, oversized_call_error_code

SUBMIT_PATH: Final = "/toucanspindle.IssuerLink/Submit"
REFUSED_CODE: Final = "TS502"
FOREIGN_ISSUER: Final = "someone-else"
FOREIGN_TOKEN: Final = f"{FOREIGN_ISSUER}.0." + "x" * 24


def submit_request_for(reservation: Reservation, **changes: Any) -> pb.SubmitRequest:
    """Return the message with which a proxy relays a reservation, with `changes` to its fields."""
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
    """Invalid messages that are sent to a running proxy."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = self.start_lotbook(options=FleetOptions(node_count=2))
        self.issuer, self.other = self.fleet.nodes
        self.finished = self.reservation(self.fleet, self.issuer)
        self.first = reserve(self.issuer.entry, self.finished)
        self.request = self.reservation(self.fleet, self.issuer)

    def test_invalid_messages_are_refused_and_the_proxy_still_serves(self) -> None:
        self.assertEqual({}, {n: r for n, r in self.refusal_codes().items() if r != REFUSED_CODE})
        self.assert_proxy_still_serves()

    def refusal_codes(self) -> dict[str, str]:
        """Return the error code for each invalid message."""
        header_with_line_end = {"x-note": "a\r\nTransfer-Encoding: chunked"}
        submits = {
            "line end in a value": submit_request_for(self.request, headers=header_with_line_end),
            "line end in a name": submit_request_for(self.request, headers={"x\r\ny": "1"}),
            "length in upper case": submit_request_for(
                self.request, headers={"Content-Length": "0"}
            ),
            "character beyond latin-1": submit_request_for(self.request, headers={"x": "\u20ac"}),
            "line end in the path": submit_request_for(
                self.request, path="/lotbook HTTP/1.1\r\nx: y"
            ),
            "no method": submit_request_for(self.request, method=""),
            "another key": submit_request_for(self.request, key="another"),
            "another account": submit_request_for(self.request, account="other"),
            "not protobuf": b"\xff" * 64,
        }
        valid_answer = pb.SubmitAnswer(kind=pb.ANSWERED, status=200)
        batches = {
            "foreign token": batch_of(
                pb.FinishedRecord(token=FOREIGN_TOKEN, answer=valid_answer), "another"
            ),
            "no outcome": batch_of(pb.FinishedRecord(token=FOREIGN_TOKEN)),
            "no status": batch_of(record_with(pb.SubmitAnswer(kind=pb.ANSWERED))),
            "not run as unknown": batch_of(
                record_with(pb.SubmitAnswer(kind=pb.NOT_RUN, status=504))
            ),
            "line end for a caller": batch_of(record_with(answer_with_injected_response())),
        }
        crashes = {
            "no fingerprint": pb.CrashNotice(entry=pb.QuarantineEntry(service="lotbook")),
            "no service": pb.CrashNotice(entry=pb.QuarantineEntry(fingerprint="ab")),
            "no entry": pb.CrashNotice(),
        }
        refused = {name: self.refusal_code("Submit", message) for name, message in submits.items()}
        refused |= {
            name: self.refusal_code("HandOver", message) for name, message in batches.items()
        }
        refused |= {
            name: self.refusal_code("NoteCrash", message) for name, message in crashes.items()
        }
        address = control_address(self.issuer)
        refused["too long"] = asyncio.run(
            oversized_call_error_code(address, SUBMIT_PATH, MAX_MESSAGE_BYTES + 1)
        )
        return refused

    def refusal_code(self, method: str, message: Any) -> str:
        return asyncio.run(
            call_error_code(control_address(self.issuer), IssuerLinkStub, method, message)
        )

    def assert_proxy_still_serves(self) -> None:
        address = control_address(self.issuer)
        with socket.create_connection((address.ip, address.port)) as garbage:
            garbage.sendall(b"GET / HTTP/1.1\r\n\r\n" + b"\0" * 1000)
        self.assertEqual([], runs_of(self.fleet, self.request.key))
        for node in self.fleet.nodes:
            self.assertTrue(node.proxy.running)
            self.assertEqual(self.first, reserve(node.entry, self.finished))
        results = [reserve(node.entry, self.request) for node in (self.other, self.issuer)]
        self.assertEqual({OutcomeKind.ANSWERED}, {result.kind for result in results}, str(results))
        for reservation in (self.finished, self.request):
            self.assertEqual(1, len(runs_of(self.fleet, reservation.key)))


def control_address(node: EntryNode) -> HostPort:
    """Return the address at which a node's proxy serves other proxies."""
    return HostPort.parse(node.settings.proxy_control_address)


def batch_of(record: pb.FinishedRecord, sender: str = FOREIGN_ISSUER) -> pb.RecordBatch:
    """Return a batch of one record from the incarnation `sender`."""
    return pb.RecordBatch(from_incarnation=sender, records=[record], keep_ms=60_000)


def record_with(answer: pb.SubmitAnswer) -> pb.FinishedRecord:
    """Return a record of a foreign issuer with an answer."""
    return pb.FinishedRecord(account=ACCOUNT, token=FOREIGN_TOKEN, key="k", answer=answer)


def answer_with_injected_response() -> pb.SubmitAnswer:
    """Return an answer whose header would inject a second response if it were forwarded."""
    header = pb.Header(name="x", value="1\r\n\r\nHTTP/1.1 200 OK")
    return pb.SubmitAnswer(kind=pb.ANSWERED, status=200, headers=[header])


class InvalidIssuer(IssuerLinkBase):
    """Answers each Submit call with the bytes `answer`."""

    answer: Any = None

    async def Submit(self, stream: Any) -> None:  # noqa: N802
        """Answer any message."""
        await stream.recv_message()
        await stream.send_message(self.answer)

    async def _not_implemented(self, stream: Any) -> None:
        raise NotImplementedError

    HandOver = Explain = NoteCrash = _not_implemented


class InvalidAnswerTests(TestCase):
    """Invalid answers that a proxy receives from an issuer."""

    def test_invalid_answers_give_outcome_unknown(self) -> None:
        answers: dict[str, Any] = {
            "not protobuf": b"\xff" * 64,
            "no outcome": b"",
            "no status": pb.SubmitAnswer(kind=pb.ANSWERED).SerializeToString(),
            "not run as unknown": pb.SubmitAnswer(kind=pb.NOT_RUN, status=504).SerializeToString(),
            "line end": answer_with_injected_response().SerializeToString(),
        }
        for name, answer in answers.items():
            self.assertEqual("TS317", self.code_for_answer(answer), name)

    def code_for_answer(self, answer: bytes) -> str:
        """Return the error code that a caller gets when the issuer sends `answer`."""
        loop = EventLoopThread("test")
        loop.start()
        self.addCleanup(loop.close)
        issuer = InvalidIssuer()
        issuer.answer = answer
        address = ADDRESSES.allocate()
        server = loop.call(start_server(issuer, address), CALL_TIMEOUT_S)
        client = IssuerLinkClient(loop)
        exchange = Exchange(CallerRequest("POST", "/lotbook", {}, b""), cast(Any, None))
        exchange.deadline = exchange.received_at + CALL_TIMEOUT_S
        outcome = client.submit(str(address), exchange)
        client.close()
        loop.call(stop_server(server), CALL_TIMEOUT_S)
        return outcome.error_code.name if outcome.error_code else outcome.kind.value


async def start_server(issuer: InvalidIssuer, address: HostPort) -> Server:
    """Start a server that sends the bytes of its answers as they are."""
    server = Server([issuer], codec=RawCodec())
    await server.start(address.ip, address.port)
    return server


async def stop_server(server: Server) -> None:
    """Stop a server and wait until it is closed."""
    server.close()
    await server.wait_closed()


class BatchTests(TestCase):
    """Batches of handed-over records stay below the size limit of a message."""

    def test_large_answers_are_spread_over_batches(self) -> None:
        batches: list[pb.RecordBatch] = []
        issuer = TokenIssuer("issuer", MonotonicClock(), 60.0)
        records = RecordTable(issuer, MonotonicClock(), 120.0, 100)
        for key in ("a", "b", "c"):
            begun = records.begin(ACCOUNT, issuer.current(), key, b"", 0.0)
            assert isinstance(begun, NewRequest)
            begun.record.finish(Outcome.answered(200, (), bytes(BYTES_PER_BATCH)))
        successor = pb.Member(incarnation="next", state=pb.LIVE, proxy_control_address="1.1.1.1:1")
        client = cast(IssuerLinkClient, RecordingClient(batches))
        hand_over_records(records, "issuer", FleetState(members=(successor,)), client)
        self.assertEqual([1, 1, 1, 0], [len(batch.records) for batch in batches])
        self.assertEqual([False, False, False, True], [batch.complete for batch in batches])
        self.assertLess(max(batch.ByteSize() for batch in batches), MAX_MESSAGE_BYTES)


class RecordingClient:
    """Records the batches instead of sending them."""

    def __init__(self, batches: list[pb.RecordBatch]) -> None:
        self._batches = batches

    def hand_over(self, address: str, batch: pb.RecordBatch) -> None:  # noqa: ARG002
        """Append a batch to the list."""
        self._batches.append(batch)
