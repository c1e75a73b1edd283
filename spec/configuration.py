"""Specification: acceptance and distribution of configuration.

Two operators each make one change.  The configuration is the sequence of accepted changes, and its
length is the generation.  Three nodes watch the head in the store or pull from each other; at most
one node restarts at a time.  An outage or a network partition is a period in which the affected
steps aren't taken.

Steps of an operator:
    ReadHead         reads the head, and the highest generation that a node has applied
    StoreParts       stores the parts of the new generation
    SendReplace      sends the conditional replace of the head
    ReceiveReply     receives the reply: accepted, or a conflict with another change
    StopWaiting      gives up waiting, since the reply may be lost
    FindChange       looks for the change's own id before any new attempt
Steps of the platform:
    TakeEffect, RefuseReplace, LoseReplace, LoseReply
    ReturnOlderHead  the store returns to the previous head (once, if every node has the newest)
Steps of a node:
    WatchHead        reads the head; the store may return an earlier one
    PullFromPeer     applies a higher generation of another node
    Crash, Join      loses all state; reads the other nodes' generations before it serves
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
    " the store returns to an older head once"
)
OMITTED: Final = (
    "content of the changes, missing or damaged parts, versions that the store reuses, an accepted"
    " head lost before every node had it, restarts of all nodes at once, time"
)


class Guard(Enum):
    """A condition of the protocol; without it, the checker must find a violation."""

    CONDITIONAL_REPLACE = "the head is replaced only if it hasn't changed since it was read"
    FIND_CHANGE_FIRST = (
        "after a lost reply the operator looks for the change's id before a new attempt"
    )
    ACCEPTED_BY_EFFECT = "a change is accepted only when its replace has taken effect"
    PARTS_FIRST = "the parts are stored before the head that names them"
    NEW_GENERATION = "every change creates a higher generation, even a change that reverts another"
    REBASE_ON_FLEET = "the base of a change is the highest generation that the store or a node has"
    APPLY_HIGHER_ONLY = "a node applies higher generations only"
    APPLY_WHOLE = "a node applies a generation completely or not at all"
    ASK_SEVERAL_PEERS = "a restarted node asks several peers and applies the highest generation"


class Stage(IntEnum):
    """Stage of an operator's change."""

    IDLE = 0
    READ = 1
    PREPARED = 2
    WAITING = 3
    FINDING_CHANGE = 4
    ACCEPTED = 5


class Reply(IntEnum):
    """Reply in transit from the platform to an operator."""

    NONE = 0
    REPLACED = 1
    CONFLICT = 2


class Operator(NamedTuple):
    """State of one operator.

    `base`: the sequence of changes that the operator read; `is_head_unchanged`: the store's head
    hasn't changed since then.
    """

    stage: Stage = Stage.IDLE
    base: str = ""
    is_head_unchanged: bool = False
    parts_stored: bool = False
    replace_sent: bool = False
    reply: Reply = Reply.NONE


class Node(NamedTuple):
    """State of one node.

    `applied`: the sequence of changes that the node applied, None while the node is down.
    `min_generation`: the generation below which the node must not go.
    `is_partial`: the node applied only part of its generation.
    """

    applied: str | None = ""
    min_generation: int = 0
    is_partial: bool = False


class State(NamedTuple):
    """One state of the protocol.

    `head`: the sequence of changes that the store's head names; `has_head_parts`: the store has
    all parts of the head; `returned_older`: the store has returned to an older head once.
    """

    head: str = ""
    has_head_parts: bool = True
    operators: tuple[Operator, ...] = (Operator(),) * len(CHANGES)
    nodes: tuple[Node, ...] = (Node(),) * NODES
    returned_older: bool = False


Step = tuple[str, State]


