"""Finds the route of a request: the longest path prefix that matches, per method.

Routes are indexed by method and by the first segment of their prefix, so the cost of a lookup
doesn't grow with the number of routes.  A prefix matches at segment boundaries only: the prefix
/lots matches /lots and /lots/7 but not /lotsofthings.
"""

from typing import Final

from toucanspindle_core.policy import FleetPolicy, Route

ROOT_SEGMENT: Final = ""  # the first segment of the prefix "/", which matches every path


class RouteTable:
    """An immutable index of the routes of all services."""

    def __init__(self, policy: FleetPolicy) -> None:
        """Build the index of all routes of a policy, the longest prefix first."""
        self._routes_by_key: dict[tuple[str, str], list[Route]] = {}
        for service in policy.services.values():
            for route in service.routes:
                key = (route.method, _first_segment(route.path_prefix))
                self._routes_by_key.setdefault(key, []).append(route)
        for routes in self._routes_by_key.values():
            routes.sort(key=lambda route: -len(route.path_prefix))

    @classmethod
    def empty(cls) -> "RouteTable":
        """Return a table without routes."""
        return cls(FleetPolicy(0, "", {}, {}))

    def find(self, method: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None."""
        for segment in (_first_segment(path), ROOT_SEGMENT):
            for route in self._routes_by_key.get((method, segment), ()):
                if _prefix_matches(route.path_prefix, path):
                    return route
        return None


def _first_segment(path: str) -> str:
    return path[1:].partition("/")[0]


def _prefix_matches(prefix: str, path: str) -> bool:
    if not path.startswith(prefix):
        return False
    return len(path) == len(prefix) or prefix.endswith("/") or path[len(prefix)] == "/"
