"""Lets a starting host of a large fleet take the store's objects from a host that follows them.

    ["state-ask", kind, name after which to continue, failure domain]
    ["state", kind, era, revision, age ms, name after which it continues, [[name, value], ...],
     has more]
    ["state-refused", kind, [ip, ...]]

A starting host asks some of its seeds.  A seed of another failure domain names the watchers of the
asking host's domain, if there are any, and the host asks these with an empty domain.  A host serves
what it knows if it is ready, knows enough hosts, has a recent confirmation of the store, and no
entry of which it is unsure.  Otherwise it refuses, and the host lists from the store.

Objects come in pages by name, each asked for separately.  As with the pages of the store, objects
may change between two pages, so the host follows the changes from the revision of the first one.
An answer counts as old as the question plus the age that it states.
"""

import asyncio
import bisect
import dataclasses
import math
import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Final

import orjson
from logbook import Logger

from toucanspindle_entry.hosts.datagrams import Message
from toucanspindle_entry.hosts.hostannouncer import SendMessage
from toucanspindle_entry.hosts.livehosts import LiveHosts
from toucanspindle_entry.store import storemessages
from toucanspindle_entry.store.objectstore import ObjectKind, StoreItem, StoreListing
from toucanspindle_entry.store.storerelay import MAX_CHANGES_BYTES, RelayedWatch, StoreRelay
from toucanspindle_entry.store.storewatch import MAX_UNCONFIRMED_S, StoreSnapshot

HOSTS_ASKED: Final = 2
# A round trip takes 2 ms.  A start waits no longer for the first answer of hosts that may not run,
# nor for that of the others once one has refused.
MAX_FIRST_ANSWER_S: Final = 0.03
MAX_OTHER_ANSWER_S: Final = 0.01
MAX_NEXT_ANSWER_S: Final = 0.3  # For further pages.
RESEND_S: Final = 0.05
PAGE_BYTES: Final = 4_096  # Three packets; a larger page is lost too often on a lossy link.

# Returns the objects by name, or None if they aren't to be passed on now.
ObjectSource = Callable[[], Sequence[tuple[str, Any]] | None]

log = Logger("store")


@dataclass
class _Fetch:
    """The pages that have arrived of a kind; `servers` are the hosts that are asked for the next.

    `domain` is empty once the watchers of the domain are asked.
    """

    kind: ObjectKind
    servers: list[str]
    domain: str
    began_at: float
    progress_at: float
    refusals: set[str] = field(default_factory=set)
    refused_until: float = math.inf
    items: list[StoreItem] = field(default_factory=list)
    first_page: StoreSnapshot | None = None
    after: str = ""
    is_complete: bool = False
    is_refused: bool = False
    progress: asyncio.Event = field(default_factory=asyncio.Event)  # The next question is due.
    changed: asyncio.Event = field(default_factory=asyncio.Event)


