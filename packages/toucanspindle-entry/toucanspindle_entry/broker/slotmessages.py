"""Encodes and decodes the datagrams of the slot protocol between hosts and brokers.

Each message is an array whose first element is its kind:

    ["ask", id, service, failure domain, priority, time left ms, goal left ms, is retry, can retry,
     excluded, fingerprint, retry credit, account, account priority, account weight, body bytes,
     allowed targets, rejected before, is hedge]
    ["grant", id, service, target, unhealthy probability, estimate age ms, address, started ms,
     entry revision, era of the entry, hedge after ms]
    ["queued", id]
    ["refused", id, reason, retry after ms]
    ["end", service, id, target, outcome, work ms, fingerprint, notice]
    ["noted", id]
    ["sync", service]
    ["held", service, leases, results, poison messages as [fingerprint, targets], notices,
     retries as [count, age ms], body sizes as [id, bytes]]
    ["crashed", service, fingerprint, targets]
    ["granted", service, [[notice, count], ...]]

A host sends `ask` for a slot, `end` for the outcome of an attempt, and `held` with its slots,
recent outcomes, known poison messages, targets' notices and recent retries in reply to `sync`.  A
broker answers `ask` with `grant`, `queued` or `refused`, acknowledges `end` with `noted`, and sends
`sync` when it takes over.  `crashed` is described in `poisonsharing`.  A broker sends `granted` to
the hosts that may be brokers too for its grants of targets that limit their requests.  `id` is that
of the slot request.  A notice is encoded as in `targetnotices`; it is null if the target sent no
response.  The era of the store that the entry's revision belongs to is left out if it is 0 and
nothing follows; `hedge after` is sent only if the attempt may be hedged.
"""

from toucanspindle_entry.broker.slottypes import (
    AttemptReport,
    Decision,
    Grant,
    RefusalReason,
    Refused,
    SlotRequest,
)
from toucanspindle_entry.hosts.datagrams import Message
from toucanspindle_entry.model import TargetEntry
from toucanspindle_entry.targets.targethealth import AttemptOutcome
from toucanspindle_entry.targets.targetnotices import decode_notice, encode_notice

MS_PER_S = 1000


def encode_slot_request(service: str, slot_request: SlotRequest) -> Message:
    """Return the `ask` message for a slot request."""
    return [
        "ask",
        slot_request.id,
        service,
        slot_request.failure_domain,
        slot_request.priority,
        int(slot_request.time_left_s * MS_PER_S),
        int(slot_request.goal_left_s * MS_PER_S),
        int(slot_request.is_retry),
        int(slot_request.can_retry),
        list(slot_request.excluded),
        slot_request.fingerprint,
        round(slot_request.retry_credit, 4),
        *_encode_account_fields(slot_request),
    ]


def _encode_account_fields(slot_request: SlotRequest) -> Message:
    """Return the fields behind the retry credit, or none if all have their defaults."""
    fields: Message = [
        slot_request.account,
        slot_request.account_priority,
        slot_request.account_weight,
        slot_request.body_bytes,
        list(slot_request.allowed_targets),
        slot_request.rejected_before,
        int(slot_request.is_hedge),
    ]
    return fields if fields != ["", 0, 1.0, 0, [], 0, 0] else []


def decode_slot_request(host: str, message: Message) -> tuple[str, SlotRequest]:
    """Return the service and the slot request of an `ask` message; `host` is the sender.

    Hosts of earlier versions send no retry credit and nothing behind it.  Raises ValueError if a
    number is negative.
    """
    _, slot_request_id, service, failure_domain, priority, time_left_ms, goal_left_ms, *options = (
        message
    )
    is_retry, can_retry, excluded, fingerprint, *additions = options
    retry_credit = float(additions[0]) if additions else 0.0
    account, account_priority, account_weight, body_bytes, allowed_targets, *counts = (
        additions[1:8] if len(additions) > 7 else ("", 0, 1.0, 0, (), 0, 0)
    )
    rejected_before, is_hedge = counts
    if min(retry_credit, body_bytes, rejected_before, account_weight) < 0:
        raise ValueError(f"invalid numbers in a slot request: {additions}")
    slot_request = SlotRequest(
        id=str(slot_request_id),
        host=host,
        failure_domain=str(failure_domain),
        priority=int(priority),
        time_left_s=time_left_ms / MS_PER_S,
        goal_left_s=goal_left_ms / MS_PER_S,
        is_retry=bool(is_retry),
        can_retry=bool(can_retry),
        excluded=tuple(excluded),
        fingerprint=str(fingerprint),
        retry_credit=retry_credit,
        account=str(account),
        account_priority=int(account_priority),
        account_weight=float(account_weight),
        body_bytes=int(body_bytes),
        allowed_targets=tuple(allowed_targets),
        rejected_before=int(rejected_before),
        is_hedge=bool(is_hedge),
    )
    return str(service), slot_request


def encode_decision(service: str, decision: Decision, target: TargetEntry | None) -> Message:
    """Return the `grant`, `refused` or `queued` message for a broker's decision.

    `target` is the registered entry of the granted target.  Without it the message carries an empty
    address, and 0 as start time and revision.
    """
    if isinstance(decision, Grant):
        address = str(target.address) if target else ""
        started_ms = target.started_ms if target else 0
        unhealthy_probability = round(decision.unhealthy_probability, 3)
        age_ms = int(decision.estimate_age_s * MS_PER_S)
        identity = [decision.slot_request_id, service, decision.target]
        origin = [target.revision, target.era] if target else [0, 0]
        if decision.hedge_after_s is not None:
            origin.append(int(decision.hedge_after_s * MS_PER_S))
        elif not origin[1]:
            del origin[1]
        return ["grant", *identity, unhealthy_probability, age_ms, address, started_ms, *origin]
    if isinstance(decision, Refused):
        retry_after_ms = int(decision.retry_after_s * MS_PER_S)
        return ["refused", decision.slot_request_id, decision.reason.value, retry_after_ms]
    return ["queued", decision.slot_request_id]


def decode_refusal(host: str, message: Message) -> Refused:
    """Return the refusal of a `refused` message; raise ValueError for an unknown reason."""
    _, slot_request_id, reason, retry_after_ms = message
    return Refused(str(slot_request_id), host, RefusalReason(reason), retry_after_ms / MS_PER_S)


def encode_report(service: str, report: AttemptReport) -> Message:
    """Return the `end` message for the outcome of an attempt."""
    work_ms = int(report.work_s * MS_PER_S)
    return [
        "end",
        service,
        report.slot_request_id,
        report.target,
        report.outcome.value,
        work_ms,
        report.fingerprint,
        encode_notice(report.notice) if report.notice is not None else None,
    ]


def decode_report(message: Message) -> tuple[str, AttemptReport]:
    """Return the service and the report of an `end` message; earlier versions send no notice.

    Raises ValueError for an unknown outcome.
    """
    _, service, slot_request_id, target, outcome, work_ms, fingerprint, *notices = message
    report = AttemptReport(
        str(slot_request_id),
        str(target),
        AttemptOutcome(outcome),
        work_ms / MS_PER_S,
        str(fingerprint),
        decode_notice(notices[0]) if notices and notices[0] is not None else None,
    )
    return str(service), report
