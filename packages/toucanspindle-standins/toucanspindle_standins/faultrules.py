"""Rules of the fault proxy: which faults strike which link, and connections of which source.

A rule names links (listening addresses) and sources (processes that connect); an empty list means
all.  The first rule that matches a connection gives its faults.  A new set of rules replaces the
old one whole.
"""

import asyncio
from dataclasses import dataclass
from enum import Enum
from typing import Literal

from pydantic import Field
from toucanspindle_core.fleetconfig import Address, StrictModel


class Direction(Enum):
    """Direction in which bytes flow through a link."""

    TO_SERVER = "to-server"
    TO_CLIENT = "to-client"


class LinkFaults(StrictModel):
    """Faults of one link.

    A cut holds bytes back, as TCP does while packets are lost: the connection stays open and no
    byte passes.  New connections are accepted and hang.  Once the cut ends the bytes arrive late,
    or, with `on_heal = "reset"`, the connections that were held are reset.
    """

    delay_ms: float = Field(0, ge=0, description="Added to each chunk, in both directions.")
    cut: Literal["no", "to-server", "to-client", "both"] = "no"
    on_heal: Literal["deliver", "reset"] = "deliver"
    refuse: bool = Field(False, description="Refuse new connections.")
    reset: bool = Field(False, description="Reset open and new connections.")
    cut_answer_after_bytes: int | None = Field(
        None, ge=0, description="Close after so many bytes of an answer."
    )
    lose_answers: int = Field(0, ge=0, description="Reset the next n connections that answer.")
    hold_request_after_bytes: int | None = Field(
        None, ge=0, description="Hold the rest of a request after so many bytes."
    )

    def cuts(self, direction: Direction) -> bool:
        """Whether bytes in this direction are held."""
        return self.cut in {"both", direction.value}


class Rule(StrictModel):
    """Faults of some links and sources."""

    links: list[Address] = Field(default_factory=list)
    sources: list[str] = Field(default_factory=list)
    faults: LinkFaults

    def matches(self, link: str, source: str) -> bool:
        """Whether the rule holds for a connection."""
        return (not self.links or link in self.links) and (
            not self.sources or source in self.sources
        )


class RuleSet(StrictModel):
    """All rules, the first match first."""

    rules: list[Rule] = Field(default_factory=list)


NO_LINK_FAULTS = LinkFaults.model_validate({})


@dataclass(slots=True)
class ActiveRule:
    """A rule in force, with the count of answers that it still loses."""

    rule: Rule
    answers_to_lose: int

    def takes_answer(self) -> bool:
        """Whether the answer that begins now is to be lost; counts it."""
        if not self.answers_to_lose:
            return False
        self.answers_to_lose -= 1
        return True


NO_RULE = ActiveRule(Rule(faults=NO_LINK_FAULTS), 0)


class RuleTable:
    """The rules in force; connections wait here for a change.

    Invariant: `changed` fires once after each replacement.
    """

    def __init__(self) -> None:
        """Create a table without rules."""
        self._rules: list[ActiveRule] = []
        self._changed = asyncio.Event()

    @property
    def rules(self) -> RuleSet:
        """The rules in force."""
        return RuleSet(rules=[active.rule for active in self._rules])

    def replace(self, rules: RuleSet) -> None:
        """Put other rules in force."""
        self._rules = [ActiveRule(rule, rule.faults.lose_answers) for rule in rules.rules]
        self._changed.set()
        self._changed = asyncio.Event()

    def lookup(self, link: str, source: str) -> ActiveRule:
        """Return the rule of a connection."""
        for active in self._rules:
            if active.rule.matches(link, source):
                return active
        return NO_RULE

    async def wait_changed(self) -> None:
        """Wait for the next replacement."""
        await self._changed.wait()
