"""Encodes and decodes the datagrams about quotas of client accounts.

    ["quota-ask", id, account, wanted, plan version, rate per second, burst]
    ["quota-grant", id, granted, retry after ms]
    ["quota-return", account, count, age ms]
    ["quota-debit", account, total, age ms]

A host asks the keeper of an account for credits with `quota-ask`, naming the limits that its own
plan has, and gets `quota-grant`; a resent question has the same id and gets the same answer.  It
sends credits that were not used back with `quota-return`; the age is that of the oldest of them.  A
host that grants credits which another keeper may grant as well tells that one with `quota-debit`:
how many in total, and since how long.  A lost message is made up for by the next one.
"""

import math
from dataclasses import dataclass

from toucanspindle_entry.accounts.quotakeeper import AccountLimits, QuotaAnswer
from toucanspindle_entry.hosts.datagrams import Message

MS_PER_S = 1000
MAX_CREDITS = 1_000_000  # In one message.


@dataclass(frozen=True)
class QuotaQuestion:
    """A question for credits; `limits` are those of the plan of the host that asks."""

    id: str
    account: str
    wanted: int
    limits: AccountLimits


def encode_question(question: QuotaQuestion) -> Message:
    """Return the `quota-ask` message for a question."""
    limits = question.limits
    return [
        "quota-ask",
        question.id,
        question.account,
        question.wanted,
        limits.plan_version,
        limits.rate_per_s,
        limits.burst,
    ]


def decode_question(message: Message) -> QuotaQuestion:
    """Return the question of a `quota-ask` message; raise ValueError for invalid numbers."""
    _, question_id, account, wanted, plan_version, rate_per_s, burst = message[:7]
    limits = AccountLimits(int(plan_version), _amount(rate_per_s), _amount(burst))
    return QuotaQuestion(str(question_id), str(account), _count(wanted), limits)


def encode_answer(question_id: str, answer: QuotaAnswer) -> Message:
    """Return the `quota-grant` message for an answer; the time is rounded up."""
    return ["quota-grant", question_id, answer.granted, math.ceil(answer.retry_after_s * MS_PER_S)]


def decode_answer(message: Message) -> tuple[str, QuotaAnswer]:
    """Return the id of the question and the answer of a `quota-grant` message."""
    _, question_id, granted, retry_after_ms = message[:4]
    answer = QuotaAnswer(_count(granted, 0), _amount(retry_after_ms) / MS_PER_S)
    return str(question_id), answer


def encode_return(account: str, count: int, age_s: float) -> Message:
    """Return the `quota-return` message for credits that were granted `age_s` ago."""
    return ["quota-return", account, count, math.ceil(age_s * MS_PER_S)]


def decode_return(message: Message) -> tuple[str, int, float]:
    """Return the account, the number of credits and their age in seconds."""
    _, account, count, age_ms = message[:4]
    return str(account), _count(count), _amount(age_ms) / MS_PER_S


def encode_debit(account: str, total: int, age_s: float) -> Message:
    """Return the `quota-debit` message for credits granted since `age_s` ago."""
    return ["quota-debit", account, total, int(age_s * MS_PER_S)]


def decode_debit(message: Message) -> tuple[str, int, float]:
    """Return the account, the total of credits, and how long ago the first was granted."""
    _, account, total, age_ms = message[:4]
    return str(account), _count(total), _amount(age_ms) / MS_PER_S


def _count(value: object, least: int = 1) -> int:
    if not isinstance(value, int) or not least <= value <= MAX_CREDITS:
        raise ValueError(f"invalid number of credits {value!r}")
    return value


def _amount(value: object) -> float:
    if not isinstance(value, int | float) or not 0 <= value < math.inf:
        raise ValueError(f"invalid amount {value!r}")
    return float(value)
