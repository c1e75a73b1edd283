"""The directory: returns the node addresses that callers should use for a service.

The entries are the live nodes that the service is assigned to, each with the token that it
issues.  A node that the service isn't assigned to still serves the requests that it receives.
"""

import json
from typing import Any, Final

from toucanspindle_core import errorcodes
from toucanspindle_core.errors import RequestError
from toucanspindle_core.outcome import Outcome
from toucanspindle_core.policy import ServicePolicy

from toucanspindle_node import messages
from toucanspindle_node.fleetstate import FleetState

DIRECTORY_PREFIX: Final = "/.toucan/directory/"


def answer_directory(service_name: str, state: FleetState) -> Outcome:
    """Return the directory's response as JSON; raise RequestError for an unknown service."""
    if state.policy is None:
        raise RequestError(
            errorcodes.CONFIG_ABSENT, messages.TEXT_NO_CONFIG, messages.REMEDY_CONFIG
        )
    service = state.policy.services.get(service_name)
    if service is None:
        text = f"There is no service {service_name[:80]!r}."
        raise RequestError(errorcodes.SERVICE_UNKNOWN, text, messages.REMEDY_SERVICE)
    body = json.dumps(_directory_body(service, state)).encode()
    headers = (
        ("Content-Type", "application/json"),
        ("Cache-Control", f"max-age={service.settings.directory_ttl_s}"),
    )
    return Outcome.answered(200, headers, body)


def _directory_body(service: ServicePolicy, state: FleetState) -> dict[str, Any]:
    return {
        "service": service.name,
        "generation": state.generation,
        "ttl_s": service.settings.directory_ttl_s,
        "entries": [
            {
                "address": member.entry_address,
                "failure_domain": member.failure_domain,
                "node": member.node,
                "token": member.token,
            }
            for member in state.assigned_nodes(service)
        ],
    }
