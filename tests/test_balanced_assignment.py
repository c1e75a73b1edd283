"""Tests of the assignment of nodes to all services together, with bounded load."""

import random
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from toucanspindle_core.assignment import assign
from toucanspindle_core.balancedassignment import (
    BalancedAssignment,
    ServiceDemand,
    load_bound,
    scaled_fan_in,
)

from tests.test_assignment import DOMAINS, Node, make_nodes, node_lists

LARGE_FLEET_NODES = 690
SEED = 7

demands_strategy = st.lists(
    st.builds(
        ServiceDemand,
        st.from_regex(r"[a-z]{1,8}", fullmatch=True),
        st.integers(1, 400),
        st.integers(2, 12),
    ),
    max_size=20,
    unique_by=lambda demand: demand.service,
)


def make_demands() -> list[ServiceDemand]:
    """Return 200 services of different sizes, with about 7,400 targets of 4 slots in total."""
    generator = random.Random(SEED)
    sizes = [generator.lognormvariate(0, 0.8) for _ in range(200)]
    slots = [max(16, round(size / sum(sizes) * 7400) * 4) for size in sizes]
    return [ServiceDemand(f"service-{i}", n, scaled_fan_in(n, 4, 22)) for i, n in enumerate(slots)]


def assigned_pairs(assigned: dict[str, list[Node]]) -> set[tuple[str, Node]]:
    return {(service, node) for service, nodes in assigned.items() for node in nodes}


def load_by_node(demands: list[ServiceDemand], assigned: dict[str, list[Node]]) -> Counter[Node]:
    load: Counter[Node] = Counter()
    for demand in demands:
        for node in assigned[demand.service]:
            load[node] += demand.load_per_node  # type: ignore[assignment]
    return load


class BalancedAssignmentTests(TestCase):
    """Properties of the assignment of all services together."""

    @given(demands_strategy, node_lists)
    def test_each_service_has_its_nodes_in_two_domains(
        self, demands: list[ServiceDemand], nodes: list[Node]
    ) -> None:
        assigned = BalancedAssignment[Node]().assign(demands, nodes)
        available = {node.failure_domain for node in nodes}
        self.assertEqual({demand.service for demand in demands}, set(assigned))
        for demand in demands:
            chosen = assigned[demand.service]
            self.assertEqual(min(demand.nodes, len(nodes)), len(set(chosen)))
            self.assertEqual(len(chosen), len(set(chosen)))
            domains = {node.failure_domain for node in chosen}
            self.assertGreaterEqual(len(domains), min(2, len(available)))

    @given(demands_strategy, node_lists)
    def test_order_of_arguments_does_not_matter(
        self, demands: list[ServiceDemand], nodes: list[Node]
    ) -> None:
        assigned = BalancedAssignment[Node]().assign(demands, nodes)
        other = BalancedAssignment[Node]().assign(demands[::-1], nodes[::-1])
        self.assertEqual(assigned, other)

    @given(demands_strategy, st.lists(node_lists, min_size=2, max_size=4))
    def test_earlier_calls_do_not_change_the_result(
        self, demands: list[ServiceDemand], fleets: list[list[Node]]
    ) -> None:
        cached = BalancedAssignment[Node]()
        for nodes in fleets:
            fresh = BalancedAssignment[Node]().assign(demands, nodes)
            self.assertEqual(fresh, cached.assign(demands, nodes))
        fewer = demands[::2]
        fresh = BalancedAssignment[Node]().assign(fewer, fleets[-1])
        self.assertEqual(fresh, cached.assign(fewer, fleets[-1]))

    @given(demands_strategy, st.integers(36, 80))
    def test_no_node_exceeds_the_bound_by_more_than_one_service(
        self, demands: list[ServiceDemand], count: int
    ) -> None:
        # At least a third of the nodes is always below the bound, so 12 such nodes can be found.
        nodes = make_nodes(count)
        assigned = BalancedAssignment[Node]().assign(demands, nodes)
        load = load_by_node(demands, assigned)
        largest = max((demand.load_per_node for demand in demands), default=0)
        limit = load_bound(demands, count) + largest
        self.assertLessEqual(max(load.values(), default=0), limit + 1e-6)

    @given(node_lists, st.integers(2, 12))
    def test_one_service_gets_its_preferred_nodes(self, nodes: list[Node], fan_in: int) -> None:
        demand = ServiceDemand("lotbook", 32, fan_in)
        assigned = BalancedAssignment[Node]().assign([demand], nodes)["lotbook"]
        self.assertEqual(assign("lotbook", nodes, fan_in), assigned)


class LargeFleetTests(TestCase):
    """The assignment for a fleet of the size expected in two years."""

    def setUp(self) -> None:
        super().setUp()
        self.nodes = make_nodes(LARGE_FLEET_NODES)
        self.demands = make_demands()
        self.assignment = BalancedAssignment[Node]()
        self.assigned = self.assignment.assign(self.demands, self.nodes)

    def test_no_node_with_several_services_is_above_the_bound(self) -> None:
        load = load_by_node(self.demands, self.assigned)
        services = Counter(node for nodes in self.assigned.values() for node in nodes)
        bound = load_bound(self.demands, LARGE_FLEET_NODES)
        overloaded = [n for n in load if services[n] > 1 and load[n] > bound + 1e-6]
        self.assertEqual([], overloaded)

    def test_few_nodes_are_idle(self) -> None:
        used = {node for nodes in self.assigned.values() for node in nodes}
        self.assertGreater(len(used), 0.9 * LARGE_FLEET_NODES)

    def test_a_leaving_node_causes_few_moves(self) -> None:
        before = assigned_pairs(self.assigned)
        moved = lost = 0
        for leaving in self.nodes[::23]:
            remaining = [node for node in self.nodes if node != leaving]
            after = assigned_pairs(self.assignment.assign(self.demands, remaining))
            moved += len(after - before)
            lost += sum(1 for _, node in before if node == leaving)
        self.assertLess(moved, 3 * lost)

    def test_the_load_is_balanced_over_the_domains(self) -> None:
        load = load_by_node(self.demands, self.assigned)
        by_domain = Counter[str]()
        for node, slots in load.items():
            by_domain[node.failure_domain] += slots
        mean = sum(by_domain.values()) / len(DOMAINS)
        self.assertLess(max(by_domain.values()), 1.1 * mean)


class ScaledFanInTests(TestCase):
    """Number of nodes of a service."""

    def test_grows_with_the_slots_within_the_limits(self) -> None:
        cases = ((32, 4), (64, 4), (65, 5), (148, 10), (352, 22), (1000, 22))
        for slots, expected in cases:
            self.assertEqual(expected, scaled_fan_in(slots, 4, 22))

    def test_configured_minimum_takes_precedence_over_connection_limit(self) -> None:
        self.assertEqual(30, scaled_fan_in(1000, 30, 22))
