"""Adds up over the fleet which targets a request crashed, and tells all hosts of poison messages.

    ["crashed", service, fingerprint, targets]

A broker sends this for a request that crashed targets, or without targets once one has answered it.
It goes to the hosts next in rank for the service, and to the keepers of the request: the first
KEEPERS live hosts by rank for the first digits of its fingerprint.  Brokers of different services
so tell the same keepers.  A host that finds that a request is poison tells all live hosts.  A host
that is told of a crash by another broker that doesn't know this answers with what it knows, as its
message may have been lost.
"""

from typing import Final

from toucanspindle_core.clock import Clock

from toucanspindle_entry.broker.poisontracker import MIN_CRASHED_TARGETS, PoisonTracker
from toucanspindle_entry.hosts.brokerchoice import BrokerRanking
from toucanspindle_entry.hosts.datagrams import Message
from toucanspindle_entry.hosts.hostannouncer import SendMessage
from toucanspindle_entry.hosts.livehosts import LiveHosts

KEEPERS: Final = 2
# Requests whose fingerprints begin with the same digits have the same keepers, so that the hosts
# are ranked 256 times at most for each change of the hosts, and not for each lost connection.
KEEPER_DIGITS: Final = 2
MAX_BROKERS_TOLD: Final = 3  # Hosts in order of rank that may be asked for slots of the service.


class PoisonSharing:
    """Keeps the poison tracker of this host in step with those of the other hosts."""

    def __init__(
        self, hosts: LiveHosts, ranking: BrokerRanking, clock: Clock, send: SendMessage
    ) -> None:
        """Create the sharing of an empty tracker."""
        self._hosts = hosts
        self._ranking = ranking
        self._clock = clock
        self._send = send
        self._tracker = PoisonTracker()

    @property
    def tracker(self) -> PoisonTracker:
        """The tracker for the brokers of all services on this host."""
        return self._tracker

    def share(self, service: str, fingerprint: str) -> None:
        """Tell others what the crashed targets of a request are now; none if one answered."""
        if self._tracker.is_poison(fingerprint, self._clock.now()):
            self._tell_all(service, fingerprint)
            return
        receivers = {*self._ranking.live(service)[:MAX_BROKERS_TOLD], *self._keepers(fingerprint)}
        for ip in receivers - {self._hosts.own.ip}:
            self._send(ip, self._message(service, fingerprint))

    def handle_message(self, ip: str, message: Message) -> None:
        """Adopt what another host knows of a request; tell all hosts if it is poison with that."""
        service, fingerprint = str(message[1]), str(message[2])
        targets = [str(target) for target in message[3]]
        now = self._clock.now()
        was_poison = self._tracker.is_poison(fingerprint, now)
        self._tracker.adopt(fingerprint, targets, now)
        if not 0 < len(targets) < MIN_CRASHED_TARGETS:
            return
        if was_poison:
            self._send(ip, self._message(service, fingerprint))
        elif self._tracker.is_poison(fingerprint, now):
            self._tell_all(service, fingerprint)

    def _keepers(self, fingerprint: str) -> list[str]:
        return self._ranking.live(f"poison {fingerprint[:KEEPER_DIGITS]}")[:KEEPERS]

    def _tell_all(self, service: str, fingerprint: str) -> None:
        for ip in self._hosts.alive_ips():
            self._send(ip, self._message(service, fingerprint))

    def _message(self, service: str, fingerprint: str) -> Message:
        return ["crashed", service, fingerprint, self._tracker.crashed_targets(fingerprint)]
