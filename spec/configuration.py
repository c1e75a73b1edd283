"""Specification: acceptance and spread of configuration.

Two operators each make one change.  The configuration is the sequence of accepted changes; its
length is the generation.  Three nodes watch the head or pull from each other; at most one
restarts at a time.  An outage or a cut is a stretch in which the steps across it aren't taken.

Steps of an operator:
    ReadHead         read the head, and the highest generation that the fleet holds
    StoreParts       store the parts of the new generation
    SendReplace      send the conditional replace of the head
    ReceiveReply     its answer: accepted, or another change came first
    StopWaiting      the answer may be lost
    FindChange       look for the change's own id before anything else
Steps of the platform:
    TakeEffect, RefuseReplace, LoseReplace, LoseReply
    ReturnOlderHead  the store comes back without its newest head (once, if every node has it)
Steps of a node:
    WatchHead        read the head; the store may answer with an earlier one
    PullFromPeer     take a higher generation from another node
    Crash, Join      lose everything; ask the other nodes before serving
"""

from collections.abc import Iterable, Iterator
from enum import Enum, IntEnum
from itertools import pairwise
from typing import Final, NamedTuple

from spec.checking import Specification

CHANGES: Final = ("a", "b")
NODES: Final = 3


BOUNDS: Final = (
    f"{len(CHANGES)} operators with one change each, {NODES} nodes of which one restarts at a time,"
    " the store returns an older head once"
)
LEFT_OUT: Final = (
    "what the changes say, missing or damaged parts, versions that the store reuses, an accepted"
    " head lost before every node had it, restarts of all nodes at once, time"
)


class Guard(Enum):
    """A condition of the protocol; removing it must break a property."""

    CONDITIONAL_REPLACE = "the head is replaced only if it is the one that was read"
    FIND_CHANGE_FIRST = "after a lost answer the change's id is looked for before a new attempt"
    ACCEPTED_BY_EFFECT = "a change is accepted when the replace took effect, and by nothing else"
    PARTS_FIRST = "the parts are stored before the head that names them"
    NEW_GENERATION = "every change, also one that undoes another, is a higher generation"
    REBASE_ON_FLEET = "when the fleet holds a higher generation than the store, it is the base"
    APPLY_HIGHER_ONLY = "a node applies higher generations only"
    APPLY_WHOLE = "a node applies a generation whole or not at all"
    ASK_SEVERAL_PEERS = "a restarted node asks several peers and takes the highest"


class Stage(IntEnum):
    """How far an operator has come."""

    IDLE = 0
    READ = 1
    PREPARED = 2
    WAITING = 3
    LOOKING = 4
    ACCEPTED = 5


class Reply(IntEnum):
    """What is on its way from the platform to an operator."""

    NONE = 0
    REPLACED = 1
    CONFLICT = 2


class Operator(NamedTuple):
    """One operator: `current` says that the head is still the one that was read."""

    stage: Stage = Stage.IDLE
    base: str = ""
    current: bool = False
    parts_stored: bool = False
    replace_sent: bool = False
    reply: Reply = Reply.NONE


class Node(NamedTuple):
    """One node: `held` is the generation that it must not go below; `applied` is None if down."""

    applied: str | None = ""
    held: int = 0
    torn: bool = False


class State(NamedTuple):
    """One state; `head` is the sequence of changes that the store's head stands for."""

    head: str = ""
    head_whole: bool = True
    operators: tuple[Operator, ...] = (Operator(),) * len(CHANGES)
    nodes: tuple[Node, ...] = (Node(),) * NODES
    returned_older: bool = False


Step = tuple[str, State]


