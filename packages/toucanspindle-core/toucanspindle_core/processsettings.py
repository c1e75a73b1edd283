"""Settings of the proxy and agent processes, read from a TOML file at start.

The proxy and the agent of one host read the same file.  Every wrong value is reported in one
go, each with its path, the value, what is allowed, and the remedy.
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
    """What one entry host knows about itself."""

    node: Name = Field(description="Name of the entry host.")
    failure_domain: Name = Field(description="Failure domain that the host is in.")
    region: Name = Field("region-1", description="Region that the host is in.")
    entry_address: Address = Field(description="IP:port where callers connect.")
    proxy_control_address: Address = Field(description="IP:port where other proxies connect.")
    entry_listen_address: Address | None = Field(
        None, description="IP:port where the proxy listens, if entry_address leads there."
    )
    proxy_control_listen_address: Address | None = Field(
        None, description="IP:port where the proxy listens, if proxy_control_address leads there."
    )
    agent_address: Address = Field(description="IP:port where other agents connect.")
    agent_listen_address: Address | None = Field(
        None, description="IP:port where the agent listens, if agent_address leads there."
    )
    proxy_link_address: Address = Field(description="IP:port where this host's proxy connects.")
    metrics_address: Address = Field(description="IP:port of the proxy's metrics.")
    agent_metrics_address: Address | None = Field(
        None, description="IP:port of the agent's metrics; without it the agent serves none."
    )
    platform_url: str = Field(pattern=r"^http://", description="Base URL of the platform.")
    seed_agents: list[Address] = Field(
        default_factory=list, description="Agents to join through when the platform is away."
    )
    proxy_threads: int = Field(48, ge=1, le=256, description="Requests served at a time.")
    token_lifetime_s: float = Field(600.0, ge=1, le=86_400, description="Life of a token.")
    record_lifetime_s: float = Field(
        1800.0, ge=2, le=172_800, description="Time for which finished requests are remembered."
    )
    max_records: int = Field(50_000, ge=10, le=10_000_000, description="Requests remembered.")
    probe_interval_s: float = Field(1.0, ge=0.05, le=60, description="Time between peer probes.")
    report_interval_s: float = Field(0.5, ge=0.05, le=60, description="Time between reports.")
    close_grace_s: float = Field(
        -1.0, ge=-1, le=3600, description="Time to serve on after SIGTERM; -1: the directory TTL."
    )

    @property
    def entry_bind_address(self) -> str:
        """Where the proxy listens for callers."""
        return self.entry_listen_address or self.entry_address

    @property
    def agent_bind_address(self) -> str:
        """Where the agent listens for other agents."""
        return self.agent_listen_address or self.agent_address

    @property
    def proxy_control_bind_address(self) -> str:
        """Where the proxy listens for other proxies."""
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
    """Read a TOML file; raise SettingsError when it is absent or isn't TOML."""
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
            "mend the file at the place named",
        ) from error


def validate_model(model: type[T], values: dict[str, Any], origin: str) -> T:
    """Validate values against a model; raise one SettingsError that lists all faults."""
    try:
        return model.model_validate(values)
    except ValidationError as error:
        lines = [_describe(fault) for fault in error.errors()]
        text = f"{origin} has {len(lines)} wrong value(s):\n  " + "\n  ".join(lines) + "\n"
        raise SettingsError(
            errorcodes.SETTINGS_INVALID, text, "change each value to what is allowed"
        ) from error


def _describe(fault: Any) -> str:
    path = ".".join(str(step) for step in fault["loc"]) or "(top)"
    if fault["type"] == "extra_forbidden":
        return f"{path}: unknown key (value {fault['input']!r}); remove it or correct its name"
    if fault["type"] == "missing":
        return f"{path}: missing; add it"
    return f"{path} = {fault['input']!r}: {fault['msg']}"
