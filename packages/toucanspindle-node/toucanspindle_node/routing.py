"""Second filter: finds the service, the operation and the settings of a request."""

from typing import Final

from toucanspindle_core import errorcodes
from toucanspindle_core.errors import RequestError
from toucanspindle_core.fingerprint import request_fingerprint
from toucanspindle_core.outcome import Outcome

from toucanspindle_node import messages
from toucanspindle_node.exchange import Exchange, Handler

DEFAULT_DEADLINE_MS: Final = 2000  # For the record lookup of a request that has no route.


class RouteFilter:
    """Sets the route, the service's merged settings, the fingerprint and the deadline."""

    def handle(self, exchange: Exchange, forward: Handler) -> Outcome:
        """Route the request; refuse it when no route matches or its body is too large."""
        request = exchange.request
        exchange.fingerprint = request_fingerprint(
            request.method, request.path_and_query, request.body
        )
        deadline_ms = exchange.requested_deadline_ms or DEFAULT_DEADLINE_MS
        exchange.deadline = exchange.received_at + deadline_ms / 1000
        try:
            _route(exchange)
        except RequestError as error:
            exchange.refuse_or_defer(error)
        return forward(exchange)


def _route(exchange: Exchange) -> None:
    request = exchange.request
    policy = exchange.fleet_state.policy
    if policy is None:
        raise RequestError(
            errorcodes.CONFIG_ABSENT, messages.TEXT_NO_CONFIG, messages.REMEDY_CONFIG
        )
    route = exchange.fleet_state.routes.find(request.method, request.path)
    if route is None:
        text = f"No route matches {request.method} {request.path[:200]!r}."
        raise RequestError(errorcodes.NO_ROUTE, text, messages.REMEDY_ROUTE)
    service = policy.services[route.service]
    limit = service.settings.max_body_bytes
    if len(request.body) > limit:
        text = f"The body has {len(request.body)} bytes; {route.service} accepts at most {limit}."
        raise RequestError(errorcodes.BODY_TOO_LARGE, text, messages.REMEDY_SMALLER)
    deadline_ms = exchange.requested_deadline_ms or service.settings.deadline_ms
    exchange.route = route
    exchange.service_policy = service
    exchange.deadline = exchange.received_at + deadline_ms / 1000
    exchange.add_trace_step(
        f"routed to {route.service}, operation {route.operation},"
        f" generation {policy.generation}, deadline {deadline_ms} ms"
    )
