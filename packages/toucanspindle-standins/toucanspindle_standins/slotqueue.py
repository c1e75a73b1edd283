"""Schedules the requests of a stand-in target in slots and a queue, and cancels queued requests.

A request takes a free slot or waits in a bounded first-in, first-out queue.  It leaves the queue
when a slot becomes free, when its deadline passes or when it is cancelled; in the last two cases
it never runs.  A request still runs if its caller closes the connection, as on most real servers.
"""

import asyncio
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Final

from toucanspindle_standins.httpserver import Exchange, HttpRequest

MAX_KEPT_JOBS: Final = 20_000


class JobState(Enum):
    """State of a request; the values are those of the contract of targets."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    REFUSED = "refused"
    CANCELLED = "cancelled-before-run"
    UNKNOWN = "unknown"


@dataclass(slots=True, eq=False)
class Job:
    """One request at a target, with the exchange that answers it and its deadline timer."""

    request: HttpRequest
    exchange: Exchange
    state: JobState = JobState.QUEUED
    expiry: asyncio.TimerHandle | None = None

    @property
    def request_id(self) -> str:
        """The request id set by the caller, or "" if there is none."""
        return self.request.headers.get("request-id", "")


class SlotQueue:
    """Runs at most `slots` jobs at a time and queues at most `queue_limit` further jobs.

    Invariant: `run` is never called for a job that was refused or cancelled.
    """

    def __init__(
        self,
        slots: int,
        queue_limit: int,
        run: Callable[[Job], None],
        refuse: Callable[[Job], None],
    ) -> None:
        """Create an empty queue; `run` starts a job, `refuse` answers a job that doesn't run."""
        self._slots = slots
        self._queue_limit = queue_limit
        self._run = run
        self._refuse = refuse
        self._running = 0
        self._queue: deque[Job] = deque()
        self._jobs: OrderedDict[str, Job] = OrderedDict()

    @property
    def running(self) -> int:
        """Number of jobs that occupy a slot."""
        return self._running

    @property
    def queued(self) -> int:
        """Number of jobs that wait for a slot."""
        return len(self._queue)

    def submit(self, job: Job, deadline_ms: int) -> None:
        """Run, queue or refuse a job; a `deadline_ms` of 0 means no deadline."""
        self._record_job(job)
        if self._running < self._slots:
            self._start(job)
        elif len(self._queue) < self._queue_limit:
            self._queue.append(job)
            if deadline_ms:
                loop = asyncio.get_running_loop()
                job.expiry = loop.call_later(deadline_ms / 1000, self._refuse_expired, job)
        else:
            self._end_without_run(job, JobState.REFUSED)

    def finish(self, job: Job) -> None:
        """Mark a job as done, free its slot and start the next queued job."""
        job.state = JobState.DONE
        self._running -= 1
        if self._queue:
            self._start(self._queue.popleft())

    def cancel(self, request_id: str) -> JobState:
        """Cancel a job if it is queued, and return its state.

        A job that was refused counts as cancelled before its run; an unknown id gives UNKNOWN.
        """
        job = self._jobs.get(request_id)
        if job is None:
            return JobState.UNKNOWN
        if job.state is JobState.QUEUED:
            self._queue.remove(job)
            self._end_without_run(job, JobState.CANCELLED)
        if job.state is JobState.REFUSED:
            return JobState.CANCELLED
        return job.state

    def drop_all(self) -> None:
        """Drop all queued and running jobs without an answer, to simulate a crash."""
        for job in self._queue:
            if job.expiry is not None:
                job.expiry.cancel()
        self._queue.clear()
        self._jobs.clear()
        self._running = 0

    def _start(self, job: Job) -> None:
        if job.expiry is not None:
            job.expiry.cancel()
        job.state = JobState.RUNNING
        self._running += 1
        self._run(job)

    def _refuse_expired(self, job: Job) -> None:
        if job.state is JobState.QUEUED:
            self._queue.remove(job)
            self._end_without_run(job, JobState.REFUSED)

    def _end_without_run(self, job: Job, state: JobState) -> None:
        if job.expiry is not None:
            job.expiry.cancel()
        job.state = state
        self._refuse(job)

    def _record_job(self, job: Job) -> None:
        if job.request_id:
            self._jobs[job.request_id] = job
            if len(self._jobs) > MAX_KEPT_JOBS:
                self._jobs.popitem(last=False)
