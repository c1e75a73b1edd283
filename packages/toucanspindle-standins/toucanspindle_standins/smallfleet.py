"""Small fleet configurations for tests, with lookups and non-idempotent reservations."""

from typing import Any, Final

from toucanspindle_core.fleetconfig import FleetConfig

from toucanspindle_standins.processes import AddressPool

FAILURE_DOMAINS: Final = ("beaufort", "laingsburg", "graaff", "deaar")


def small_fleet(addresses: AddressPool, services: dict[str, int], **defaults: Any) -> FleetConfig:
    """Return a configuration; `services` maps service names to numbers of targets.

    Each service S has the routes GET /S (a lookup) and POST /S (a non-idempotent reservation).
    Its targets are S-1, S-2 and so on, assigned to the failure domains in round-robin order.
    `defaults` override default settings of the fleet.
    """
    return FleetConfig.model_validate(
        {
            "fleet": "karoo",
            "failure_domains": list(FAILURE_DOMAINS),
            "defaults": {"fan_in": 8, "directory_ttl_s": 2} | defaults,
            "services": [
                _service_config(addresses, name, count) for name, count in services.items()
            ],
        }
    )


def _service_config(addresses: AddressPool, name: str, count: int) -> dict[str, Any]:
    targets = [
        {
            "name": f"{name}-{number}",
            "address": str(addresses.allocate()),
            "failure_domain": FAILURE_DOMAINS[(number - 1) % len(FAILURE_DOMAINS)],
        }
        for number in range(1, count + 1)
    ]
    routes = [
        {"method": "GET", "path_prefix": f"/{name}", "operation": "lookup", "idempotent": True},
        {"method": "POST", "path_prefix": f"/{name}", "operation": "reserve", "idempotent": False},
    ]
    return {"name": name, "targets": targets, "routes": routes}
