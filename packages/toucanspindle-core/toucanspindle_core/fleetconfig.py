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

NAME_PATTERN: Final = r"^[a-z0-9][a-z0-9-]{0,62}$"


def _check_address(text: str) -> str:
    HostPort.parse(text)
    return text


Name = Annotated[str, Field(pattern=NAME_PATTERN)]
Address = Annotated[str, AfterValidator(_check_address)]


class StrictModel(BaseModel):
    """A model that refuses unknown keys and can't be changed."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ServiceSettings(StrictModel):
    """Settings that each service has; the defaults give all of them."""

    capacity_floor_percent: int = Field(
        75,
        ge=0,
        le=100,
        description="Share of targets that ejections always leave healthy.",
    )
    false_ejections_per_target_day: float = Field(
        0.05,
        gt=0,
        le=100,
        description="False ejections allowed per target and day; more gives faster detection.",
    )
    deadline_ms: int = Field(
        2000,
        ge=10,
        le=600_000,
        description="Time in which a request is answered when its caller names none.",
    )
    fan_in: int = Field(
        4, ge=2, le=64, description="Nodes that callers are sent to for the service."
    )
    slots_per_target: int = Field(
        4, ge=1, le=4096, description="Requests one target runs at a time."
    )
    connections_per_target: int = Field(
        16, ge=1, le=360, description="Connections one node holds to one target."
    )
    max_attempts: int = Field(3, ge=1, le=10, description="Attempts of one idempotent request.")
    retry_budget_percent: int = Field(
        10, ge=0, le=100, description="Retries and hedges as a share of first attempts."
    )
    hedge_after_ms: int = Field(
        0,
        ge=0,
        le=600_000,
        description="Time after which an idempotent request is hedged; 0: never.",
    )
    queue_limit: int = Field(
        32, ge=0, le=10_000, description="Requests that wait at one node for the service."
    )
    directory_ttl_s: int = Field(
        30, ge=1, le=3600, description="Time for which callers keep a directory answer."
    )
    max_body_bytes: int = Field(
        262_144, ge=0, le=16_777_216, description="Largest body of a request or an answer."
    )
    account_requests_per_s: float = Field(
        200.0,
        gt=0,
        le=1_000_000,
        description="Requests per second that one account may send to the service, over the fleet.",
    )


class ServiceSettingsPatch(StrictModel):
    """The settings that an exception changes; the others stay None."""

    capacity_floor_percent: int | None = Field(None, ge=0, le=100)
    false_ejections_per_target_day: float | None = Field(None, gt=0, le=100)
    deadline_ms: int | None = Field(None, ge=10, le=600_000)
    fan_in: int | None = Field(None, ge=2, le=64)
    slots_per_target: int | None = Field(None, ge=1, le=4096)
    connections_per_target: int | None = Field(None, ge=1, le=360)
    max_attempts: int | None = Field(None, ge=1, le=10)
    retry_budget_percent: int | None = Field(None, ge=0, le=100)
    hedge_after_ms: int | None = Field(None, ge=0, le=600_000)
    queue_limit: int | None = Field(None, ge=0, le=10_000)
    directory_ttl_s: int | None = Field(None, ge=1, le=3600)
    max_body_bytes: int | None = Field(None, ge=0, le=16_777_216)
    account_requests_per_s: float | None = Field(None, gt=0, le=1_000_000)


class TargetModel(StrictModel):
    """One back end of a service."""

    name: Name
    address: Address
    failure_domain: Name
    drained: bool = False


class RouteModel(StrictModel):
    """Sends requests of one method and path prefix to the service that holds the route."""

    method: Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
    path_prefix: str = Field(pattern=r"^/[!-~]*$", max_length=512)
    operation: Name
    idempotent: bool


class ServiceModel(StrictModel):
    """A service: its targets and its routes."""

    name: Name
    targets: list[TargetModel] = Field(min_length=1)
    routes: list[RouteModel] = Field(min_length=1)


class AccountClassModel(StrictModel):
    """A class of accounts: its weight when capacity is short, and its members."""

    name: Name
    weight: int = Field(1, ge=1, le=1000)
    accounts: list[Name] = Field(default_factory=list)


class ExceptionModel(StrictModel):
    """Settings of one service that differ from the defaults, and why."""

    id: Name
    service: Name
    reason: str = Field(min_length=8, max_length=500)
    expires: datetime | None = None
    settings: ServiceSettingsPatch


class FleetConfig(StrictModel):
    """The whole configuration of a fleet."""

    fleet: Name
    failure_domains: list[Name] = Field(min_length=1)
    defaults: ServiceSettings = Field(default_factory=lambda: ServiceSettings.model_validate({}))
    exceptions: list[ExceptionModel] = Field(default_factory=list)
    account_classes: list[AccountClassModel] = Field(default_factory=list)
    services: list[ServiceModel] = Field(default_factory=list)
