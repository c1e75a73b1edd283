"""Property tests of the records: at most once, "not run" is true, nothing is forgotten early."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, multiple, rule
from toucanspindle_core import errorcodes
from toucanspindle_core.clock import ManualClock
from toucanspindle_core.errors import RequestError
from toucanspindle_core.outcome import Outcome, OutcomeKind
from toucanspindle_core.records import (
    Finished,
    Record,
    RecordState,
    RecordTable,
    RequestName,
    Started,
)
from toucanspindle_core.tokens import TokenIssuer

TOKEN_LIFETIME_S = 10.0
RECORD_LIFETIME_S = 20.0
MAX_RECORDS = 4
ANSWER = Outcome.answered(200, (), b"a")
UNKNOWN = Outcome.from_error(RequestError(errorcodes.UNKNOWN_BROKEN, "Lost.", "ask again"))
NOT_RUN = Outcome.from_error(RequestError(errorcodes.NO_TARGET, "None.", "later"))


class RecordMachine(RuleBasedStateMachine):
    """Drives a table as callers, targets and time do, and keeps what really happened beside it."""

    tokens = Bundle("tokens")
    records = Bundle("records")

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.issuer = TokenIssuer("n1", self.clock, TOKEN_LIFETIME_S, b"secret")
        self.table = RecordTable(self.issuer, self.clock, RECORD_LIFETIME_S, MAX_RECORDS)
        self.runs: dict[RequestName, int] = {}
        self.told: dict[RequestName, set[OutcomeKind]] = {}
        self.begun: set[RequestName] = set()
        self.finished_at: dict[RequestName, float] = {}

    @rule(target=tokens)
    def fetch_token(self) -> str:
        return self.table.renew_token()

    @rule(seconds=st.sampled_from([0.5, 5.0, 10.0, 19.5]))
    def pass_time(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @rule(
        target=records,
        token=tokens,
        account=st.sampled_from(["yard", "shop"]),
        key=st.sampled_from(["k1", "k2", "k3"]),
    )
    def send(self, token: str, account: str, key: str) -> object:
        return self.begin(RequestName(account, token, key))

    @rule(target=records, record=records)
    def resend(self, record: Record) -> object:
        return self.begin(record.name)

    def begin(self, name: RequestName) -> object:
        try:
            begun = self.table.begin(name.account, name.token, name.key, b"", 0.0)
        except RequestError as error:
            self.tell(name, Outcome.from_error(error))
            return multiple()
        if isinstance(begun, Finished):
            self.tell(name, begun.outcome)
            return multiple()
        if isinstance(begun, Started):
            assert name not in self.begun, "a request began a second time"
            self.begun.add(name)
        return begun.record

    @rule(record=records, runs=st.booleans(), answer=st.sampled_from([ANSWER, UNKNOWN, NOT_RUN]))
    def serve(self, record: Record, runs: bool, answer: Outcome) -> None:
        """Dispatch if still possible; the target runs it or says that it didn't."""
        if record.state is not RecordState.BEGUN:
            return
        record.mark_dispatched()
        if not runs:
            record.mark_not_run_by_target()
            return
        self.runs[record.name] = self.runs.get(record.name, 0) + 1
        outcome = ANSWER if answer is NOT_RUN else answer
        self.finish(record, outcome)

    @rule(record=records)
    def refuse(self, record: Record) -> None:
        if record.state is RecordState.BEGUN:
            self.finish(record, NOT_RUN)

    @rule(record=records)
    def resolve_late(self, record: Record) -> None:
        if record.state is RecordState.FINISHED and self.runs.get(record.name):
            self.finish(record, ANSWER)

    @rule()
    def close(self) -> None:
        if self.clock.now() > 3 * RECORD_LIFETIME_S:
            self.table.close()

    def finish(self, record: Record, outcome: Outcome) -> None:
        self.tell(record.name, record.finish(outcome))
        self.finished_at.setdefault(record.name, self.clock.now())

    def tell(self, name: RequestName, outcome: Outcome) -> None:
        self.told.setdefault(name, set()).add(outcome.kind)

    @invariant()
    def each_request_runs_at_most_once(self) -> None:
        assert all(count <= 1 for count in self.runs.values()), self.runs

    @invariant()
    def not_run_is_true(self) -> None:
        for name, kinds in self.told.items():
            if OutcomeKind.NOT_RUN in kinds:
                assert name not in self.runs, f"{name} was told not run, and ran"

    @invariant()
    def nothing_is_forgotten_early(self) -> None:
        kept = {record.name for record, _ in self.table.finished()}
        for name, finished_at in self.finished_at.items():
            if self.clock.now() - finished_at < RECORD_LIFETIME_S:
                assert name in kept, f"{name} was forgotten"

    @invariant()
    def the_bound_holds(self) -> None:
        assert len(self.table) <= MAX_RECORDS


RecordMachine.TestCase.settings = settings(max_examples=300, stateful_step_count=40)
RecordPropertyTests = RecordMachine.TestCase
