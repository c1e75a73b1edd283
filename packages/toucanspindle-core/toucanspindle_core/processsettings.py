"""Settings of the proxy and agent processes, read from a TOML file at start.

The proxy and the agent of one host read the same file.  All wrong values of a file are reported
together, each with its path, the value and what is allowed.
"""

import tomllib
from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, Field, ValidationError

from toucanspindle_core import errorcodes
from toucanspindle_core.errors import SettingsError
from toucanspindle_core.fleetconfig import Address, Name, StrictModel

T = TypeVar("T", bound=BaseModel)


class ProcessSettings(StrictModel):
    """Settings of one entry host, shared by its proxy and its agent."""

    node: Name = Field(description="Name of the entry host.")
    failure_domain: Name = Field(description="Failure domain that the host is in.")
    region: Name = Field("region-1", description="Region that the host is in.")
    entry_address: Address = Field(description="IP:port that callers connect to.")
    proxy_control_address: Address = Field(description="IP:port that other proxies connect to.")
    entry_listen_address: Address | None = Field(
        None, description="IP:port that the proxy listens on, if entry_address is forwarded to it."
    )
    proxy_control_listen_address: Address | None = Field(
        None,
        description="IP:port that the proxy listens on, if proxy_control_address is forwarded"
        " to it.",
    )
    agent_address: Address = Field(description="IP:port that other agents connect to.")
    agent_listen_address: Address | None = Field(
        None, description="IP:port that the agent listens on, if agent_address is forwarded to it."
    )
    proxy_link_address: Address = Field(
        description="IP:port of the agent that this host's proxy connects to."
    )
    metrics_address: Address = Field(description="IP:port that serves the proxy's metrics.")
    agent_metrics_address: Address | None = Field(
        None, description="IP:port that serves the agent's metrics; none if it isn't set."
    )
    platform_url: str = Field(pattern=r"^http://", description="Base URL of the platform.")
    seed_agents: list[Address] = Field(
        default_factory=list, description="Agents to join through when the platform is unreachable."
    )
    proxy_threads: int = Field(
        48, ge=1, le=256, description="Number of requests served concurrently."
    )
    token_lifetime_s: float = Field(600.0, ge=1, le=86_400, description="Lifetime of a token.")
    record_lifetime_s: float = Field(
        1800.0,
        ge=2,
        le=172_800,
        description="Minimum time for which records of finished requests are kept.",
    )
    max_records: int = Field(
        50_000, ge=10, le=10_000_000, description="Maximum number of request records."
    )
    probe_interval_s: float = Field(
        1.0, ge=0.05, le=60, description="Interval between probes of peer agents."
    )
    report_interval_s: float = Field(
        0.5, ge=0.05, le=60, description="Interval between evidence reports."
    )
    close_grace_s: float = Field(
        -1.0,
        ge=-1,
        le=3600,
        description="Time to keep serving after SIGTERM; -1: the directory TTL.",
    )

    @property
    def entry_bind_address(self) -> str:
        """IP:port that the proxy binds for callers."""
        return self.entry_listen_address or self.entry_address

    @property
    def agent_bind_address(self) -> str:
        """IP:port that the agent binds for other agents."""
        return self.agent_listen_address or self.agent_address

    @property
    def proxy_control_bind_address(self) -> str:
        """IP:port that the proxy binds for other proxies."""
        return self.proxy_control_listen_address or self.proxy_control_address


def load_process_settings(path: Path) -> ProcessSettings:
    """Read and check a process settings file; raise SettingsError listing every fault."""
    settings = validate_model(ProcessSettings, read_toml(path), str(path))
    if settings.record_lifetime_s < 2 * settings.token_lifetime_s:
        raise SettingsError(
            errorcodes.SETTINGS_INVALID,
            f"{path}: record_lifetime_s = {settings.record_lifetime_s} is below twice"
            f" token_lifetime_s = {settings.token_lifetime_s}.",
            "raise record_lifetime_s or lower token_lifetime_s",
        )
    return settings


def read_toml(path: Path) -> dict[str, Any]:
    """Return the values of a TOML file; raise SettingsError if it is unreadable or invalid."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(
            errorcodes.SETTINGS_UNREADABLE,
            f"{path} can't be read: {error.strerror}.",
            "name a file that exists and that this user may read",
        ) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(
            errorcodes.SETTINGS_UNREADABLE,
            f"{path} isn't valid TOML: {error}.",
            "correct the file at the reported position",
        ) from error


def validate_model(model: type[T], values: dict[str, Any], origin: str) -> T:
    """Return values as a model; raise one SettingsError that lists all faults.

    `origin` names the file in the error.
    """
    try:
        return model.model_validate(values)
    except ValidationError as error:
        lines = [_describe_fault(fault) for fault in error.errors()]
        text = f"{origin} has {len(lines)} wrong value(s):\n  " + "\n  ".join(lines) + "\n"
        raise SettingsError(
            errorcodes.SETTINGS_INVALID, text, "change each value to what is allowed"
        ) from error


def _describe_fault(fault: Any) -> str:
    path = ".".join(str(step) for step in fault["loc"]) or "(top)"
    if fault["type"] == "extra_forbidden":
        return f"{path}: unknown key (value {fault['input']!r}); remove it or correct its name"
    if fault["type"] == "missing":
        return f"{path}: missing; add it"
    return f"{path} = {fault['input']!r}: {fault['msg']}"
