"""Texts and remedies of the errors that a proxy reports to callers."""

from typing import Final

REMEDY_BAD_REQUEST: Final = "send a well-formed HTTP/1.1 request"
REMEDY_ACCOUNT: Final = "send the header Toucan-Account with the account's name"
REMEDY_DEADLINE: Final = "send Toucan-Deadline-Ms as a whole number from 1 to 600000"
REMEDY_ROUTE: Final = "compare method and path with the routes of the configuration"
REMEDY_SERVICE: Final = "ask the operators for the names of the services"
REMEDY_KEY: Final = (
    "send Idempotency-Key (1 to 255 printable characters), the same at each resend of this request"
)
REMEDY_TOKEN: Final = (
    "send Toucan-Token from the directory's answer or from this answer's header Toucan-Token;"
    " take a new one only if no byte of the request was sent under another"
)
REMEDY_LATER: Final = (
    "the request was not run; send it again later, with a fresh key if it isn't idempotent"
)
REMEDY_SMALLER: Final = "send a body within the service's limit"
REMEDY_OTHER_NODE: Final = "the request was not run; ask the directory and use another node"
REMEDY_UNKNOWN: Final = (
    "it may have run; ask again with the same key and token, never with new ones"
)
REMEDY_UNKNOWN_IDEMPOTENT: Final = "it may have run; as it is idempotent, send it again"
REMEDY_QUARANTINED: Final = (
    "the request was not run; change it, or ask the operators to look at `toucanctl status`"
)
REMEDY_QUARANTINED_NOW: Final = (
    "it crashed each target that ran it; don't send it again until the operators have checked it"
)
REMEDY_CONFIG: Final = "wait for the agent to fetch the configuration, or apply one"
TEXT_NO_CONFIG: Final = "This node has no configuration yet."