class ConfigurationSpec:
    """The configuration protocol, optionally with some guards removed."""

    def __init__(self, *removed: Guard) -> None:
        """Build the specification without the guards `removed`."""
        self._removed = frozenset(removed)

    def specification(self) -> Specification:
        """Return the state machine and its properties for `spec.checking.check`."""
        suffix = "".join(f" without {guard.name}" for guard in self._removed)
        return Specification(
            f"configuration{suffix}",
            State(),
            self.successors,
            {
                "one history": _is_single_history,
                "each change takes effect once": _no_change_applied_twice,
                "an accepted change stays": _accepted_changes_remain,
                "the head's parts are stored": lambda state: state.has_head_parts,
                "a node's generation never decreases": _no_generation_decreases,
                "a node's configuration is whole": lambda state: not any(
                    node.is_partial for node in state.nodes
                ),
            },
            BOUNDS,
            OMITTED,
        )

    def successors(self, state: State) -> Iterable[Step]:
        """Yield the name and the resulting state of each step enabled in `state`."""
        for index, operator in enumerate(state.operators):
            for name, changed_operator in self._operator_steps(state, operator, CHANGES[index]):
                yield name, _with_operator(state, index, changed_operator)
            yield from self._platform_steps(state, index, operator)
        for index, node in enumerate(state.nodes):
            for name, changed_node in self._node_steps(state, index, node):
                yield name, _with_node(state, index, changed_node)
        yield from _older_head_steps(state)

    def _has_guard(self, guard: Guard) -> bool:
        return guard not in self._removed

    def _operator_steps(
        self, state: State, operator: Operator, change: str
    ) -> Iterator[tuple[str, Operator]]:
        if operator.stage is Stage.IDLE:
            yield "ReadHead", self._with_head_read(state, change)
        if operator.stage is Stage.READ:
            yield "StoreParts", operator._replace(stage=Stage.PREPARED, parts_stored=True)
            if not self._has_guard(Guard.PARTS_FIRST):
                yield "SkipParts", operator._replace(stage=Stage.PREPARED)
        if operator.stage is Stage.PREPARED:
            yield "SendReplace", operator._replace(stage=Stage.WAITING, replace_sent=True)
        if operator.stage is Stage.WAITING:
            yield from self._waiting_steps(operator)
        if operator.stage is Stage.FINDING_CHANGE:
            yield "FindChange", _after_find_change(state, operator, change)

    def _with_head_read(self, state: State, change: str) -> Operator:
        base = state.head
        if self._has_guard(Guard.REBASE_ON_FLEET):
            base = max(base, *(node.applied or "" for node in state.nodes), key=len)
        if change in base and self._has_guard(Guard.FIND_CHANGE_FIRST):
            return Operator(Stage.ACCEPTED)
        return Operator(Stage.READ, base, is_head_unchanged=True)

    def _waiting_steps(self, operator: Operator) -> Iterator[tuple[str, Operator]]:
        if operator.reply is Reply.REPLACED:
            yield "ReceiveReply", Operator(Stage.ACCEPTED)
        if operator.reply is Reply.CONFLICT:
            yield "ReceiveReply", operator._replace(stage=Stage.FINDING_CHANGE, reply=Reply.NONE)
        if not self._has_guard(Guard.ACCEPTED_BY_EFFECT):
            yield "AssumeAccepted", Operator(Stage.ACCEPTED)
        if self._has_guard(Guard.FIND_CHANGE_FIRST):
            yield "StopWaiting", operator._replace(stage=Stage.FINDING_CHANGE, reply=Reply.NONE)
        else:
            yield "RestartChange", Operator()

    def _platform_steps(self, state: State, index: int, operator: Operator) -> Iterator[Step]:
        if operator.replace_sent:
            without_replace = operator._replace(replace_sent=False)
            yield "LoseReplace", _with_operator(state, index, without_replace)
            if operator.is_head_unchanged or not self._has_guard(Guard.CONDITIONAL_REPLACE):
                yield "TakeEffect", self._with_head_replaced(state, index, without_replace)
            else:
                with_conflict = without_replace._replace(reply=Reply.CONFLICT)
                yield "RefuseReplace", _with_operator(state, index, with_conflict)
        if operator.reply is not Reply.NONE:
            yield "LoseReply", _with_operator(state, index, operator._replace(reply=Reply.NONE))

    def _with_head_replaced(self, state: State, index: int, operator: Operator) -> State:
        head = operator.base + CHANGES[index]
        if operator.base and not self._has_guard(Guard.NEW_GENERATION):
            head = operator.base[:-1]
        with_reply = _with_operator(state, index, operator._replace(reply=Reply.REPLACED))
        outdated_operators = tuple(
            other._replace(is_head_unchanged=False) for other in with_reply.operators
        )
        return with_reply._replace(
            head=head, has_head_parts=operator.parts_stored, operators=outdated_operators
        )

    def _node_steps(self, state: State, index: int, node: Node) -> Iterator[tuple[str, Node]]:
        others = [other for other_index, other in enumerate(state.nodes) if other_index != index]
        if node.applied is None:
            yield from self._join_steps(node, others)
            return
        for generation in range(len(state.head) + 1):
            yield from self._apply_steps("WatchHead", node, state.head[:generation])
        for other in others:
            if other.applied is not None:
                yield from self._apply_steps("PullFromPeer", node, other.applied)
        if all(other.applied is not None for other in others):
            highest_other = max(len(other.applied or "") for other in others)
            yield "Crash", Node(None, min_generation=min(node.min_generation, highest_other))

    def _join_steps(self, node: Node, others: list[Node]) -> Iterator[tuple[str, Node]]:
        peer_histories = [other.applied for other in others if other.applied is not None]
        if self._has_guard(Guard.ASK_SEVERAL_PEERS):
            peer_histories = [max(peer_histories, key=len)]
        for applied in peer_histories:
            yield "Join", Node(applied, min_generation=node.min_generation)

    def _apply_steps(self, name: str, node: Node, offered: str) -> Iterator[tuple[str, Node]]:
        applied = node.applied or ""
        if len(offered) > len(applied):
            yield name, Node(offered, len(offered))
            if not self._has_guard(Guard.APPLY_WHOLE):
                yield name, Node(offered, len(offered), is_partial=True)
        elif offered != applied and not self._has_guard(Guard.APPLY_HIGHER_ONLY):
            yield name, Node(offered, node.min_generation)


