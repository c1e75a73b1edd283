"""Tells the other hosts that this host has started and whether it is ready, and learns it of them.

    ["hello", name, failure domain, incarnation, capacity]
    ["welcome", name, failure domain, incarnation, capacity]
    ["who"]
    ["peers", [["", ip, "", ""], ...]]

`capacity` is that of the sender as a broker, or 0 while it isn't ready.

A host sends `hello` to each host that it hears of; the reply is `welcome`.  When it becomes ready
it sends `hello` again.  All hosts must learn of that: a host that takes another one for unready
chooses other brokers than the rest of the fleet.  A `welcome` to a host that became ready meanwhile
is therefore answered with another `hello`, and a `hello` that brought no `welcome` is repeated.

A starting host sends `who` to the few hosts that it knows from its settings.  The replies name the
hosts that are alive for them.  It greets each of those that it doesn't know once, and adds them
when they answer.  So the datagrams of a start grow with the pairs of hosts, and not faster.
"""

from collections.abc import Callable
from typing import Final

from logbook import Logger

from toucanspindle_entry.hosts.datagrams import Message
from toucanspindle_entry.hosts.livehosts import LiveHosts
from toucanspindle_entry.model import HostEntry

MAX_READY_HELLOS: Final = 4  # For each host; a lost datagram is rare.
MAX_PEERS_NAMED: Final = 64  # In one message; several messages name all.
MAX_QUESTIONS: Final = 4  # To each host that is asked for the others; a reply may be lost.
MAX_FIRST_HELLOS: Final = 4  # To a host of which only another host has told.

log = Logger("node")

SendMessage = Callable[[str, Message], None]


class HostAnnouncer:
    """Exchanges `hello` and `welcome` with the other hosts."""

    def __init__(
        self,
        hosts: LiveHosts,
        send: SendMessage,
        is_ready: Callable[[], bool],
    ) -> None:
        """Create an announcer for the host `hosts.own`."""
        self._hosts = hosts
        self._send = send
        self._is_ready = is_ready
        self._ready_hellos: dict[str, int] = {}
        self._confirmed: set[str] = set()
        self._first_hellos: dict[str, int] = {}
        self._questions: dict[str, int] = {}  # By host that hasn't named the others yet.

    def ask_for_hosts(self, ip: str) -> None:
        """Ask a host for the other hosts; `repeat` does so again until it answers."""
        self._questions[ip] = self._questions.get(ip, 0) + 1
        self._send(ip, ["who"])

    def greet_first(self, ip: str) -> None:
        """Greet a host that only others know; `repeat` does so again until it answers."""
        is_known = ip == self._hosts.own.ip or ip in self._hosts.peers
        if not is_known and ip not in self._first_hellos:
            self._greet_first(ip)

    def greet(self, ip: str) -> None:
        """Send `hello` to a host."""
        is_ready = self._is_ready()
        if is_ready:
            self._ready_hellos[ip] = self._ready_hellos.get(ip, 0) + 1
        self._send(ip, self._message("hello", is_ready))

    def greet_all(self) -> None:
        """Send `hello` to all known hosts, when this host has become ready or was cut off."""
        for ip in list(self._hosts.peers):
            self.greet(ip)

    def repeat(self) -> None:
        """Send `hello` again to hosts that haven't answered or confirmed that this one is ready."""
        for ip, count in list(self._questions.items()):
            if count < MAX_QUESTIONS:
                self.ask_for_hosts(ip)
            else:
                del self._questions[ip]
        for ip, count in list(self._first_hellos.items()):
            if count < MAX_FIRST_HELLOS:
                self._greet_first(ip)
            else:
                del self._first_hellos[ip]
        if not self._is_ready():
            return
        for ip, peer in list(self._hosts.peers.items()):
            is_told_often = self._ready_hellos.get(ip, 0) >= MAX_READY_HELLOS
            if peer.is_alive and ip not in self._confirmed and not is_told_often:
                self.greet(ip)

    def handle_hello(self, ip: str, message: Message, now: float) -> bool:
        """Record the incarnation and readiness of the sender; return whether it is a new one.

        Raises ValueError for a malformed message.
        """
        kind, name, domain, incarnation, capacity = message
        self._first_hellos.pop(ip, None)
        is_new = self._hosts.add_host(HostEntry(name, ip, domain, incarnation), now)
        if is_new:
            log.info("event=host_joined host={} name={} incarnation={}", ip, name, incarnation)
            self._confirmed.discard(ip)
            self._ready_hellos.pop(ip, None)
        self._hosts.set_capacity(ip, float(capacity))
        if kind == "welcome":
            self._hosts.record_probe_answer(ip, now)  # It answers the `hello` of this host.
        if kind == "hello":
            self._send(ip, self._message("welcome", self._is_ready()))
            if self._is_ready():
                self._confirmed.add(ip)
        elif self._is_ready():
            if self._ready_hellos.get(ip):
                self._confirmed.add(ip)
            else:
                self.greet(ip)
        return is_new

    def handle_message(self, ip: str, message: Message) -> bool:
        """Handle a message that names hosts or asks for them; return False for any other.

        Raises ValueError for a malformed one.
        """
        if message[0] == "who":
            self._send_peers(ip)
        elif message[0] == "peers":
            self._questions.pop(ip, None)
            for _, other, _, _ in message[1]:
                self.greet_first(other)
        else:
            return False
        return True

    def _greet_first(self, ip: str) -> None:
        """Send `hello` to a host that hasn't answered yet."""
        self._first_hellos[ip] = self._first_hellos.get(ip, 0) + 1
        self.greet(ip)

    def _message(self, kind: str, is_ready: bool) -> Message:
        own = self._hosts.own
        capacity = self._hosts.own_capacity if is_ready else 0
        return [kind, own.name, own.failure_domain, own.incarnation, capacity]

    def _send_peers(self, ip: str) -> None:
        """Send the other live hosts to a host that has just started."""
        others = [other for other in self._hosts.alive_ips() if other != ip]
        for first in range(0, max(1, len(others)), MAX_PEERS_NAMED):
            named = others[first : first + MAX_PEERS_NAMED]
            # Hosts of earlier versions expect four fields and use this one.
            self._send(ip, ["peers", [["", other, "", ""] for other in named]])
