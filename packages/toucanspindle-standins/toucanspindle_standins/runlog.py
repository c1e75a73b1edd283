"""The log of a stand-in target: every run, written before the run is answered.

A line is handed to the operating system with one unbuffered write, so it outlives a killed
process.  A run that began and never finished stands there with its start alone.
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

KEPT_RUNS: Final = 200_000


@dataclass(slots=True)
class Run:
    """One run of a request; times are seconds since the epoch, 0 while not finished."""

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
    """Keeps the latest runs in memory and appends each start and finish to a file."""

    def __init__(self, target: str, path: Path | None) -> None:
        """Create a log; without a path it is kept in memory only."""
        self._target = target
        self._path = path
        self._fd = -1
        self._runs: deque[Run] = deque(maxlen=KEPT_RUNS)
        self._count = 0

    def start(self) -> None:
        """Open the file."""
        if self._path is not None:
            self._fd = os.open(self._path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def close(self) -> None:
        """Close the file."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1

    def begin(self, request: HttpRequest) -> Run:
        """Note that a run starts."""
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
        """Note that a run has finished."""
        run.finished = time.time()
        self._append("finish", run)

    def runs_json(self, after: int) -> bytes:
        """Return JSON {"runs": [Run]} of the runs numbered above `after`."""
        return json.dumps({"runs": [asdict(r) for r in self._runs if r.run > after]}).encode()

    def _append(self, event: str, run: Run) -> None:
        if self._fd >= 0:
            line = json.dumps({"event": event} | asdict(run)) + "\n"
            os.write(self._fd, line.encode())


def read_run_file(path: Path) -> list[Run]:
    """Return the runs of a log file; one that never finished has `finished` 0.

    A target that was started again numbers its runs from 1 again; starts are kept apart.  A reader
    may see a line that is being written in part; what follows the last line end is left out.
    """
    runs: list[Run] = []
    open_runs: dict[int, Run] = {}
    whole_lines = path.read_text(encoding="utf-8").rpartition("\n")[0]
    for line in whole_lines.splitlines():
        values = json.loads(line)
        event = values.pop("event")
        run = Run(**values)
        if event == "start":
            open_runs[run.run] = run
            runs.append(run)
        else:
            open_runs[run.run].finished = run.finished
    return runs
