"""The fleet's configuration as operators write it: validated models at the border.

A configuration names the services the fleet fronts, one set of defaults, and a short list of
exceptions.  Each exception changes some settings for one service and carries a written reason.
The models refuse unknown keys.  `policy.py` merges defaults and exceptions into the plain data
classes that the request path uses.
"""

from datetime import datetime
from typing import Annotated, Final, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from toucanspindle_core.hostport import HostPort

CONNECTIONS_OF_TARGET: Final = 360
NAME_PATTERN: Final = r"^[a-z0-9][a-z0-9-]{0,62}$"


def _check_address(text: str) -> str:
    HostPort.parse(text)
    return text


Name = Annotated[str, Field(pattern=NAME_PATTERN)]
Address = Annotated[
    str, AfterValidator(_check_address), Field(json_schema_extra={"format": "IP:port"})
]

# Types with their limits, shared by the defaults and by the settings of an exception.
Percent = Annotated[int, Field(ge=0, le=100)]
FalseEjections = Annotated[float, Field(gt=0, le=100)]
DeadlineMs = Annotated[int, Field(ge=10, le=600_000)]
HedgeMs = Annotated[int, Field(ge=0, le=600_000)]
FanIn = Annotated[int, Field(ge=2, le=64)]
Slots = Annotated[int, Field(ge=1, le=4096)]
Connections = Annotated[int, Field(ge=1, le=CONNECTIONS_OF_TARGET)]
Attempts = Annotated[int, Field(ge=1, le=10)]
QueueLimit = Annotated[int, Field(ge=0, le=10_000)]
TtlS = Annotated[int, Field(ge=1, le=3600)]
BodyBytes = Annotated[int, Field(ge=0, le=16_777_216)]
RequestsPerS = Annotated[float, Field(gt=0, le=1_000_000)]


class StrictModel(BaseModel):
    """A model that refuses unknown keys and can't be changed."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ServiceSettings(StrictModel):
    """Settings that each service has; the defaults give all of them."""

    capacity_floor_percent: Percent = Field(
        75, description="Share of targets that ejections always leave healthy."
    )
    false_ejections_per_target_day: FalseEjections = Field(
        0.05,
        description="False ejections allowed per target and day; more gives faster detection.",
    )
    deadline_ms: DeadlineMs = Field(
        2000, description="Time in which a request is answered when its caller names none."
    )
    fan_in: FanIn = Field(
        4,
        description="Least number of nodes that callers are sent to for the service; services of"
        " many slots get one node for each 16 slots, as far as connections_per_target lets.",
    )
    slots_per_target: Slots = Field(4, description="Requests one target runs at a time.")
    connections_per_target: Connections = Field(
        16, description="Connections one node holds to one target."
    )
    max_attempts: Attempts = Field(3, description="Attempts of one idempotent request.")
    retry_budget_percent: Percent = Field(
        10, description="Retries and hedges as a share of first attempts."
    )
    hedge_after_ms: HedgeMs = Field(
        0, description="Time after which an idempotent request is hedged; 0: never."
    )
    queue_limit: QueueLimit = Field(
        32, description="Requests that wait at one node for the service."
    )
    directory_ttl_s: TtlS = Field(30, description="Time for which callers keep a directory answer.")
    max_body_bytes: BodyBytes = Field(
        262_144, description="Largest body of a request or an answer."
    )
    account_requests_per_s: RequestsPerS = Field(
        200.0,
        description="Requests per second that one account may send to the service, over the fleet.",
    )


class ServiceSettingsPatch(StrictModel):
    """The settings that an exception changes; the others stay None."""

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
    """One back end of a service."""

    name: Name = Field(description="Name of the target, used once in the fleet.")
    address: Address = Field(description="Where the proxies connect.")
    failure_domain: Name = Field(description="Failure domain that the target is in.")
    drained: bool = Field(False, description="Whether an operator took it out of use.")


class RouteModel(StrictModel):
    """Sends requests of one method and path prefix to the service that holds the route."""

    method: Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"] = Field(
        description="Method of the requests."
    )
    path_prefix: str = Field(
        pattern=r"^/[!-~]*$",
        max_length=512,
        description="Start of the paths; the longest prefix that matches is taken.",
    )
    operation: Name = Field(description="Kind of request; evidence is compared within it.")
    idempotent: bool = Field(
        description="Whether a request may be run twice. If false, it runs at most once."
    )


class ServiceModel(StrictModel):
    """A service: its targets and its routes."""

    name: Name = Field(description="Name of the service.")
    targets: list[TargetModel] = Field(min_length=1, description="Targets that run requests.")
    routes: list[RouteModel] = Field(min_length=1, description="Which requests go here.")


class AccountClassModel(StrictModel):
    """A class of accounts: its weight when capacity is short, and its members."""

    name: Name = Field(description="Name of the class; it labels metrics.")
    weight: int = Field(
        1, ge=1, le=1000, description="Share of capacity when it is short, against other classes."
    )
    accounts: list[Name] = Field(default_factory=list, description="Accounts of the class.")


class ExceptionModel(StrictModel):
    """Settings of one service that differ from the defaults, and why."""

    id: Name = Field(description="Name of the exception.")
    service: Name = Field(description="Service that it is for.")
    reason: str = Field(min_length=8, max_length=500, description="Why, in words.")
    expires: datetime | None = Field(
        None, description="When it stops to apply; UTC if no zone is named."
    )
    settings: ServiceSettingsPatch = Field(
        description="What differs. A later exception for the service goes before an earlier one."
    )


class FleetConfig(StrictModel):
    """The whole configuration of a fleet."""

    fleet: Name = Field(description="Name of the fleet.")
    failure_domains: list[Name] = Field(
        min_length=1, description="Failure domains that targets may be in."
    )
    defaults: ServiceSettings = Field(
        default_factory=lambda: ServiceSettings.model_validate({}),
        description="Settings of every service.",
    )
    exceptions: list[ExceptionModel] = Field(
        default_factory=list, description="Where services differ from the defaults."
    )
    account_classes: list[AccountClassModel] = Field(
        default_factory=list, description="Classes of accounts; others are of class `default`."
    )
    services: list[ServiceModel] = Field(
        default_factory=list, description="Services that the fleet fronts."
    )
