"""Settings of an entry process."""

from dataclasses import dataclass
from typing import Final

from toucanspindle_core.hostport import HostPort

# Of the memory of the process, what peers may hold.  The rest is for the program, its tables, its
# connections and the allocator.
PEER_MEMORY_SHARE: Final = 0.5
BYTES_PER_MB: Final = 1_048_576
FILE_DESCRIPTORS: Final = 200  # Of the limit for descriptors, those that are kept for files.
# Of the other descriptors, those for connections of callers, and for the ports for readiness,
# directory, control and metrics together.  A request in progress needs a connection to a target
# besides that of its caller; the rest is for these, the store and what is being accepted.
CALLER_DESCRIPTOR_SHARE: Final = 0.5
STATUS_DESCRIPTOR_SHARE: Final = 0.125
# The fleet's own, for the store, the ports and the event loop, and for connections that have been
# accepted and not yet counted: two turns of 16 for each of five ports.  With few descriptors it is
# a share of them, and a storm of connections may reach the system's limit for some turns.
RESERVED_DESCRIPTORS: Final = 192
RESERVED_DESCRIPTOR_SHARE: Final = 0.125


@dataclass(frozen=True)
class FleetBounds:
    """Limits that the operators of the fleet set; times are in seconds.

    Over all hosts, a service may use `retry_ratio` retries per request, plus `retry_burst` retries
    in each window of `retry_window_s`.  `floor_share` is the least share of a service's targets
    that must stay in use.  A draining target must get no new requests after `drain_s`.  The
    platform kills a process `shutdown_s` after SIGTERM.  Callers may use a directory response for
    `directory_ttl_max_s` at most.

    A key that a plan takes away must not be used later than `revoke_s` after the plan was
    acknowledged; None is no such bound.  In a window of `quota_window_s`, a client account may
    exceed its quota by the share `quota_overage` and by `quota_slack` requests.

    `hedge_share` is the number of hedged attempts that a service may use per request; 0 is none.
    """

    drain_s: float
    shutdown_s: float
    retry_ratio: float
    retry_window_s: float
    retry_burst: float
    directory_ttl_max_s: float
    floor_share: float
    revoke_s: float | None = None
    quota_window_s: float = 5.0
    quota_overage: float = 0.1
    quota_slack: float = 20.0
    hedge_share: float = 0.0


@dataclass(frozen=True)
class EntrySettings:
    """Identity, listening addresses and limits of an entry process.

    `peer_port` is the UDP port of the entry processes, the same on all hosts.  `seeds` are IP
    addresses of hosts that a new host contacts first.  `cores` is the processor time that the
    process has, in cores, and `link_mbps` the bandwidth of the host's link; both decide how likely
    the host becomes a broker.  `memory_mb` is the memory that the process has, in MB (2**20 bytes).
    The connection of a caller that takes nothing of a response for `caller_stall_s` is ended.
    `max_fds` is the number of file descriptors that the process may open.
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
    cores: float = 1.0
    link_mbps: float = 100.0
    memory_mb: float = 200.0
    caller_stall_s: float = 15.0
    max_fds: int = 4096

    @property
    def spares_store_calls(self) -> bool:
        """Whether a host of a large fleet learns from other hosts what the store holds.

        A fleet with a bound for revoked keys calls the store for the plan about twice as often.
        It makes up for that with fewer other calls.
        """
        return self.bounds.revoke_s is not None

    @property
    def peer_memory_bytes(self) -> int:
        """The memory that peers may hold in the process, in bytes."""
        return int(self.memory_mb * BYTES_PER_MB * PEER_MEMORY_SHARE)

    @property
    def max_caller_connections(self) -> int:
        """The connections that callers may have open together."""
        return self._connections_for(CALLER_DESCRIPTOR_SHARE)

    @property
    def max_status_connections(self) -> int:
        """The connections that the other ports may have open together."""
        return self._connections_for(STATUS_DESCRIPTOR_SHARE)

    @property
    def max_target_connections(self) -> int:
        """The connections to targets that the process may have open together."""
        sockets = self.max_fds - FILE_DESCRIPTORS
        reserved = min(RESERVED_DESCRIPTORS, self._connections_for(RESERVED_DESCRIPTOR_SHARE))
        others = self.max_caller_connections + self.max_status_connections + reserved
        return max(1, sockets - others)

    def _connections_for(self, share: float) -> int:
        return max(1, int((self.max_fds - FILE_DESCRIPTORS) * share))
