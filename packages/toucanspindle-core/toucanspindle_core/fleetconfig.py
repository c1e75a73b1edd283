"""Pydantic models of the fleet configuration as operators write it.

A configuration lists the services that the fleet proxies, one set of default settings, and a short
list of exceptions.  Each exception changes some settings of one service and states its reason.
The models refuse unknown keys.  `policy.py` merges defaults and exceptions into the plain data
classes that the request path uses.
"""

from datetime import datetime
from typing import Annotated, Final, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from toucanspindle_core.hostport import HostPort

MAX_CONNECTIONS_PER_TARGET: Final = 360  # Over all nodes together.
NAME_PATTERN: Final = r"^[a-z0-9][a-z0-9-]{0,62}$"


def _check_address(text: str) -> str:
    HostPort.parse(text)
    return text


Name = Annotated[str, Field(pattern=NAME_PATTERN)]
Address = Annotated[
    str, AfterValidator(_check_address), Field(json_schema_extra={"format": "IP:port"})
]

# Bounded types, shared by the defaults and by the settings of an exception.
Percent = Annotated[int, Field(ge=0, le=100)]
FalseEjections = Annotated[float, Field(gt=0, le=100)]
DeadlineMs = Annotated[int, Field(ge=10, le=600_000)]
HedgeMs = Annotated[int, Field(ge=0, le=600_000)]
FanIn = Annotated[int, Field(ge=2, le=64)]
Slots = Annotated[int, Field(ge=1, le=4096)]
Connections = Annotated[int, Field(ge=1, le=MAX_CONNECTIONS_PER_TARGET)]
Attempts = Annotated[int, Field(ge=1, le=10)]
QueueLimit = Annotated[int, Field(ge=0, le=10_000)]
TtlS = Annotated[int, Field(ge=1, le=3600)]
BodyBytes = Annotated[int, Field(ge=0, le=16_777_216)]
RequestsPerS = Annotated[float, Field(gt=0, le=1_000_000)]


class StrictModel(BaseModel):
    """Base of immutable models that refuse unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ServiceSettings(StrictModel):
    """All settings of a service, used both for the defaults and for the merged result."""

    capacity_floor_percent: Percent = Field(
        75, description="Minimum share of targets that ejections must leave healthy."
    )
    false_ejections_per_target_day: FalseEjections = Field(
        0.05,
        description="False ejections allowed per target and day; more gives faster detection.",
    )
    deadline_ms: DeadlineMs = Field(
        2000, description="Deadline of a request whose caller sends none."
    )
    fan_in: FanIn = Field(
        4,
        description="Minimum number of nodes that the directory gives callers for the service; a"
        " service with many slots gets one node per 16 slots, as far as connections_per_target"
        " allows.",
    )
    slots_per_target: Slots = Field(4, description="Requests that one target runs concurrently.")
    connections_per_target: Connections = Field(
        16, description="Maximum number of connections from one node to one target."
    )
    max_attempts: Attempts = Field(
        3, description="Maximum number of attempts of one idempotent request."
    )
    retry_budget_percent: Percent = Field(
        10, description="Maximum ratio of retries and hedges to first attempts."
    )
    hedge_after_ms: HedgeMs = Field(
        0, description="Delay after which an idempotent request is hedged; 0: never."
    )
    queue_limit: QueueLimit = Field(
        32, description="Maximum number of requests that wait at one node for the service."
    )
    directory_ttl_s: TtlS = Field(
        30, description="Time for which callers cache a directory answer."
    )
    max_body_bytes: BodyBytes = Field(
        262_144, description="Maximum size of a request or answer body."
    )
    account_requests_per_s: RequestsPerS = Field(
        200.0,
        description="Requests per second that one account may send to the service, fleet-wide.",
    )


class ServiceSettingsPatch(StrictModel):
    """The settings that an exception changes; None stands for a setting that it doesn't change."""

    capacity_floor_percent: Percent | None = None
    false_ejections_per_target_day: FalseEjections | None = None
    deadline_ms: DeadlineMs | None = None
    fan_in: FanIn | None = None
    slots_per_target: Slots | None = None
    connections_per_target: Connections | None = None
    max_attempts: Attempts | None = None
    retry_budget_percent: Percent | None = None
    hedge_after_ms: HedgeMs | None = None
    queue_limit: QueueLimit | None = None
    directory_ttl_s: TtlS | None = None
    max_body_bytes: BodyBytes | None = None
    account_requests_per_s: RequestsPerS | None = None


class TargetModel(StrictModel):
    """One target (back end) of a service."""

    name: Name = Field(description="Name of the target, unique in the fleet.")
    address: Address = Field(description="Address that the proxies connect to.")
    failure_domain: Name = Field(description="Failure domain that the target is in.")
    drained: bool = Field(False, description="Whether an operator drained the target.")


class RouteModel(StrictModel):
    """Routes requests of one method and path prefix to the service that lists the route."""

    method: Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"] = Field(
        description="HTTP method of the requests."
    )
    path_prefix: str = Field(
        pattern=r"^/[!-~]*$",
        max_length=512,
        description="Prefix of the request paths; the longest matching prefix wins.",
    )
    operation: Name = Field(
        description="Kind of request; detection compares targets within one kind."
    )
    idempotent: bool = Field(
        description="Whether a request may run twice. If false, it runs at most once."
    )


class ServiceModel(StrictModel):
    """A service: its name, at least one target and at least one route."""

    name: Name = Field(description="Name of the service.")
    targets: list[TargetModel] = Field(min_length=1, description="Targets that run requests.")
    routes: list[RouteModel] = Field(
        min_length=1, description="Requests that are routed to the service."
    )


class AccountClassModel(StrictModel):
    """A class of accounts: its weight when capacity is scarce, and its members."""

    name: Name = Field(description="Name of the class; it labels metrics.")
    weight: int = Field(
        1, ge=1, le=1000, description="Share of scarce capacity relative to the other classes."
    )
    accounts: list[Name] = Field(default_factory=list, description="Accounts of the class.")


class ExceptionModel(StrictModel):
    """Settings of one service that differ from the defaults, with the reason."""

    id: Name = Field(description="Name of the exception.")
    service: Name = Field(description="Service that the exception changes.")
    reason: str = Field(
        min_length=8, max_length=500, description="Reason for the exception, as text."
    )
    expires: datetime | None = Field(
        None, description="Time at which it stops applying; UTC if it has no time zone."
    )
    settings: ServiceSettingsPatch = Field(
        description="Changed settings. A later exception for the service overrides an earlier one."
    )


class FleetConfig(StrictModel):
    """The whole configuration of a fleet, as one file or one stored generation holds it."""

    fleet: Name = Field(description="Name of the fleet.")
    failure_domains: list[Name] = Field(
        min_length=1, description="Failure domains that targets may be in."
    )
    defaults: ServiceSettings = Field(
        default_factory=lambda: ServiceSettings.model_validate({}),
        description="Settings of every service.",
    )
    exceptions: list[ExceptionModel] = Field(
        default_factory=list, description="Settings of services that differ from the defaults."
    )
    account_classes: list[AccountClassModel] = Field(
        default_factory=list,
        description="Classes of accounts; unlisted accounts are in class `default`.",
    )
    services: list[ServiceModel] = Field(
        default_factory=list, description="Services that the fleet proxies."
    )