def _after_find_change(state: State, operator: Operator, change: str) -> Operator:
    if change in state.head:
        return Operator(Stage.ACCEPTED)
    if operator.is_head_unchanged:
        return operator._replace(stage=Stage.WAITING, replace_sent=True)
    return Operator()


def _older_head_steps(state: State) -> Iterator[Step]:
    is_head_on_all_nodes = all((node.applied or "").startswith(state.head) for node in state.nodes)
    if state.head and is_head_on_all_nodes and not state.returned_older:
        outdated_operators = tuple(
            operator._replace(is_head_unchanged=False) for operator in state.operators
        )
        yield "ReturnOlderHead", state._replace(
            head=state.head[:-1], operators=outdated_operators, returned_older=True
        )


def _with_operator(state: State, index: int, operator: Operator) -> State:
    operators = list(state.operators)
    operators[index] = operator
    return state._replace(operators=tuple(operators))


def _with_node(state: State, index: int, node: Node) -> State:
    nodes = list(state.nodes)
    nodes[index] = node
    # Nodes are interchangeable.  Sorting them merges symmetric states.
    nodes.sort(key=lambda n: (n.applied is None, n.applied or "", n.min_generation, n.is_partial))
    return state._replace(nodes=tuple(nodes))


def _histories(state: State) -> list[str]:
    applied = [node.applied for node in state.nodes if node.applied is not None]
    return sorted([state.head, *applied], key=len)


def _is_single_history(state: State) -> bool:
    histories = _histories(state)
    return all(longer.startswith(shorter) for shorter, longer in pairwise(histories))


def _no_change_applied_twice(state: State) -> bool:
    return all(len(set(history)) == len(history) for history in _histories(state))


def _accepted_changes_remain(state: State) -> bool:
    longest = _histories(state)[-1]
    return all(
        change in longest
        for change, operator in zip(CHANGES, state.operators, strict=True)
        if operator.stage is Stage.ACCEPTED
    )


def _no_generation_decreases(state: State) -> bool:
    return all(
        len(node.applied) >= node.min_generation for node in state.nodes if node.applied is not None
    )
