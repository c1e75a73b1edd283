"""Builders of test data for the entry process."""

import random

from toucanspindle_core.hostport import HostPort
from toucanspindle_entry.broker.slotbroker import SlotBroker
from toucanspindle_entry.broker.slottypes import Grant, SlotRequest
from toucanspindle_entry.model import FleetPlan, Route, TargetEntry, TargetState, WeightedService
from toucanspindle_entry.settings import FleetBounds

BOUNDS = FleetBounds(
    drain_s=2.0,
    shutdown_s=6.0,
    retry_ratio=0.2,
    retry_window_s=10.0,
    retry_burst=60.0,
    directory_ttl_max_s=3.0,
    floor_share=0.7,
)


def target(
    name: str,
    slots: int = 2,
    state: TargetState = TargetState.READY,
    started_ms: int = 1,
    domain: str = "beaufort",
    service: str = "orders",
) -> TargetEntry:
    """Return a registered target; all targets have the same address."""
    address = HostPort("127.0.0.1", 9000)
    return TargetEntry(name, service, address, domain, slots, state, started_ms, 0.0)


def slot_request(
    slot_request_id: str,
    host: str = "10.0.0.1",
    priority: int = 1,
    time_left_s: float = 4.0,
    goal_left_s: float = 1.5,
    is_retry: bool = False,
    excluded: tuple[str, ...] = (),
    fingerprint: str = "",
    can_retry: bool = False,
    retry_credit: float = 0.0,
) -> SlotRequest:
    """Return a slot request from the default failure domain of `target`."""
    return SlotRequest(
        slot_request_id,
        host,
        "beaufort",
        priority,
        time_left_s,
        goal_left_s,
        is_retry,
        can_retry,
        excluded,
        fingerprint,
        retry_credit,
    )


def make_broker(*targets: TargetEntry, now: float = 0.0, seed: int = 1) -> SlotBroker:
    """Return a broker of the service `orders` with registered targets."""
    slot_broker = SlotBroker("orders", BOUNDS, random.Random(seed))
    slot_broker.set_targets(targets, frozenset(), now)
    return slot_broker


def granted_target(decision: object) -> str:
    """Return the target of a grant; raise AssertionError for any other decision."""
    assert isinstance(decision, Grant), decision
    return decision.target


def route(
    name: str,
    host: str,
    prefix: str,
    *service_weights: tuple[str, float],
) -> Route:
    """Return an idempotent route over services with their weights."""
    weighted_services = tuple(
        WeightedService(service, weight) for service, weight in service_weights
    )
    return Route(name, host, prefix, True, 3.0, 1.5, 2, 1, weighted_services)


def plan(version: int, *routes: Route) -> FleetPlan:
    """Return a plan with the services of its routes."""
    services = {weighted.service for r in routes for weighted in r.weighted_services}
    return FleetPlan(version, routes, frozenset(services))
