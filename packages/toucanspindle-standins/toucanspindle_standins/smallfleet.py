"""Small fleet configurations for tests: services with lookups and reservations."""

from typing import Any, Final

from toucanspindle_core.fleetconfig import FleetConfig

from toucanspindle_standins.processes import AddressPool

DOMAINS: Final = ("beaufort", "laingsburg", "graaff", "deaar")


def small_fleet(addresses: AddressPool, services: dict[str, int], **defaults: Any) -> FleetConfig:
    """Return a configuration with services of the given numbers of targets.

    Each service S has the routes GET /S (a lookup) and POST /S (a reservation, not idempotent).
    Targets are named S-1, S-2 and so on, in the failure domains in turn.
    """
    return FleetConfig.model_validate(
        {
            "fleet": "karoo",
            "failure_domains": list(DOMAINS),
            "defaults": {"fan_in": 8, "directory_ttl_s": 2} | defaults,
            "services": [_service(addresses, name, count) for name, count in services.items()],
        }
    )


def _service(addresses: AddressPool, name: str, count: int) -> dict[str, Any]:
    targets = [
        {
            "name": f"{name}-{number}",
            "address": str(addresses.take()),
            "failure_domain": DOMAINS[(number - 1) % len(DOMAINS)],
        }
        for number in range(1, count + 1)
    ]
    routes = [
        {"method": "GET", "path_prefix": f"/{name}", "operation": "lookup", "idempotent": True},
        {"method": "POST", "path_prefix": f"/{name}", "operation": "reserve", "idempotent": False},
    ]
    return {"name": name, "targets": targets, "routes": routes}