class ConfigurationSpec:
    """The protocol with some guards removed."""

    def __init__(self, *removed: Guard) -> None:
        """Build the specification without the guards `removed`."""
        self._removed = frozenset(removed)

    def specification(self) -> Specification:
        """Return it in the checker's terms."""
        suffix = "".join(f" without {guard.name}" for guard in self._removed)
        return Specification(
            f"configuration{suffix}",
            State(),
            self.successors,
            {
                "one history": _one_history,
                "each change takes effect once": _no_change_twice,
                "an accepted change stays": _accepted_stays,
                "the head's parts are stored": lambda state: state.head_whole,
                "a node's generation never decreases": _no_node_goes_back,
                "a node's configuration is whole": lambda state: not any(
                    node.torn for node in state.nodes
                ),
            },
            BOUNDS,
            LEFT_OUT,
        )

    def successors(self, state: State) -> Iterable[Step]:
        """Yield each step that may follow."""
        for index, operator in enumerate(state.operators):
            for name, changed in self._operator_steps(state, operator, CHANGES[index]):
                yield name, _with_operator(state, index, changed)
            yield from self._platform_steps(state, index, operator)
        for index, node in enumerate(state.nodes):
            for name, moved in self._node_steps(state, index, node):
                yield name, _with_node(state, index, moved)
        yield from _return_older_head(state)

    def _has(self, guard: Guard) -> bool:
        return guard not in self._removed

    def _operator_steps(
        self, state: State, operator: Operator, change: str
    ) -> Iterator[tuple[str, Operator]]:
        if operator.stage is Stage.IDLE:
            yield "ReadHead", self._read_head(state, change)
        if operator.stage is Stage.READ:
            yield "StoreParts", operator._replace(stage=Stage.PREPARED, parts_stored=True)
            if not self._has(Guard.PARTS_FIRST):
                yield "SkipParts", operator._replace(stage=Stage.PREPARED)
        if operator.stage is Stage.PREPARED:
            yield "SendReplace", operator._replace(stage=Stage.WAITING, replace_sent=True)
        if operator.stage is Stage.WAITING:
            yield from self._waiting_steps(operator)
        if operator.stage is Stage.LOOKING:
            yield "FindChange", _found(state, operator, change)

    def _read_head(self, state: State, change: str) -> Operator:
        base = state.head
        if self._has(Guard.REBASE_ON_FLEET):
            base = max(base, *(node.applied or "" for node in state.nodes), key=len)
        if change in base and self._has(Guard.FIND_CHANGE_FIRST):
            return Operator(Stage.ACCEPTED)
        return Operator(Stage.READ, base, current=True)

    def _waiting_steps(self, operator: Operator) -> Iterator[tuple[str, Operator]]:
        if operator.reply is Reply.REPLACED:
            yield "ReceiveReply", Operator(Stage.ACCEPTED)
        if operator.reply is Reply.CONFLICT:
            yield "ReceiveReply", operator._replace(stage=Stage.LOOKING, reply=Reply.NONE)
        if not self._has(Guard.ACCEPTED_BY_EFFECT):
            yield "AssumeAccepted", Operator(Stage.ACCEPTED)
        if self._has(Guard.FIND_CHANGE_FIRST):
            yield "StopWaiting", operator._replace(stage=Stage.LOOKING, reply=Reply.NONE)
        else:
            yield "StartAnew", Operator()

    def _platform_steps(self, state: State, index: int, operator: Operator) -> Iterator[Step]:
        if operator.replace_sent:
            idle = operator._replace(replace_sent=False)
            yield "LoseReplace", _with_operator(state, index, idle)
            if operator.current or not self._has(Guard.CONDITIONAL_REPLACE):
                yield "TakeEffect", self._replaced(state, index, idle)
            else:
                refused = idle._replace(reply=Reply.CONFLICT)
                yield "RefuseReplace", _with_operator(state, index, refused)
        if operator.reply is not Reply.NONE:
            yield "LoseReply", _with_operator(state, index, operator._replace(reply=Reply.NONE))

    def _replaced(self, state: State, index: int, operator: Operator) -> State:
        head = operator.base + CHANGES[index]
        if operator.base and not self._has(Guard.NEW_GENERATION):
            head = operator.base[:-1]
        done = _with_operator(state, index, operator._replace(reply=Reply.REPLACED))
        outdated = tuple(other._replace(current=False) for other in done.operators)
        return done._replace(head=head, head_whole=operator.parts_stored, operators=outdated)

    def _node_steps(self, state: State, index: int, node: Node) -> Iterator[tuple[str, Node]]:
        others = [other for place, other in enumerate(state.nodes) if place != index]
        if node.applied is None:
            yield from self._join_steps(node, others)
            return
        for generation in range(len(state.head) + 1):
            yield from self._offer("WatchHead", node, state.head[:generation])
        for other in others:
            if other.applied is not None:
                yield from self._offer("PullFromPeer", node, other.applied)
        if all(other.applied is not None for other in others):
            known = max(len(other.applied or "") for other in others)
            yield "Crash", Node(None, held=min(node.held, known))

    def _join_steps(self, node: Node, others: list[Node]) -> Iterator[tuple[str, Node]]:
        heard = [other.applied for other in others if other.applied is not None]
        if self._has(Guard.ASK_SEVERAL_PEERS):
            heard = [max(heard, key=len)]
        for applied in heard:
            yield "Join", Node(applied, held=node.held)

    def _offer(self, name: str, node: Node, offered: str) -> Iterator[tuple[str, Node]]:
        applied = node.applied or ""
        if len(offered) > len(applied):
            yield name, Node(offered, len(offered))
            if not self._has(Guard.APPLY_WHOLE):
                yield name, Node(offered, len(offered), torn=True)
        elif offered != applied and not self._has(Guard.APPLY_HIGHER_ONLY):
            yield name, Node(offered, node.held)


def _found(state: State, operator: Operator, change: str) -> Operator:
    if change in state.head:
        return Operator(Stage.ACCEPTED)
    if operator.current:
        return operator._replace(stage=Stage.WAITING, replace_sent=True)
    return Operator()


def _return_older_head(state: State) -> Iterator[Step]:
    everywhere = all((node.applied or "").startswith(state.head) for node in state.nodes)
    if state.head and everywhere and not state.returned_older:
        outdated = tuple(operator._replace(current=False) for operator in state.operators)
        yield "ReturnOlderHead", state._replace(
            head=state.head[:-1], operators=outdated, returned_older=True
        )


def _with_operator(state: State, index: int, operator: Operator) -> State:
    operators = list(state.operators)
    operators[index] = operator
    return state._replace(operators=tuple(operators))


def _with_node(state: State, index: int, node: Node) -> State:
    nodes = list(state.nodes)
    nodes[index] = node
    # Nodes are interchangeable: one order stands for all.
    nodes.sort(key=lambda n: (n.applied is None, n.applied or "", n.held, n.torn))
    return state._replace(nodes=tuple(nodes))


def _histories(state: State) -> list[str]:
    applied = [node.applied for node in state.nodes if node.applied is not None]
    return sorted([state.head, *applied], key=len)


def _one_history(state: State) -> bool:
    histories = _histories(state)
    return all(longer.startswith(shorter) for shorter, longer in pairwise(histories))


def _no_change_twice(state: State) -> bool:
    return all(len(set(history)) == len(history) for history in _histories(state))


def _accepted_stays(state: State) -> bool:
    longest = _histories(state)[-1]
    return all(
        change in longest
        for change, operator in zip(CHANGES, state.operators, strict=True)
        if operator.stage is Stage.ACCEPTED
    )


def _no_node_goes_back(state: State) -> bool:
    return all(len(node.applied) >= node.held for node in state.nodes if node.applied is not None)