class StoreSnapshots:
    """Fetches the objects of a kind from other hosts, and serves them to others."""

    def __init__(
        self,
        hosts: LiveHosts,
        relay: StoreRelay,
        send: SendMessage,
        seeds: Sequence[str],
        rng: random.Random,
    ) -> None:
        """Create an exchange without objects; `set_sources` adds them."""
        self._hosts = hosts
        self._relay = relay
        self._send = send
        self._seeds = [ip for ip in seeds if ip != hosts.own.ip]
        self._rng = rng
        self._watches: Mapping[ObjectKind, RelayedWatch] = {}
        self._sources: Mapping[ObjectKind, ObjectSource] = {}
        self._sorted: dict[ObjectKind, tuple[tuple[int, int], list[tuple[str, Any]]]] = {}
        self._fetches: dict[ObjectKind, _Fetch] = {}

    def set_sources(
        self,
        watches: Mapping[ObjectKind, RelayedWatch],
        sources: Mapping[ObjectKind, ObjectSource],
    ) -> None:
        """Set what is served, by kind."""
        self._watches = watches
        self._sources = sources

    async def fetch(self, kind: ObjectKind) -> StoreSnapshot | None:
        """Return what another host knows of a kind, or None if it must be read from the store."""
        if not self._seeds:
            return None
        loop = asyncio.get_running_loop()
        servers = self._rng.sample(self._seeds, min(HOSTS_ASKED, len(self._seeds)))
        fetch = _Fetch(kind, servers, self._hosts.own.failure_domain, loop.time(), loop.time())
        self._fetches[kind] = fetch
        try:
            while not fetch.is_complete and not fetch.is_refused:
                for ip in fetch.servers:
                    self._send(ip, ["state-ask", kind.value, fetch.after, fetch.domain])
                if not await self._wait_for_progress(fetch):
                    return None
        finally:
            del self._fetches[kind]
        if fetch.first_page is None or not fetch.is_complete:
            return None
        snapshot = fetch.first_page
        log.info(
            "event=snapshot_taken kind={} from={} revision={}",
            kind.value,
            fetch.servers[0],
            snapshot.listing.revision,
        )
        age_s = snapshot.age_s + loop.time() - fetch.began_at
        listing = dataclasses.replace(snapshot.listing, items=tuple(fetch.items))
        return StoreSnapshot(listing, age_s)

    async def _wait_for_progress(self, fetch: _Fetch) -> bool:
        """Wait until a question is answered or to be sent again; return False to give up."""
        loop = asyncio.get_running_loop()
        resend_at = loop.time() + RESEND_S
        while not fetch.progress.is_set():
            if fetch.first_page is not None or not fetch.domain:
                give_up_at = fetch.progress_at + MAX_NEXT_ANSWER_S
            else:
                give_up_at = min(fetch.progress_at + MAX_FIRST_ANSWER_S, fetch.refused_until)
            until = min(resend_at, give_up_at)
            if loop.time() >= until:
                return loop.time() < give_up_at
            try:
                async with asyncio.timeout_at(until):
                    await fetch.changed.wait()
            except TimeoutError:
                continue
            fetch.changed.clear()
        fetch.progress.clear()
        fetch.progress_at = loop.time()
        return True

    def handle_message(self, ip: str, message: Message) -> bool:
        """Handle a message about snapshots; return False for any other message.

        Raises ValueError, TypeError, KeyError or IndexError for a malformed one.
        """
        if message[0] == "state-ask":
            _, kind_name, after, domain = message
            self._serve(ip, ObjectKind(kind_name), str(after), str(domain))
        elif message[0] == "state":
            self._take_page(ip, message)
        elif message[0] == "state-refused":
            self._take_refusal(ip, ObjectKind(message[1]), [str(other) for other in message[2]])
        else:
            return False
        return True

    def _serve(self, ip: str, kind: ObjectKind, after: str, domain: str) -> None:
        """Answer a host's question with a page, the hosts to ask instead, or a refusal."""
        page = self._page(kind, after)
        if page is None:
            self._send(ip, ["state-refused", kind.value, []])
            return
        if domain and domain != self._hosts.own.failure_domain:
            watchers = [other for other in self._relay.watchers_of(domain) if other != ip]
            if watchers:
                self._send(ip, ["state-refused", kind.value, watchers])
                return
        self._send(ip, page)

    def _page(self, kind: ObjectKind, after: str) -> Message | None:
        """Return the page after a name, or None if this host doesn't serve the kind now."""
        watch = self._watches.get(kind)
        progress = watch.progress if watch is not None else None
        is_able = self._relay.spares_calls and self._relay.is_ready
        if not is_able or progress is None or progress.age_s > MAX_UNCONFIRMED_S:
            return None
        objects = self._sorted_objects(kind, (progress.era, progress.revision))
        if objects is None:
            return None
        entries: list[Any] = []
        page_bytes = 0
        first = bisect.bisect_right(objects, after, key=lambda item: item[0])
        for name, value in objects[first:]:
            entry = [name, storemessages.encode_value(value)]
            entry_bytes = len(orjson.dumps(entry))
            if entry_bytes > MAX_CHANGES_BYTES:
                return None
            if entries and page_bytes + entry_bytes > PAGE_BYTES:
                break
            entries.append(entry)
            page_bytes += entry_bytes
        age_ms = int(progress.age_s * storemessages.MS_PER_S)
        has_more = int(first + len(entries) < len(objects))
        position = [progress.era, progress.revision, age_ms, after]
        return ["state", kind.value, *position, entries, has_more]

    def _sorted_objects(
        self, kind: ObjectKind, version: tuple[int, int]
    ) -> list[tuple[str, Any]] | None:
        """Return the objects by name; they are sorted once for each era and revision."""
        objects = self._sources[kind]()
        if objects is None:
            return None
        sorted_version, sorted_objects = self._sorted.get(kind, ((-1, -1), []))
        if sorted_version != version:
            sorted_objects = sorted(objects, key=lambda item: item[0])
            self._sorted[kind] = (version, sorted_objects)
        return sorted_objects

    def _take_page(self, ip: str, message: Message) -> None:
        _, kind_name, era, revision, age_ms, after, entries, has_more = message
        kind = ObjectKind(kind_name)
        fetch = self._fetches.get(kind)
        if fetch is None or ip not in fetch.servers or after != fetch.after or fetch.is_complete:
            return
        items = [
            StoreItem(str(name), storemessages.decode_value(kind, value, int(era)))
            for name, value in entries
        ]
        if fetch.first_page is None:
            age_s = max(0.0, age_ms / storemessages.MS_PER_S)
            fetch.first_page = StoreSnapshot(StoreListing((), int(revision), int(era)), age_s)
            fetch.servers = [ip]
        elif era != fetch.first_page.listing.era or revision < fetch.first_page.listing.revision:
            # After a restart of its host a page may be older than the changes that are followed.
            fetch.is_refused = True
        fetch.items += items
        fetch.is_complete = not has_more
        if items:
            fetch.after = items[-1].name
        fetch.progress.set()
        fetch.changed.set()

    def _take_refusal(self, ip: str, kind: ObjectKind, others: list[str]) -> None:
        fetch = self._fetches.get(kind)
        if fetch is None or ip not in fetch.servers:
            return
        if others and fetch.domain and fetch.first_page is None:
            fetch.servers, fetch.domain = others[:HOSTS_ASKED], ""
            fetch.refusals.clear()
            fetch.refused_until = math.inf
            fetch.progress.set()
        else:
            fetch.refusals.add(ip)
            now = asyncio.get_running_loop().time()
            fetch.refused_until = min(fetch.refused_until, now + MAX_OTHER_ANSWER_S)
            if fetch.refusals.issuperset(fetch.servers):
                fetch.is_refused = True
                fetch.progress.set()
        fetch.changed.set()
