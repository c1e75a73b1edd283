"""Hands over the finished records of a proxy that shuts down to a successor (step HandOver).

The successor is the live member that is next by rendezvous hashing, preferably in another failure
domain.  If a member doesn't accept all records, the next one is tried.  The last batch, which is
sent after all records were accepted, is marked complete.  The successor then answers *not run* for
keys that it doesn't know.
"""

from collections.abc import Iterable
from typing import Final

from logbook import Logger
from toucanspindle_core import control_pb2 as pb
from toucanspindle_core.assignment import choose_by_weight
from toucanspindle_core.errors import ControlError
from toucanspindle_core.records import RecordTable

from toucanspindle_node.fleetstate import FleetState
from toucanspindle_node.issuerlink import IssuerLinkClient
from toucanspindle_node.outcomewire import covered_token_message, record_message

MAX_SUCCESSORS: Final = 3
RECORDS_PER_BATCH: Final = 200
BYTES_PER_BATCH: Final = 8_388_608

log = Logger("handover")


def hand_over_records(
    records: RecordTable, incarnation: str, state: FleetState, client: IssuerLinkClient
) -> str:
    """Hand over all finished records; return the successor's incarnation, or "" without one."""
    messages = [record_message(record, outcome) for record, outcome in records.finished_records()]
    messages += [covered_token_message(token) for token in records.tokens_with_complete_records()]
    keep_ms = int(records.lifetime_s * 1000)
    for successor in _successors(incarnation, state):
        try:
            for batch in _batches(incarnation, messages, keep_ms):
                client.hand_over(successor.proxy_control_address, batch)
        except ControlError as error:
            log.warning("{}", error)
            continue
        log.info("{} records handed over to {}", len(messages), successor.node)
        return successor.incarnation
    if messages:
        log.error("no node accepted the {} records; their outcomes become unknown", len(messages))
    return ""


def _successors(incarnation: str, state: FleetState) -> list[pb.Member]:
    candidates = [m for m in state.live_members() if m.incarnation != incarnation]
    return choose_by_weight(incarnation, candidates, MAX_SUCCESSORS)


def _batches(
    incarnation: str, records: list[pb.FinishedRecord], keep_ms: int
) -> Iterable[pb.RecordBatch]:
    batch: list[pb.FinishedRecord] = []
    size_bytes = 0
    for record in records:
        size_bytes += record.ByteSize()
        if batch and (size_bytes > BYTES_PER_BATCH or len(batch) == RECORDS_PER_BATCH):
            yield pb.RecordBatch(from_incarnation=incarnation, records=batch, keep_ms=keep_ms)
            batch = []
            size_bytes = record.ByteSize()
        batch.append(record)
    if batch:
        yield pb.RecordBatch(from_incarnation=incarnation, records=batch, keep_ms=keep_ms)
    yield pb.RecordBatch(from_incarnation=incarnation, complete=True, keep_ms=keep_ms)
