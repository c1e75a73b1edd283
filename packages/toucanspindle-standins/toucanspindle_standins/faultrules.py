"""Rules of the fault proxy, which assign faults to links and to the sources of connections.

A rule lists links (listening addresses) and sources (names of connecting processes); an empty list
matches all.  The first rule that matches a connection determines its faults.  A new set of rules
replaces all rules.
"""

import asyncio
from dataclasses import dataclass
from enum import Enum
from typing import Literal

from pydantic import Field
from toucanspindle_core.fleetconfig import Address, StrictModel


class Direction(Enum):
    """Direction of bytes through a link."""

    TO_SERVER = "to-server"
    TO_CLIENT = "to-client"


class LinkFaults(StrictModel):
    """Faults of one link.

    A cut holds bytes in its direction, as TCP does while packets are lost: the connection stays
    open and no byte passes.  New connections are accepted but aren't connected to the server.
    After the end of the cut the held bytes are delivered; with `on_heal = "reset"`, the held
    connections are reset instead.
    """

    delay_ms: float = Field(0, ge=0, description="Added to each chunk, in both directions.")
    cut: Literal["no", "to-server", "to-client", "both"] = "no"
    on_heal: Literal["deliver", "reset"] = "deliver"
    refuse: bool = Field(False, description="Refuse new connections.")
    reset: bool = Field(False, description="Reset open and new connections.")
    cut_answer_after_bytes: int | None = Field(
        None, ge=0, description="Close the connection after this many bytes of an answer."
    )
    lose_answers: int = Field(0, ge=0, description="Reset the next n connections that answer.")
    hold_request_after_bytes: int | None = Field(
        None, ge=0, description="Hold the rest of a request after this many bytes."
    )

    def cuts(self, direction: Direction) -> bool:
        """Whether the cut holds bytes in this direction."""
        return self.cut in {"both", direction.value}


class Rule(StrictModel):
    """Faults of the listed links and sources."""

    links: list[Address] = Field(default_factory=list)
    sources: list[str] = Field(default_factory=list)
    faults: LinkFaults

    def matches(self, link: str, source: str) -> bool:
        """Whether the rule applies to a connection of a source through a link."""
        return (not self.links or link in self.links) and (
            not self.sources or source in self.sources
        )


class RuleSet(StrictModel):
    """All rules in order; the first match applies."""

    rules: list[Rule] = Field(default_factory=list)


NO_LINK_FAULTS = LinkFaults.model_validate({})


@dataclass(slots=True)
class ActiveRule:
    """A rule with the number of answers that it still has to lose."""

    rule: Rule
    remaining_answer_losses: int

    def consume_answer_loss(self) -> bool:
        """Return whether the next answer is to be lost, and count it as lost if so."""
        if not self.remaining_answer_losses:
            return False
        self.remaining_answer_losses -= 1
        return True


NO_RULE = ActiveRule(Rule(faults=NO_LINK_FAULTS), 0)


class RuleTable:
    """The current rules; connections can wait for their replacement.

    Invariant: each replacement wakes all waiting connections exactly once.
    """

    def __init__(self) -> None:
        """Create a table without rules."""
        self._rules: list[ActiveRule] = []
        self._changed = asyncio.Event()

    @property
    def rules(self) -> RuleSet:
        """The current rules, without the counts of lost answers."""
        return RuleSet(rules=[active.rule for active in self._rules])

    def replace(self, rules: RuleSet) -> None:
        """Replace all rules, reset the counts of lost answers and wake waiting connections."""
        self._rules = [ActiveRule(rule, rule.faults.lose_answers) for rule in rules.rules]
        self._changed.set()
        self._changed = asyncio.Event()

    def lookup(self, link: str, source: str) -> ActiveRule:
        """Return the first rule that matches a connection, or NO_RULE."""
        for active in self._rules:
            if active.rule.matches(link, source):
                return active
        return NO_RULE

    async def wait_changed(self) -> None:
        """Wait for the next replacement of the rules."""
        await self._changed.wait()
