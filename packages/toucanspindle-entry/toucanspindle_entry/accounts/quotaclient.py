"""Acquires quota for the requests of this host, and runs the keeper of the accounts assigned to it.

The client asks the keeper of an account for credits: as many as requests wait, or as this host
used in the last CREDIT_S.  One question an account is under way at a time.  A refusal holds for
this host until the time that the keeper names.  A silent keeper is skipped for a while and the next
host in rank is asked; after MAX_KEEPERS_TRIED this host decides alone with its part of the quota.

Credit that isn't used in time, and that of a request which certainly has not run, goes back to the
keeper.  A host that was suspended or out of contact takes over anew as a keeper, since others may
have been asked meanwhile.
"""

import asyncio
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from logbook import Logger
from toucanspindle_core.clock import Clock

from toucanspindle_entry.accounts import quotamessages
from toucanspindle_entry.accounts.accountindex import AccountIndex
from toucanspindle_entry.accounts.keeperranking import KeeperRanking
from toucanspindle_entry.accounts.quotakeeper import (
    AccountLimits,
    KeeperRole,
    LoneQuota,
    QuotaAnswer,
    QuotaKeeper,
    QuotaRules,
)
from toucanspindle_entry.accounts.quotamessages import QuotaQuestion
from toucanspindle_entry.hosts.datagrams import DatagramEndpoint, Message
from toucanspindle_entry.hosts.livehosts import LiveHosts
from toucanspindle_entry.model import ClientAccount, FleetPlan
from toucanspindle_entry.settings import FleetBounds

TICK_S: Final = 0.1
# Credit held at the start of a window adds to what the window may run, by this times the rate.
CREDIT_S: Final = 0.25
QUESTION_WAITS_S: Final = (0.06, 0.14)  # Before the resend, and before the keeper counts as silent.
# A keeper that was asked has answered by then or is skipped.
TIMED_OUT_RETRY_AFTER_S: Final = sum(QUESTION_WAITS_S)
MAX_TIMER_DELAY_S: Final = 0.03  # A host whose timers are later than this is behind itself.
SILENT_KEEPER_SKIP_S: Final = 1.5
MAX_KEEPERS_TRIED: Final = 2
MAX_REFUSAL_S: Final = 1.0  # A refusal holds no longer, as the keeper may change meanwhile.
ANSWER_MEMORY_S: Final = 1.0  # A resent question gets the same answer for this long.
# A grant that arrives within this time after the host gave up on the question is returned.
LATE_ANSWER_S: Final = 1.0
SUSPENDED_AFTER_S: Final = 0.5  # The host was suspended if a tick is later than this.
NO_CONTACT_S: Final = 0.8  # Three probes without an answer.
# What was sent to this host while it was suspended is read within this time after it woke up.
STALE_MESSAGES_S: Final = 0.1
# Of the limits, for a host that is asked although another one is first in rank and believed alive.
# It probes that one, so within 0.5 s they reach each other, or this host is the first.
SUBSTITUTE_SHARE: Final = 0.5
DEBIT_PEER_MEMORY_S: Final = 120.0  # Hosts dead for longer get no debits.
MIN_DEBITED_SHARE: Final = 0.9  # With fewer hosts alive this host has known of a partition.
DEBIT_REPEAT_S: Final = 0.3
DEBIT_MEMORY_S: Final = 5.0  # A total ends this long after the last grant.
MAX_DEBIT_PEERS: Final = 3
STATE_MEMORY_S: Final = 2 * CREDIT_S  # `recent_use` is 0 after that.

log = Logger("quotas")


@dataclass(frozen=True)
class QuotaCredit:
    """The credit of one request, to be passed to `QuotaClient.give_back`; opaque to callers.

    `keeper` granted it; it is empty if this host decided alone, and None if the account has no
    limit.
    """

    account: str
    keeper: str | None
    granted_at: float


@dataclass(frozen=True)
class _UnansweredQuestion:
    """A question that this host gave up on."""

    keeper: str
    account: str
    asked_at: float
    gave_up_at: float


@dataclass
class _DebitTotal:
    """Credits of an account that another keeper may have granted as well, and when."""

    first_at: float
    last_at: float
    total: int = 0
    sent_total: int = 0
    sent_at: float = float("-inf")


