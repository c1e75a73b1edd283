"""Passes changes of the store on between hosts, so that only a few hosts watch the store.

    ["store", [[kind, base revision, revision, age ms, grace ms, changes], ...]]

In each failure domain the first WATCHERS_PER_DOMAIN live hosts by rank are the watchers.  A watcher
passes what it reads on to the hosts of its domain and to the watchers of the other domains, which
pass it on in turn.  `changes` leads from the base revision to the revision, and `age` is how long
ago the store confirmed that the revision is the newest one.  Watchers also send regularly since
which revision nothing has changed.  A host that can't follow from its own revision, or hears of no
confirmation for a while, asks the store itself, see `storewatch`.

Each host gets each change from both watchers of its domain, so that a lost datagram costs nothing.
"""

import asyncio
from collections.abc import Mapping
from typing import Any, Final, Protocol

from logbook import Logger

from toucanspindle_entry.hosts.brokerchoice import rank_brokers
from toucanspindle_entry.hosts.datagrams import Message
from toucanspindle_entry.hosts.hostannouncer import SendMessage
from toucanspindle_entry.hosts.livehosts import LiveHosts
from toucanspindle_entry.store import storemessages
from toucanspindle_entry.store.objectstore import ObjectKind
from toucanspindle_entry.store.storewatch import StoreProgress

WATCHERS_PER_DOMAIN: Final = 2
ANNOUNCE_INTERVAL_S: Final = 0.25
LARGE_FLEET_HOSTS: Final = 64  # Calls of smaller fleets cost little, and are left as they were.
MAX_CHANGES_BYTES: Final = 16_384  # Larger changes are not passed on; hosts read them themselves.

log = Logger("store")


class RelayedWatch(Protocol):
    """A watch that takes part in the relay."""

    @property
    def progress(self) -> StoreProgress | None:
        """The revision that is known and its age, or None without one."""
        ...

    def receive(self, progress: StoreProgress) -> bool:
        """Process what another host knows; return whether there were changes to apply."""
        ...


class StoreRelay:
    """Decides whether this host watches the store, and exchanges changes with the other hosts."""

    def __init__(self, hosts: LiveHosts, send: SendMessage, may_spare_calls: bool = False) -> None:
        """Create a relay without watches; `set_watches` adds them.

        With `may_spare_calls`, hosts of a large fleet avoid calls that each host would make.
        """
        self._may_spare_calls = may_spare_calls
        self._hosts = hosts
        self._send = send
        self._watches: Mapping[ObjectKind, RelayedWatch] = {}
        self._is_ready = False
        self._ranked_at_revision = -1
        self._watchers: dict[str, list[str]] = {}

    def set_watches(self, watches: Mapping[ObjectKind, RelayedWatch]) -> None:
        """Set the watches that take part, by kind."""
        self._watches = watches

    def set_ready(self, is_ready: bool) -> None:
        """Set whether this host is ready, so that others count it among the live hosts."""
        if is_ready != self._is_ready:
            self._is_ready = is_ready
            self._ranked_at_revision = -1

    @property
    def is_ready(self) -> bool:
        """Whether this host is ready, and not stopping."""
        return self._is_ready

    def watchers_of(self, failure_domain: str) -> list[str]:
        """Return the IP addresses of the watchers of a failure domain, by rank."""
        return self._watchers_by_domain().get(failure_domain, [])

    @property
    def is_watcher(self) -> bool:
        """Whether this host watches the store for its failure domain."""
        own = self._hosts.own
        return own.ip in self.watchers_of(own.failure_domain)

    @property
    def is_first_of_domain(self) -> bool:
        """Whether this host is the first watcher of its failure domain."""
        own = self._hosts.own
        return self.watchers_of(own.failure_domain)[:1] == [own.ip]

    @property
    def spares_calls(self) -> bool:
        """Whether calls that each host would make are to be avoided now."""
        return self._may_spare_calls and len(self._hosts.peers) + 1 >= LARGE_FLEET_HOSTS

    @property
    def is_first_watcher(self) -> bool:
        """Whether this host is the first watcher of the first failure domain by name."""
        by_domain = self._watchers_by_domain()
        return bool(by_domain) and by_domain[min(by_domain)][:1] == [self._hosts.own.ip]

    def domain_watchers(self) -> list[str]:
        """Return the IP addresses of the other hosts that watch the store for this domain."""
        own = self._hosts.own
        watchers = self._watchers_by_domain().get(own.failure_domain, [])
        return [ip for ip in watchers if ip != own.ip]

    async def run(self) -> None:
        """Tell the hosts of the failure domain and the other watchers what is known, forever."""
        while True:
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)
            self.announce()

    def announce(self) -> None:
        """Tell now what is known of all kinds, if this host watches the store."""
        if not self.is_watcher:
            return
        states = [
            storemessages.encode_progress(kind, progress)
            for kind, watch in self._watches.items()
            if (progress := watch.progress) is not None
        ]
        if states:
            self._send_to(["store", states], to_watchers=True)

    def pass_on(self, kind: ObjectKind, progress: StoreProgress, is_own: bool) -> None:
        """Pass new changes on; `is_own` if this host read them from the store itself."""
        if not self.is_watcher:
            return
        state = storemessages.encode_progress(kind, progress)
        if storemessages.size(state) > MAX_CHANGES_BYTES:
            # The hosts find that they can't follow, and ask the store.
            state = storemessages.encode_progress(kind, progress.without_changes())
        self._send_to(["store", [state]], to_watchers=is_own)

    def handle_message(self, ip: str, message: Message) -> bool:
        """Handle a message of the relay; return False for any other message.

        Raises ValueError, TypeError or IndexError for a malformed one.
        """
        if message[0] != "store":
            return False
        for state in message[1]:
            kind, progress = storemessages.decode_progress(state)
            watch = self._watches.get(kind)
            if watch is not None and watch.receive(progress):
                log.debug("event=changes_relayed kind={} from={}", kind.value, ip)
                self.pass_on(kind, progress, is_own=False)
        return True

    def _send_to(self, message: Message, to_watchers: bool) -> None:
        """Send to the hosts of this failure domain, and to the watchers of the others."""
        own = self._hosts.own
        # A host that is leaving still has requests, so it must know which targets leave.
        receivers = {
            ip
            for ip, peer in self._hosts.peers.items()
            if peer.entry.failure_domain == own.failure_domain and not peer.is_dead
        }
        if to_watchers:
            for watchers in self._watchers_by_domain().values():
                receivers.update(watchers)
        receivers.discard(own.ip)
        for ip in receivers:
            self._send(ip, message)

    def _watchers_by_domain(self) -> dict[str, list[Any]]:
        """Return the watchers of each failure domain, by rank."""
        if self._ranked_at_revision == self._hosts.revision:
            return self._watchers
        self._ranked_at_revision = self._hosts.revision
        own = self._hosts.own
        by_domain: dict[str, list[str]] = {}
        for ip in self._hosts.alive_ips():
            domain = self._hosts.peers[ip].entry.failure_domain
            by_domain.setdefault(domain, []).append(ip)
        if self._is_ready:
            by_domain.setdefault(own.failure_domain, []).append(own.ip)
        capacities = self._hosts.capacities()
        self._watchers = {
            domain: rank_brokers(f"watchers of {domain}", ips, capacities)[:WATCHERS_PER_DOMAIN]
            for domain, ips in by_domain.items()
        }
        return self._watchers
