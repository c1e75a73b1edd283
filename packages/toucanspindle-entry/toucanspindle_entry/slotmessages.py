"""Messages between a host that needs slots and the broker of a service, as datagram arrays.
    ["ask", id, service, failure domain, priority, time left ms, goal left ms, is retry, may repeat,
     excluded, fingerprint]
["grant", id, service, target, sick, sick age ms, address, started ms]    ["queued", id]
["refused", id, reason, retry after ms]
["end", service, id, target, end, work ms, fingerprint]    ["noted", id]
["sync", service]    ["held", service, leases, results]
"""

from toucanspindle_entry.datagrams import Message
from toucanspindle_entry.model import TargetEntry
from toucanspindle_entry.posterior import AttemptEnd
from toucanspindle_entry.slottypes import (
    AttemptReport,
    Decision,
    Grant,
    RefusalReason,
    Refused,
    SlotAsk,
)

MS_PER_S = 1000


def encode_ask(service: str, ask: SlotAsk) -> Message:
    """Return the message of an ask."""
    return [
        "ask",
        ask.id,
        service,
        ask.failure_domain,
        ask.priority,
        int(ask.time_left_s * MS_PER_S),
        int(ask.goal_left_s * MS_PER_S),
        int(ask.is_retry),
        int(ask.may_repeat),
        list(ask.excluded),
        ask.fingerprint,
    ]


def decode_ask(host: str, message: Message) -> tuple[str, SlotAsk]:
    """Return the service and the ask of a host's message."""
    _, ask_id, service, domain, priority, left_ms, goal_ms, *rest = message
    is_retry, may_repeat, excluded, fingerprint = rest
    ask = SlotAsk(
        id=str(ask_id),
        host=host,
        failure_domain=str(domain),
        priority=int(priority),
        time_left_s=left_ms / MS_PER_S,
        goal_left_s=goal_ms / MS_PER_S,
        is_retry=bool(is_retry),
        may_repeat=bool(may_repeat),
        excluded=tuple(excluded),
        fingerprint=str(fingerprint),
    )
    return str(service), ask


def encode_decision(service: str, decision: Decision, target: TargetEntry | None) -> Message:
    """Return the message of a broker's answer; `target` is that of a grant."""
    if isinstance(decision, Grant):
        address = str(target.address) if target else ""
        started_ms = target.started_ms if target else 0
        sick = round(decision.sick, 3)
        age_ms = int(decision.sick_age_s * MS_PER_S)
        named = [decision.ask_id, service, decision.target]
        return ["grant", *named, sick, age_ms, address, started_ms]
    if isinstance(decision, Refused):
        after_ms = int(decision.retry_after_s * MS_PER_S)
        return ["refused", decision.ask_id, decision.reason.value, after_ms]
    return ["queued", decision.ask_id]


def decode_refusal(host: str, message: Message) -> Refused:
    """Return the refusal of a broker's message."""
    _, ask_id, reason, after_ms = message
    return Refused(str(ask_id), host, RefusalReason(reason), after_ms / MS_PER_S)


def encode_report(service: str, report: AttemptReport) -> Message:
    """Return the message of an attempt's end."""
    work_ms = int(report.work_s * MS_PER_S)
    return [
        "end",
        service,
        report.ask_id,
        report.target,
        report.end.value,
        work_ms,
        report.fingerprint,
    ]


def decode_report(message: Message) -> tuple[str, AttemptReport]:
    """Return the service and the report of a message."""
    _, service, ask_id, target, end, work_ms, fingerprint = message
    report = AttemptReport(
        str(ask_id), str(target), AttemptEnd(end), work_ms / MS_PER_S, str(fingerprint)
    )
    return str(service), report
