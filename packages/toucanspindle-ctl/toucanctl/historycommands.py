"""The commands `toucanctl config history` and `toucanctl config find`."""

from typing import Final

from toucanctl.changes import head_json
from toucanctl.ctlsettings import DEFAULT_OPTIONS, CommonOptions
from toucanctl.exitcodes import ExitCode
from toucanctl.output import table
from toucanctl.session import Session

TIME_FORMAT: Final = "%Y-%m-%d %H:%M:%SZ"


def history(*, limit: int = 20, options: CommonOptions = DEFAULT_OPTIONS) -> None:
    """List the accepted changes, newest first: generation, when, who, why, change id.

    Parameters
    ----------
    limit
        Maximum number of changes to list.
    """
    with Session(options) as session:
        heads = list(session.config_store.history(limit))
        rows = [
            (head.generation, f"{head.when:{TIME_FORMAT}}", head.who, head.why, head.change_id)
            for head in heads
        ]
        lines = table(("generation", "when", "who", "why", "change id"), rows)
        session.output.result(lines, {"history": [head_json(head) for head in heads]})


def find(
    change_id: str, *, newest: int = 1000, options: CommonOptions = DEFAULT_OPTIONS
) -> ExitCode:
    """Show whether a change with an unknown outcome was accepted; exit code 1 if not.

    Parameters
    ----------
    change_id
        Change id from the error message that came with exit code 3.
    newest
        Number of the newest changes to search.
    """
    with Session(options) as session:
        current = session.config_store.read_head()
        above_generation = current.head.generation - newest if current else 0
        head = session.config_store.find_change(change_id, above_generation)
        if head is None:
            line = (
                f"change {change_id} isn't among the newest {newest} changes; applying it"
                " again is safe, because at most one of the two can be accepted"
            )
            session.output.result([line], {"accepted": False, "change_id": change_id})
            return ExitCode.REFUSED
        line = f"change {change_id} was accepted as generation {head.generation}"
        session.output.result([line], {"accepted": True, **head_json(head)})
        return ExitCode.OK
