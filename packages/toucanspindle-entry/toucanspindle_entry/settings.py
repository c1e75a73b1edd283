"""Settings of an entry process, passed whole to its parts."""

from dataclasses import dataclass

from toucanspindle_core.hostport import HostPort


@dataclass(frozen=True)
class FleetBounds:
    """Bounds that the operators of the fleet set, in seconds unless the name says otherwise.

    A service may get `retry_ratio` retries per request plus `retry_burst` in each span of
    `retry_window_s`, over all hosts.
    """

    drain_s: float
    shutdown_s: float
    retry_ratio: float
    retry_window_s: float
    retry_burst: float
    directory_ttl_max_s: float
    floor_share: float


@dataclass(frozen=True)
class EntrySettings:
    """Who this process is, where it listens, and the bounds that it keeps.

    `peer_port` is the UDP port that the entry processes of all hosts share; `seeds` are IP numbers
    of hosts that may know the others.
    """

    node: str
    ip: str
    failure_domain: str
    caller_address: HostPort
    ready_address: HostPort
    directory_address: HostPort
    control_address: HostPort
    metrics_address: HostPort
    peer_port: int
    seeds: tuple[str, ...]
    bounds: FleetBounds
