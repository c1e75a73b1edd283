"""Property tests of RecordTable: at-most-once, truth of "not run", minimum record lifetime."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, multiple, rule
from toucanspindle_core import errorcodes
from toucanspindle_core.clock import ManualClock
from toucanspindle_core.errors import RequestError
from toucanspindle_core.outcome import Outcome, OutcomeKind
from toucanspindle_core.records import (
    AlreadyFinished,
    NewRequest,
    Record,
    RecordState,
    RecordTable,
    RequestName,
)
from toucanspindle_core.tokens import TokenIssuer

TOKEN_LIFETIME_S = 10.0
RECORD_LIFETIME_S = 20.0
MAX_RECORDS = 4
ANSWER = Outcome.answered(200, (), b"a")
UNKNOWN = Outcome.from_error(RequestError(errorcodes.UNKNOWN_ANSWER_LOST, "Lost.", "ask again"))
NOT_RUN = Outcome.from_error(RequestError(errorcodes.NO_TARGET, "None.", "later"))


class RecordMachine(RuleBasedStateMachine):
    """Drives a table with random requests, target answers and clock steps.

    The model keeps what happened beside the table: the runs at targets per request, the outcomes
    reported to callers, the requests begun, and when each request finished.
    """

    tokens = Bundle("tokens")
    records = Bundle("records")

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.issuer = TokenIssuer("n1", self.clock, TOKEN_LIFETIME_S, b"secret")
        self.table = RecordTable(self.issuer, self.clock, RECORD_LIFETIME_S, MAX_RECORDS)
        self.run_counts: dict[RequestName, int] = {}
        self.reported_kinds: dict[RequestName, set[OutcomeKind]] = {}
        self.begun_names: set[RequestName] = set()
        self.finished_at: dict[RequestName, float] = {}

    @rule(target=tokens)
    def fetch_token(self) -> str:
        return self.table.current_token()

    @rule(seconds=st.sampled_from([0.5, 5.0, 10.0, 19.5]))
    def advance_clock(self, seconds: float) -> None:
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
            begin_result = self.table.begin(name.account, name.token, name.key, b"", 0.0)
        except RequestError as error:
            self.report(name, Outcome.from_error(error))
            return multiple()
        if isinstance(begin_result, AlreadyFinished):
            self.report(name, begin_result.outcome)
            return multiple()
        if isinstance(begin_result, NewRequest):
            assert name not in self.begun_names, "a request was begun a second time"
            self.begun_names.add(name)
        return begin_result.record

    @rule(
        record=records,
        target_runs_it=st.booleans(),
        answer=st.sampled_from([ANSWER, UNKNOWN, NOT_RUN]),
    )
    def serve(self, record: Record, target_runs_it: bool, answer: Outcome) -> None:
        """Dispatch if the record is BEGUN; the target runs it or reports that it didn't."""
        if record.state is not RecordState.BEGUN:
            return
        record.mark_dispatched()
        if not target_runs_it:
            record.mark_not_run_by_target()
            return
        self.run_counts[record.name] = self.run_counts.get(record.name, 0) + 1
        outcome = ANSWER if answer is NOT_RUN else answer
        self.finish(record, outcome)

    @rule(record=records)
    def finish_as_not_run(self, record: Record) -> None:
        if record.state is RecordState.BEGUN:
            self.finish(record, NOT_RUN)

    @rule(record=records)
    def answer_after_unknown(self, record: Record) -> None:
        if record.state is RecordState.FINISHED and self.run_counts.get(record.name):
            self.finish(record, ANSWER)

    @rule()
    def close(self) -> None:
        if self.clock.now() > 3 * RECORD_LIFETIME_S:
            self.table.close()

    def finish(self, record: Record, outcome: Outcome) -> None:
        self.report(record.name, record.finish(outcome))
        self.finished_at.setdefault(record.name, self.clock.now())

    def report(self, name: RequestName, outcome: Outcome) -> None:
        self.reported_kinds.setdefault(name, set()).add(outcome.kind)

    @invariant()
    def each_request_runs_at_most_once(self) -> None:
        assert all(count <= 1 for count in self.run_counts.values()), self.run_counts

    @invariant()
    def not_run_outcome_is_true(self) -> None:
        for name, kinds in self.reported_kinds.items():
            if OutcomeKind.NOT_RUN in kinds:
                assert name not in self.run_counts, f"{name} was reported as not run, but ran"

    @invariant()
    def no_record_is_evicted_early(self) -> None:
        kept = {record.name for record, _ in self.table.finished_records()}
        for name, finished_at in self.finished_at.items():
            if self.clock.now() - finished_at < RECORD_LIFETIME_S:
                assert name in kept, f"{name} was evicted early"

    @invariant()
    def record_limit_holds(self) -> None:
        assert len(self.table) <= MAX_RECORDS


RecordMachine.TestCase.settings = settings(max_examples=300, stateful_step_count=40)
RecordPropertyTests = RecordMachine.TestCase
