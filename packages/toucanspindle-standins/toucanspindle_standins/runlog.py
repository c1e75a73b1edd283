"""Run log of a stand-in target: the start and the finish of each run, written before its answer.

Each line is one unbuffered write, so it is kept when the process is killed.  A run that never
finished has only a start line.
"""

import hashlib
import json
import os
import time
from collections import deque
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Final

from toucanspindle_standins.httpserver import HttpRequest

MAX_KEPT_RUNS: Final = 200_000


@dataclass(slots=True)
class Run:
    """One run of a request; times are seconds since the epoch, `finished` is 0 until the end."""

    run: int
    target: str
    request_id: str
    key: str
    account: str
    method: str
    path: str
    body_digest: str
    started: float
    finished: float = 0.0


class RunLog:
    """Keeps the latest MAX_KEPT_RUNS runs in memory and appends each start and finish to a file."""

    def __init__(self, target: str, path: Path | None) -> None:
        """Create a log; without a path, runs are kept in memory only."""
        self._target = target
        self._path = path
        self._fd = -1
        self._runs: deque[Run] = deque(maxlen=MAX_KEPT_RUNS)
        self._count = 0

    def start(self) -> None:
        """Open the file for appending; do nothing without a path."""
        if self._path is not None:
            self._fd = os.open(self._path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def close(self) -> None:
        """Close the file if it is open."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1

    def begin(self, request: HttpRequest) -> Run:
        """Log the start of a run and return the run."""
        self._count += 1
        headers = request.headers
        run = Run(
            run=self._count,
            target=self._target,
            request_id=headers.get("request-id", ""),
            key=headers.get("idempotency-key", ""),
            account=headers.get("toucan-account", ""),
            method=request.method,
            path=request.path,
            body_digest=hashlib.sha256(request.body).hexdigest(),
            started=time.time(),
        )
        self._runs.append(run)
        self._append("start", run)
        return run

    def finish(self, run: Run) -> None:
        """Set the finish time of a run and log it."""
        run.finished = time.time()
        self._append("finish", run)

    def runs_json(self, after: int) -> bytes:
        """Return JSON {"runs": [Run]} with the kept runs whose number is above `after`."""
        return json.dumps({"runs": [asdict(r) for r in self._runs if r.run > after]}).encode()

    def _append(self, event: str, run: Run) -> None:
        if self._fd >= 0:
            line = json.dumps({"event": event} | asdict(run)) + "\n"
            os.write(self._fd, line.encode())


def read_run_file(path: Path) -> list[Run]:
    """Return the runs of a log file; a run that never finished has `finished` 0.

    A restarted target numbers its runs from 1 again; runs with the same number remain separate
    entries.  Text after the last line end is ignored, because the target may be writing that line.
    """
    runs: list[Run] = []
    unfinished_runs: dict[int, Run] = {}
    complete_lines = path.read_text(encoding="utf-8").rpartition("\n")[0]
    for line in complete_lines.splitlines():
        values = json.loads(line)
        event = values.pop("event")
        run = Run(**values)
        if event == "start":
            unfinished_runs[run.run] = run
            runs.append(run)
        else:
            unfinished_runs[run.run].finished = run.finished
    return runs
