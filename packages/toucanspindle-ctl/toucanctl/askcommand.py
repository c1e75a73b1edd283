"""The command `toucanctl ask`: queries the directory over HTTP, as a caller does."""

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

from toucanctl.ctlsettings import DEFAULT_OPTIONS, CommonOptions, parse_address
from toucanctl.nodeclient import GENERATIONS_ONLY
from toucanctl.output import indent, table
from toucanctl.session import Session

QUERY_TIMEOUT_S: Final = 2.0


class DirectoryEntry(StrictModel):
    """One node that a caller can connect to."""

    address: str
    failure_domain: str
    node: str
    token: str


class DirectoryAnswer(StrictModel):
    """The directory's answer for one service; callers cache it for `ttl_s` seconds."""

    service: str
    generation: int
    ttl_s: float
    entries: list[DirectoryEntry]


def ask(
    service: str,
    *,
    entry: Annotated[list[str] | None, Parameter(negative=())] = None,
    options: CommonOptions = DEFAULT_OPTIONS,
) -> None:
    """Ask the directory which addresses a caller should use for a service.

    Any node can answer. Callers cache the answer for ttl_s seconds and connect to its addresses.

    Parameters
    ----------
    service
        Name of the service.
    entry
        Entry address to ask, as IP:port; may be repeated. By default the nodes that the platform
        lists.
    """
    with Session(options) as session:
        entry_addresses = [str(parse_address(text, "--entry")) for text in entry or []]
        answered_by, answer = _first_answer(
            entry_addresses or list(_known_entry_addresses(session)), service
        )
        rows = [(e.address, e.failure_domain, e.node, e.token) for e in answer.entries]
        lines = [
            f"{answered_by} names {len(rows)} address(es) for {service}, to be kept"
            f" {answer.ttl_s:g} s (generation {answer.generation})",
            *indent(table(("address", "domain", "node", "token"), rows)),
        ]
        session.output.result(lines, {"asked": answered_by, **answer.model_dump()})


def _known_entry_addresses(session: Session) -> Iterator[str]:
    for host in session.listed_hosts():
        if host.role == "entry" and host.state == "live":
            yield host.address
    if session.settings.agents:
        for status in session.query_fleet(GENERATIONS_ONLY).statuses():
            yield status.member.entry_address


def _first_answer(addresses: list[str], service: str) -> tuple[str, DirectoryAnswer]:
    """Return the first address that answers, and its answer.

    Raises ControlError when none answers, and SettingsError when the first to answer refuses.
    """
    failures = []
    with urllib3.PoolManager(retries=False) as pool:
        for address in addresses:
            try:
                return address, _query_node(pool, HostPort.parse(address), service)
            except (HTTPError, ValueError) as error:
                failures.append(f"\n  {address}: {error}")
    raise ControlError(
        errorcodes.AGENT_UNREACHABLE,
        f"None of {len(addresses)} entry address(es) answered:{''.join(failures)}\n",
        "name a running node with --entry IP:port, or check `toucanctl status`",
    )


def _query_node(pool: urllib3.PoolManager, address: HostPort, service: str) -> DirectoryAnswer:
    url = f"http://{address}/.toucan/directory/{service}"
    response = pool.request("GET", url, timeout=QUERY_TIMEOUT_S)
    body = _parse_json(response.data, address)
    if response.status != 200:
        raise _error_from_body(body, address, response.status)
    try:
        return DirectoryAnswer.model_validate(body)
    except ValidationError as error:
        raise _not_a_directory_error(address) from error


def _parse_json(data: bytes, address: HostPort) -> Any:
    try:
        return json.loads(data)
    except ValueError as error:
        raise _not_a_directory_error(address) from error


def _error_from_body(body: Any, address: HostPort, status: int) -> SettingsError:
    """Return the error that the node sent, with its code and remedy."""
    values = body if isinstance(body, dict) else {}
    code = errorcodes.lookup_code(str(values.get("code")))
    if code is None:
        return _not_a_directory_error(address)
    text = str(values.get("message") or f"{address} answered with status {status}.")
    return SettingsError(code, text, str(values.get("remedy") or "look at the node's log"))


def _not_a_directory_error(address: HostPort) -> SettingsError:
    return SettingsError(
        errorcodes.OPTION_INVALID,
        f"The answer from {address} isn't that of a toucanspindle directory.",
        "name the entry address of a node, as `toucanctl status` lists it",
    )
