"""The command `toucanctl ask`: asks the directory as a caller does."""

import json
from collections.abc import Iterator
from typing import Annotated, Any, Final

import urllib3
from cyclopts import Parameter
from pydantic import ValidationError
from toucanspindle_core import errorcodes
from toucanspindle_core.errors import ControlError, SettingsError
from toucanspindle_core.fleetconfig import StrictModel
from toucanspindle_core.hostport import HostPort
from urllib3.exceptions import HTTPError

from toucanctl.ctlsettings import NO_OPTIONS, CommonOptions, parse_address
from toucanctl.nodeclient import NO_SERVICE
from toucanctl.output import indent, table
from toucanctl.session import Session

ASK_TIMEOUT_S: Final = 2.0


class DirectoryEntry(StrictModel):
    """One node that a caller may use."""

    address: str
    failure_domain: str
    node: str
    token: str


class DirectoryAnswer(StrictModel):
    """The directory's answer for one service."""

    service: str
    generation: int
    ttl_s: float
    entries: list[DirectoryEntry]


def ask(
    service: str,
    *,
    entry: Annotated[list[str] | None, Parameter(negative=())] = None,
    options: CommonOptions = NO_OPTIONS,
) -> None:
    """Ask the directory which addresses a caller should use for a service.

    Any node answers; callers keep the answer for ttl_s and connect to its addresses themselves.

    Parameters
    ----------
    service
        Name of the service.
    entry
        Entry address to ask, as IP:port; may be repeated. By default the nodes that the platform
        lists.
    """
    with Session(options) as session:
        named = [str(parse_address(text, "--entry")) for text in entry or []]
        asked, answer = _first_answer(named or list(_known_entries(session)), service)
        rows = [(e.address, e.failure_domain, e.node, e.token) for e in answer.entries]
        lines = [
            f"{asked} names {len(rows)} address(es) for {service}, to be kept"
            f" {answer.ttl_s:g} s (generation {answer.generation})",
            *indent(table(("address", "domain", "node", "token"), rows)),
        ]
        session.output.result(lines, {"asked": asked, **answer.model_dump()})


def _known_entries(session: Session) -> Iterator[str]:
    for host in session.hosts():
        if host.role == "entry" and host.state == "live":
            yield host.address
    if session.settings.agents:
        for status in session.fleet(NO_SERVICE).heard():
            yield status.member.entry_address


def _first_answer(addresses: list[str], service: str) -> tuple[str, DirectoryAnswer]:
    """Return the first answer; raise ControlError when no node gives one."""
    troubles = []
    with urllib3.PoolManager(retries=False) as pool:
        for address in addresses:
            try:
                return address, _ask_one(pool, HostPort.parse(address), service)
            except (HTTPError, ValueError) as error:
                troubles.append(f"\n  {address}: {error}")
    raise ControlError(
        errorcodes.AGENT_AWAY,
        f"None of {len(addresses)} entry address(es) answered:{''.join(troubles)}\n",
        "name a node that runs with --entry IP:port, or look at `toucanctl status`",
    )


def _ask_one(pool: urllib3.PoolManager, address: HostPort, service: str) -> DirectoryAnswer:
    url = f"http://{address}/.toucan/directory/{service}"
    response = pool.request("GET", url, timeout=ASK_TIMEOUT_S)
    body = _json_of(response.data, address)
    if response.status != 200:
        raise _refusal(body, address, response.status)
    try:
        return DirectoryAnswer.model_validate(body)
    except ValidationError as error:
        raise _malformed(address) from error


def _json_of(data: bytes, address: HostPort) -> Any:
    try:
        return json.loads(data)
    except ValueError as error:
        raise _malformed(address) from error


def _refusal(body: Any, address: HostPort, status: int) -> SettingsError:
    """Return the node's own error, with its code and remedy."""
    values = body if isinstance(body, dict) else {}
    code = errorcodes.lookup_code(str(values.get("code")))
    if code is None:
        return _malformed(address)
    text = str(values.get("message") or f"{address} answered with status {status}.")
    return SettingsError(code, text, str(values.get("remedy") or "look at the node's log"))


def _malformed(address: HostPort) -> SettingsError:
    return SettingsError(
        errorcodes.OPTION_INVALID,
        f"What answers at {address} isn't the directory of a toucanspindle node.",
        "name the entry address of a node, as `toucanctl status` lists it",
    )
