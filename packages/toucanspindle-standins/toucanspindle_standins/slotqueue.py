"""Slots and queue of a stand-in target: which request runs when, and what a cancel finds.

A request takes a free slot or waits in a bounded queue.  It leaves the queue to run, because its
deadline passed, or because it was cancelled; in the last two cases it never runs.  A caller that
closes its connection changes nothing, as at most real servers: the request still runs.
"""

import asyncio
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Final

from toucanspindle_standins.httpserver import Exchange, HttpRequest

KEPT_STATES: Final = 20_000


class JobState(Enum):
    """State of a request, in the words of the contract of targets."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    REFUSED = "refused"
    CANCELLED = "cancelled-before-run"
    UNKNOWN = "unknown"


@dataclass(slots=True, eq=False)
class Job:
    """One request at a target."""

    request: HttpRequest
    exchange: Exchange
    state: JobState = JobState.QUEUED
    expiry: asyncio.TimerHandle | None = None

    @property
    def request_id(self) -> str:
        """The id that the caller gave the request."""
        return self.request.headers.get("request-id", "")


class SlotQueue:
    """Runs at most `slots` jobs at a time and queues at most `queue_limit` more.

    Invariant: a job that was refused or cancelled is never given to `run`.
    """

    def __init__(
        self,
        slots: int,
        queue_limit: int,
        run: Callable[[Job], None],
        refuse: Callable[[Job], None],
    ) -> None:
        """Create an empty queue; `run` starts a job, `refuse` answers one that won't run."""
        self._slots = slots
        self._queue_limit = queue_limit
        self._run = run
        self._refuse = refuse
        self._running = 0
        self._queue: deque[Job] = deque()
        self._jobs: OrderedDict[str, Job] = OrderedDict()

    @property
    def running(self) -> int:
        """Number of jobs that hold a slot."""
        return self._running

    @property
    def queued(self) -> int:
        """Number of jobs that wait."""
        return len(self._queue)

    def submit(self, job: Job, deadline_ms: int) -> None:
        """Run, queue or refuse a job; 0 ms means that it has no deadline."""
        self._remember(job)
        if self._running < self._slots:
            self._start(job)
        elif len(self._queue) < self._queue_limit:
            self._queue.append(job)
            if deadline_ms:
                loop = asyncio.get_running_loop()
                job.expiry = loop.call_later(deadline_ms / 1000, self._expire, job)
        else:
            self._end_unrun(job, JobState.REFUSED)

    def finished(self, job: Job) -> None:
        """Free the slot of a job and start the next one."""
        job.state = JobState.DONE
        self._running -= 1
        if self._queue:
            self._start(self._queue.popleft())

    def cancel(self, request_id: str) -> JobState:
        """Cancel a job that waits; return the state in which it was found."""
        job = self._jobs.get(request_id)
        if job is None:
            return JobState.UNKNOWN
        if job.state is JobState.QUEUED:
            self._queue.remove(job)
            self._end_unrun(job, JobState.CANCELLED)
        if job.state is JobState.REFUSED:
            return JobState.CANCELLED
        return job.state

    def forget_all(self) -> None:
        """Drop everything, as a crash does."""
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

    def _expire(self, job: Job) -> None:
        if job.state is JobState.QUEUED:
            self._queue.remove(job)
            self._end_unrun(job, JobState.REFUSED)

    def _end_unrun(self, job: Job, state: JobState) -> None:
        if job.expiry is not None:
            job.expiry.cancel()
        job.state = state
        self._refuse(job)

    def _remember(self, job: Job) -> None:
        if job.request_id:
            self._jobs[job.request_id] = job
            if len(self._jobs) > KEPT_STATES:
                self._jobs.popitem(last=False)