@dataclass
class _AccountState:
    """What this host knows of an account's credit.

    `waiting` are the requests that wait for an answer.  `used` counts credits used since
    `slot_at`, and `used_before` those in the CREDIT_S before.
    """

    account: ClientAccount
    credits: deque[QuotaCredit] = field(default_factory=deque)
    waiting: deque[asyncio.Future[QuotaCredit | float]] = field(default_factory=deque)
    asking: asyncio.Task[None] | None = None
    refused_until: float = float("-inf")
    used: int = 0
    used_before: int = 0
    slot_at: float = float("-inf")

    def count_use(self, now: float) -> None:
        """Count a credit that a request uses."""
        self._move_slot(now)
        self.used += 1

    def recent_use(self, now: float) -> int:
        """Return how many credits were used in the last CREDIT_S, or a little longer."""
        self._move_slot(now)
        return max(self.used, self.used_before)

    def _move_slot(self, now: float) -> None:
        age_s = now - self.slot_at
        if age_s >= CREDIT_S:
            self.used_before = self.used if age_s < 2 * CREDIT_S else 0
            self.used = 0
            self.slot_at = now


class QuotaClient:
    """Acquires quota for this host's requests, and answers as the keeper of some accounts."""

    def __init__(
        self,
        hosts: LiveHosts,
        bounds: FleetBounds,
        clock: Clock,
        rng: random.Random,
        is_skipped: Callable[[str], bool],
    ) -> None:
        """Create a client without a plan; call `attach` before the first request.

        `clock` must count the time for which the host is suspended.  `is_skipped` tells whether a
        host has been silent to this one lately.
        """
        self._hosts = hosts
        self._own_ip = hosts.own.ip
        self._clock = clock
        self._endpoint: DatagramEndpoint | None = None
        self._check_host: Callable[[str], None] = _ignore
        self._is_skipped = is_skipped
        rules = QuotaRules(bounds)
        self._keeper = QuotaKeeper(rules)
        self._lone = LoneQuota(rules, rng)
        self._ranking = KeeperRanking(hosts)
        self._plan_version = 0
        self._index: AccountIndex | None = None
        self._ids = itertools.count(1)
        self._states: dict[str, _AccountState] = {}
        self._questions: dict[str, tuple[str, asyncio.Future[QuotaAnswer]]] = {}
        self._unanswered: dict[str, _UnansweredQuestion] = {}
        self._skipped_until: dict[str, float] = {}
        self._answers: dict[tuple[str, str], tuple[QuotaAnswer, float]] = {}
        self._debits: dict[str, _DebitTotal] = {}
        # The last total of other hosts and when it came, by host and account.
        self._debited: dict[tuple[str, str], tuple[int, float]] = {}
        self._ticked_at = clock.now()
        self._trusted_since = clock.now()
        self._alone_since: float | None = None
        self.counts: Counter[str] = Counter()

    @property
    def gauges(self) -> dict[str, int]:
        """What the keeper on this host holds now."""
        return {
            "accounts_kept": self._keeper.bucket_count,
            "accounts_limited": self._keeper.limited_count,
        }

    def attach(self, endpoint: DatagramEndpoint, check_host: Callable[[str], None]) -> None:
        """Set the datagram endpoint, and what probes a host that was silent."""
        self._endpoint = endpoint
        self._check_host = check_host

    def set_plan(self, plan: FleetPlan, index: AccountIndex | None) -> None:
        """Put the limits of a plan in force; `index` is None if the plan has no accounts."""
        self._plan_version = plan.version
        self._index = index
        for state in self._states.values():
            state.refused_until = float("-inf")

    def take_over(self) -> None:
        """Begin as a keeper that doesn't know what others have granted.

        A host that isn't ready yet finds itself first in rank, but nobody asks it.
        """
        self._trusted_since = self._clock.now()

    # Requests of this host.

    async def acquire(self, account: ClientAccount, deadline_in_s: float) -> QuotaCredit | float:
        """Return the credit of a request, or the seconds until credit is available."""
        now = self._clock.now()
        if account.rate_per_s <= 0:
            return QuotaCredit(account.name, None, now)
        state = self._states.get(account.name)
        if state is None:
            state = self._states[account.name] = _AccountState(account)
        state.account = account
        if not state.waiting and (credit := self._take_credit(state, now)) is not None:
            return credit
        if now < state.refused_until:
            self.counts["refused_again"] += 1
            return state.refused_until - now
        future: asyncio.Future[QuotaCredit | float] = asyncio.get_running_loop().create_future()
        state.waiting.append(future)
        if state.asking is None:
            state.asking = asyncio.get_running_loop().create_task(self._serve_waiting(state))
        try:
            async with asyncio.timeout(max(0.0, deadline_in_s)):
                return await asyncio.shield(future)
        except TimeoutError:
            self._withdraw(state, future)
            self.counts["timed_out"] += 1
            return TIMED_OUT_RETRY_AFTER_S
        except asyncio.CancelledError:
            self._withdraw(state, future)
            raise

    def give_back(self, credit: QuotaCredit) -> None:
        """Return the credit of a request that certainly has not run; call it once at most."""
        if credit.keeper is None:
            return
        self.counts["given_back"] += 1
        self._return_credits(credit, 1)

    def _take_credit(self, state: _AccountState, now: float) -> QuotaCredit | None:
        while state.credits:
            credit = state.credits.popleft()
            if now - credit.granted_at <= CREDIT_S:
                state.count_use(now)
                return credit
            self._return_credits(credit, 1)
        return None

    def _withdraw(self, state: _AccountState, future: asyncio.Future[QuotaCredit | float]) -> None:
        """Forget a request that no longer waits; return the credit that it may have got."""
        if not future.done():
            state.waiting.remove(future)
        elif not future.cancelled() and isinstance(credit := future.result(), QuotaCredit):
            self.give_back(credit)

    async def _serve_waiting(self, state: _AccountState) -> None:
        """Ask until no request of an account waits."""
        try:
            while state.waiting:
                await self._ask_for(state)
        finally:
            state.asking = None

    async def _ask_for(self, state: _AccountState) -> None:
        """Get an answer for the requests that wait, from a keeper or alone."""
        for _ in range(MAX_KEEPERS_TRIED):
            keeper = self._choose_keeper(state.account.name)
            if keeper is None:
                break
            # The keeper on this host costs no message, so nothing is asked for in advance.
            if keeper == self._own_ip:
                question = self._question(state, len(state.waiting))
                answer: QuotaAnswer | None = self._answer(keeper, question)
            else:
                wanted = max(len(state.waiting), state.recent_use(self._clock.now()))
                answer = await self._ask_keeper(keeper, self._question(state, wanted))
            if answer is not None:
                self._apply(state, keeper, answer)
                return
            self._skipped_until[keeper] = self._clock.now() + SILENT_KEEPER_SKIP_S
            self.counts["silent_keepers"] += 1
            self._check_host(keeper)
            log.warning("event=keeper_silent keeper={}", keeper)
            if not state.waiting:
                return
        while state.waiting:
            state.waiting.popleft().set_result(self._decide_alone(state))

    def _question(self, state: _AccountState, wanted: int) -> QuotaQuestion:
        question_id = f"{self._hosts.own.incarnation}.{next(self._ids)}"
        return QuotaQuestion(question_id, state.account.name, wanted, self._limits(state.account))

    def _limits(self, account: ClientAccount) -> AccountLimits:
        return AccountLimits(self._plan_version, account.rate_per_s, account.burst)

    def _choose_keeper(self, account: str) -> str | None:
        """Return the first live host in rank that isn't skipped, or None if there is none."""
        now = self._clock.now()
        self._ranking.update(now)
        if self._hosts.is_isolated(now):
            return None
        for ip in self._ranking.ranked(account):
            if ip == self._own_ip:
                return ip
            if self._ranking.is_alive(ip) and not (
                now < self._skipped_until.get(ip, float("-inf")) or self._is_skipped(ip)
            ):
                return ip
        return None

    async def _ask_keeper(self, keeper: str, question: QuotaQuestion) -> QuotaAnswer | None:
        """Ask another host, and once more; return None if it is silent."""
        loop = asyncio.get_running_loop()
        answered: asyncio.Future[QuotaAnswer] = loop.create_future()
        self._questions[question.id] = (keeper, answered)
        message = quotamessages.encode_question(question)
        asked_at = self._clock.now()
        self.counts["questions"] += 1
        try:
            for wait_s in QUESTION_WAITS_S:
                self._send(keeper, message)
                timeout_at = loop.time() + wait_s
                await asyncio.wait([answered], timeout=wait_s)
                if not answered.done() and loop.time() - timeout_at > MAX_TIMER_DELAY_S:
                    # The answer may be among what this host has still to read.
                    await asyncio.wait([answered], timeout=wait_s)
                if answered.done():
                    return answered.result()
        finally:
            del self._questions[question.id]
            if not answered.done():
                self._unanswered[question.id] = _UnansweredQuestion(
                    keeper, question.account, asked_at, self._clock.now()
                )
        return None

    def _apply(self, state: _AccountState, keeper: str, answer: QuotaAnswer) -> None:
        """Pass an answer on to the requests that wait; keep what they don't need."""
        now = self._clock.now()
        credit = QuotaCredit(state.account.name, keeper, now)
        left = answer.granted
        while left and state.waiting:
            state.waiting.popleft().set_result(credit)
            state.count_use(now)
            left -= 1
        state.credits.extend(credit for _ in range(left))
        if answer.retry_after_s > 0:
            state.refused_until = now + min(answer.retry_after_s, MAX_REFUSAL_S)
            self.counts["refused"] += len(state.waiting)
            while state.waiting:
                state.waiting.popleft().set_result(answer.retry_after_s)

    def _decide_alone(self, state: _AccountState) -> QuotaCredit | float:
        """Decide on a request by this host's own part of the quota."""
        now = self._clock.now()
        alone_since = now if self._alone_since is None else self._alone_since
        retry_after_s = self._lone.take(
            state.account.name,
            self._limits(state.account),
            self._hosts.possible_hosts,
            alone_since,
            now,
        )
        if retry_after_s is None:
            self.counts["granted_alone"] += 1
            return QuotaCredit(state.account.name, "", now)
        self.counts["refused_alone"] += 1
        return min(retry_after_s, MAX_REFUSAL_S)

    def _return_credits(self, credit: QuotaCredit, count: int) -> None:
        """Return `count` equal credits to the keeper that granted them."""
        now = self._clock.now()
        if not credit.keeper:
            self._lone.give_back(credit.account, credit.granted_at, now)
        elif credit.keeper == self._own_ip:
            self._keeper.give_back(credit.account, count, credit.granted_at, now)
        else:
            age_s = max(0.0, now - credit.granted_at)
            message = quotamessages.encode_return(credit.account, count, age_s)
            self._send(credit.keeper, message)

    # Messages, and the keeper on this host.

    def handle_message(self, ip: str, message: Message) -> bool:
        """Handle a message about quotas; return False for any other message."""
        kind = message[0]
        if kind == "quota-ask":
            question = quotamessages.decode_question(message)
            answer = self._answer(ip, question)
            self._send(ip, quotamessages.encode_answer(question.id, answer))
        elif kind == "quota-grant":
            self._handle_answer(ip, message)
        elif kind == "quota-return":
            account, count, age_s = quotamessages.decode_return(message)
            now = self._clock.now()
            if not self._reads_stale_messages(now):
                self._keeper.give_back(account, count, now - age_s, now)
        elif kind == "quota-debit":
            self._handle_debit(ip, message)
        else:
            return False
        return True

    def _handle_answer(self, ip: str, message: Message) -> None:
        question_id, answer = quotamessages.decode_answer(message)
        self._skipped_until.pop(ip, None)
        keeper, answered = self._questions.get(question_id, ("", None))
        if answered is not None and keeper == ip and not answered.done():
            answered.set_result(answer)
        unanswered = self._unanswered.get(question_id)
        if unanswered is None or unanswered.keeper != ip:
            return
        del self._unanswered[question_id]
        now = self._clock.now()
        if answer.granted and now - unanswered.gave_up_at <= LATE_ANSWER_S:
            self.counts["late_grants"] += answer.granted
            # Granted at some time since the question; too high an age can't exceed the quota.
            age_s = now - unanswered.asked_at
            self._send(ip, quotamessages.encode_return(unanswered.account, answer.granted, age_s))

    def _handle_debit(self, ip: str, message: Message) -> None:
        """Take off what another host has granted since its last message.

        What it granted before this host took over is accounted for by the takeover itself.
        """
        account, total, age_s = quotamessages.decode_debit(message)
        now = self._clock.now()
        known, _ = self._debited.get((ip, account), (0, 0.0))
        is_new = total < known or not known
        self._debited[ip, account] = (total, now)
        if self._reads_stale_messages(now):
            return
        first_since = self._ranking.first_since(account)
        if first_since is None:
            first_since = self._trusted_since
        if is_new and now - age_s < max(first_since, self._trusted_since):
            return
        live_share = self._ranking.alive_count / self._hosts.possible_hosts
        if is_new and live_share < MIN_DEBITED_SHARE:
            # A partition ends; each side has granted its own part of the limits.
            return
        if count := total if is_new else total - known:
            self._keeper.debit(account, count, now)

    def _answer(self, ip: str, question: QuotaQuestion) -> QuotaAnswer:
        """Answer a question as the keeper; the same one again if it was resent."""
        now = self._clock.now()
        key = (ip, question.id)
        if ip != self._own_ip and key in self._answers:
            return self._answers[key][0]
        self._detect_gap(now)
        self._ranking.update(now)
        account = question.account
        answer = self._keeper.ask(
            account, self._limits_in_force(question), question.wanted, self._role(account), now
        )
        if ip != self._own_ip:
            self._answers[key] = (answer, now)
        if answer.granted and self._debit_peers(account, now):
            debit = self._debits.setdefault(account, _DebitTotal(now, now))
            debit.total += answer.granted
            debit.last_at = now
        return answer

    def _limits_in_force(self, question: QuotaQuestion) -> AccountLimits:
        """Return the limits of the newer one of two plans: this host's and the asking host's."""
        if self._index is None or question.limits.plan_version > self._plan_version:
            return question.limits
        account = self._index.named(question.account)
        return question.limits if account is None else self._limits(account)

    def _role(self, account: str) -> KeeperRole:
        """Return the role of this host for an account that it is asked about."""
        now = self._clock.now()
        hosts = self._hosts.possible_hosts
        first_since = self._ranking.first_since(account)
        if first_since is not None:
            share = self._ranking.alive_count / hosts
            if self._hosts.is_isolated(now):
                share = 1 / hosts
            return KeeperRole(max(first_since, self._trusted_since), share)
        first = next(ip for ip in self._ranking.ranked(account) if self._ranking.is_alive(ip))
        self._check_host(first)
        return KeeperRole(None, SUBSTITUTE_SHARE)

    def _debit_peers(self, account: str, now: float) -> list[str]:
        """Return the hosts ranked before this one that may grant credit of an account as well."""
        before = self._ranking.before_own(account)
        return [
            ip for ip in before if self._ranking.was_alive_within(ip, DEBIT_PEER_MEMORY_S, now)
        ][-MAX_DEBIT_PEERS:]

    def _send(self, ip: str, message: Message) -> None:
        if self._endpoint is not None:
            self._endpoint.send(ip, message)

    # Housekeeping.

    async def run(self) -> None:
        """Do the housekeeping until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            self.tick()

    def tick(self) -> None:
        """Return credit that wasn't used, tell other keepers of grants, and forget what is old."""
        now = self._clock.now()
        self._detect_gap(now)
        self._ticked_at = now
        self._ranking.update(now)
        if not self._hosts.is_isolated(now):
            self._alone_since = None
        elif self._alone_since is None:
            self._alone_since = now
        for name, state in list(self._states.items()):
            self._sweep_state(name, state, now)
        self._send_debits(now)
        for key, (_, answered_at) in list(self._answers.items()):
            if now - answered_at <= ANSWER_MEMORY_S:
                break
            del self._answers[key]
        for question_id, unanswered in list(self._unanswered.items()):
            if now - unanswered.gave_up_at <= LATE_ANSWER_S:
                break
            del self._unanswered[question_id]
        self._lone.sweep(now)
        for change in self._keeper.sweep(now):
            log.info(
                "event={} account={} rate={:g} burst={:g} refused={}",
                "account_limited" if change.is_limited else "account_unlimited",
                change.account,
                change.limits.rate_per_s,
                change.limits.burst,
                change.refused,
            )

    def _send_debits(self, now: float) -> None:
        for account, debit in list(self._debits.items()):
            if now - debit.last_at > DEBIT_MEMORY_S:
                del self._debits[account]
            elif debit.total > debit.sent_total or now - debit.sent_at >= DEBIT_REPEAT_S:
                debit.sent_total = debit.total
                debit.sent_at = now
                message = quotamessages.encode_debit(account, debit.total, now - debit.first_at)
                for ip in self._debit_peers(account, now):
                    self._send(ip, message)
        for key, (_, heard_at) in list(self._debited.items()):
            if now - heard_at > DEBIT_MEMORY_S:
                del self._debited[key]

    def _sweep_state(self, name: str, state: _AccountState, now: float) -> None:
        expired = 0
        while state.credits and now - state.credits[0].granted_at > CREDIT_S:
            credit = state.credits.popleft()
            expired += 1
            if not state.credits or state.credits[0] != credit:
                self.counts["expired"] += expired
                self._return_credits(credit, expired)
                expired = 0
        is_idle = now - state.slot_at > STATE_MEMORY_S and now > state.refused_until
        if is_idle and not (state.credits or state.waiting or state.asking):
            del self._states[name]

    def _detect_gap(self, now: float) -> None:
        """Take over anew if this host was suspended, or hears of no other host."""
        has_contact = not self._hosts.peers or self._hosts.silence_s(now) <= NO_CONTACT_S
        if now - self._ticked_at > SUSPENDED_AFTER_S or not has_contact:
            self._trusted_since = now
            self._ticked_at = now

    def _reads_stale_messages(self, now: float) -> bool:
        self._detect_gap(now)
        return now - self._trusted_since < STALE_MESSAGES_S


def _ignore(ip: str) -> None:
    """Stand in for the prober until the client is attached."""
