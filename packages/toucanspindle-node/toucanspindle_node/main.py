"""The command `toucanspindle`: runs the proxy or the agent of an entry host."""

import asyncio
import signal
import sys
import threading
from pathlib import Path
from types import FrameType
from typing import Annotated, Final

from cyclopts import App, Parameter
from logbook import Logger, StreamHandler
from toucanspindle_core.errors import ToucanError
from toucanspindle_core.processsettings import load_process_settings

EXIT_OK: Final = 0
EXIT_REFUSED: Final = 1

app = App(name="toucanspindle", help="Run the processes of an entry host.")
log = Logger("main")

SettingsPath = Annotated[Path, Parameter(name="--settings", help="The host's settings (TOML).")]


@app.command
def proxy(*, settings: SettingsPath) -> None:
    """Run the proxy, which serves callers; on SIGTERM it completes the requests in flight."""
    from toucanspindle_node.proxy import Proxy  # noqa: PLC0415  # the agent doesn't need it

    process = Proxy(load_process_settings(settings))
    stopping = _stop_on_signal()
    process.start()
    stopping.wait()
    process.close()


@app.command
def agent(*, settings: SettingsPath) -> None:
    """Run the agent, the control plane of the host, until SIGTERM."""
    from toucanspindle_node.agent import run_agent  # noqa: PLC0415

    asyncio.run(run_agent(load_process_settings(settings)))


def _stop_on_signal() -> threading.Event:
    """Return an event that SIGTERM and SIGINT set; further signals have no effect."""
    stopping = threading.Event()

    def stop(signum: int, frame: FrameType | None) -> None:  # noqa: ARG001
        stopping.set()

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    return stopping


def run() -> None:
    """Run the command line; print an error with its code and remedy instead of a traceback."""
    with StreamHandler(sys.stderr).applicationbound():
        try:
            app()
        except ToucanError as error:
            log.error("{}", error)
            sys.exit(EXIT_REFUSED)
    sys.exit(EXIT_OK)


if __name__ == "__main__":
    run()
