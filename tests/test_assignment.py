"""Tests of the assignment of nodes to services."""

from collections import Counter
from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from toucanspindle_core.assignment import assign, assign_judges

DOMAINS = ("beaufort", "laingsburg", "graaff", "deaar")


@dataclass(frozen=True)
class Node:
    node: str
    failure_domain: str


def make_nodes(count: int) -> list[Node]:
    return [Node(f"entry-{i}", DOMAINS[i % len(DOMAINS)]) for i in range(count)]


node_lists = st.lists(
    st.builds(Node, st.from_regex(r"[a-z]{1,6}", fullmatch=True), st.sampled_from(DOMAINS)),
    max_size=24,
    unique_by=lambda n: n.node,
)
services = st.from_regex(r"[a-z]{1,8}", fullmatch=True)


class AssignTests(TestCase):
    """Properties of the assignment of one service."""

    @given(services, node_lists, st.integers(2, 12))
    def test_assigns_fan_in_distinct_nodes_or_all_there_are(
        self, service: str, nodes: list[Node], fan_in: int
    ) -> None:
        chosen = assign(service, nodes, fan_in)
        self.assertEqual(min(fan_in, len(nodes)), len(chosen))
        self.assertEqual(len(chosen), len(set(chosen)))

    @given(services, node_lists, st.integers(2, 12))
    def test_spreads_over_failure_domains(
        self, service: str, nodes: list[Node], fan_in: int
    ) -> None:
        chosen = {n.failure_domain for n in assign(service, nodes, fan_in)}
        available = {n.failure_domain for n in nodes}
        self.assertEqual(min(fan_in, len(available)), len(chosen))

    @given(services, node_lists, st.integers(2, 12))
    def test_order_of_members_does_not_matter(
        self, service: str, nodes: list[Node], fan_in: int
    ) -> None:
        shuffled = sorted(nodes, key=lambda n: n.node[::-1])
        self.assertEqual(assign(service, nodes, fan_in), assign(service, shuffled, fan_in))

    @given(services, node_lists.filter(bool), st.integers(2, 12), st.data())
    def test_a_leaving_node_is_replaced_by_at_most_one_other(
        self, service: str, nodes: list[Node], fan_in: int, data: st.DataObject
    ) -> None:
        leaving = data.draw(st.sampled_from(nodes))
        before = set(assign(service, nodes, fan_in))
        after = set(assign(service, [n for n in nodes if n != leaving], fan_in))
        self.assertLessEqual(len(after - before), 1)
        self.assertLessEqual(before - after, {leaving})

    @given(services, node_lists)
    def test_judges_are_the_first_assigned(self, service: str, nodes: list[Node]) -> None:
        judges = assign_judges(service, nodes)
        self.assertEqual(judges, assign(service, nodes, 12)[: len(judges)])

    def test_load_is_spread_over_the_nodes(self) -> None:
        nodes = make_nodes(40)
        load = Counter(n for i in range(400) for n in assign(f"service-{i}", nodes, 4))
        self.assertEqual(40, len(load))
        self.assertLess(max(load.values()), 80)
