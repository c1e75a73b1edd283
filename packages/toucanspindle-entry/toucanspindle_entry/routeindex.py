"""Finds the route of a request by host name and longest path prefix, and the part that serves it.

Parts of a route get their weights by smooth weighted round robin from a random start, so that a
host's share is even over a few requests and hosts don't move in step.
"""

import random

from toucanspindle_entry.model import FleetPlan, Route


class RouteIndex:
    """An immutable index of a plan's routes, with the round-robin state of their parts."""

    def __init__(self, plan: FleetPlan, rng: random.Random) -> None:
        """Build the index."""
        self.plan = plan
        self._rng = rng
        self._by_host: dict[str, dict[str, Route]] = {}
        self._credit: dict[str, list[float]] = {}
        for route in plan.routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route whose prefix begins the path at the greatest length, or None."""
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def pick_service(self, route: Route) -> str:
        """Return the service of the route's next request."""
        parts = route.parts
        if len(parts) == 1:
            return parts[0].service
        total = sum(part.weight for part in parts)
        credit = self._credit.get(route.name)
        if credit is None:
            credit = [self._rng.uniform(0, total) for _ in parts]
            self._credit[route.name] = credit
        for index, part in enumerate(parts):
            credit[index] += part.weight
        best = max(range(len(parts)), key=credit.__getitem__)
        credit[best] -= total
        return parts[best].service
