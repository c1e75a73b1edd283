"""Selects the route of a request and one of the services of that route, and knows the accounts.

A route matches by host name and longest path prefix.  Its services are selected by smooth weighted
round robin, which follows the weights even over a few requests.  The initial state is random so
that hosts don't all select the same service at the same time.
"""

import random

from toucanspindle_entry.accounts.accountindex import AccountIndex
from toucanspindle_entry.model import FleetPlan, Route


class RouteIndex:
    """The routes of one plan, with the round-robin state of each route.

    `accounts` is None if the plan has no client accounts.
    """

    def __init__(self, plan: FleetPlan, rng: random.Random) -> None:
        """Index the routes and accounts of a plan; `rng` sets the initial round-robin state."""
        self.plan = plan
        self.accounts = AccountIndex(plan.accounts) if plan.accounts is not None else None
        self._rng = rng
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        self._current_weights: dict[str, list[float]] = {}
        for route in plan.routes:
            self._routes_by_host.setdefault(route.host, {})[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching prefix, or None; prefixes end in /."""
        prefixes = self._routes_by_host.get(host)
        if prefixes is None:
            return None
        prefix_end = path.rfind("/")
        while prefix_end >= 0:
            route = prefixes.get(path[: prefix_end + 1])
            if route is not None:
                return route
            prefix_end = path.rfind("/", 0, prefix_end)
        return None

    def pick_service(self, route: Route) -> str:
        """Return the service for the next request of a route, and advance its round robin."""
        services = route.weighted_services
        if len(services) == 1:
            return services[0].service
        total_weight = sum(service.weight for service in services)
        current_weights = self._current_weights.get(route.name)
        if current_weights is None:
            current_weights = [self._rng.uniform(0, total_weight) for _ in services]
            self._current_weights[route.name] = current_weights
        for index, service in enumerate(services):
            current_weights[index] += service.weight
        chosen = max(range(len(services)), key=current_weights.__getitem__)
        current_weights[chosen] -= total_weight
        return services[chosen].service
