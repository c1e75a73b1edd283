"""The command line `toucan-standins`, which runs stand-ins for tests and demonstrations.

Not for production: connections aren't secured, and state is kept in memory.
"""

import sys
from pathlib import Path
from typing import Annotated, Literal

from cyclopts import App, Parameter
from toucanspindle_core import errorcodes
from toucanspindle_core.errors import SettingsError, ToucanError
from toucanspindle_core.fleetfile import load_fleet_file
from toucanspindle_core.policy import merge_policy

from toucanspindle_standins.cliarguments import parse_address, read_host_list
from toucanspindle_standins.faultproxy import FaultProxy, Link
from toucanspindle_standins.loadcommand import load
from toucanspindle_standins.platformserver import PlatformServer
from toucanspindle_standins.serving import serve_until_signal
from toucanspindle_standins.targetserver import TargetServer, TargetSettings

app = App(
    name="toucan-standins",
    help="Stand-ins of the platform and of targets, for tests only: NOT FOR PRODUCTION.",
    version="0.1.0",
)

Distribution = Literal["fixed", "exponential"]


@app.command
def platform(*, address: str, hosts: Path | None = None) -> None:
    """Run a stand-in platform that serves the object API.

    Parameters
    ----------
    address
        IP:port to listen at.
    hosts
        JSON file {"hosts": [...]} with the initial host list.
    """
    server = PlatformServer(parse_address(address), read_host_list(hosts))
    serve_until_signal([server], f"platform ready at {address}")


@app.command
def targets(
    *,
    fleet: Path,
    service: Annotated[list[str] | None, Parameter(negative=())] = None,
    service_ms: float = 5.0,
    distribution: Distribution = "fixed",
    seed: int = 1,
) -> None:
    """Run all targets of a fleet file in one process.

    Parameters
    ----------
    fleet
        Fleet configuration as TOML.
    service
        Run only the targets of this service; may be repeated.
    service_ms
        Mean service time of a request, in milliseconds.
    distribution
        Distribution of the service times: all equal, or exponential.
    seed
        Seed of the service times and faults.
    """
    config = load_fleet_file(fleet).config
    servers: list[TargetServer] = []
    for policy in merge_policy(config, 1).services.values():
        if service and policy.name not in service:
            continue
        slots = policy.settings.slots_per_target
        for target in policy.targets:
            settings = TargetSettings(
                name=target.name,
                service=policy.name,
                address=target.address,
                slots=slots,
                service_ms=service_ms,
                distribution=distribution,
                seed=seed + len(servers),
            )
            servers.append(TargetServer(settings))
    if not servers:
        raise SettingsError(
            errorcodes.STANDIN_USAGE, "No target is selected.", "give a service of the fleet file"
        )
    serve_until_signal(servers, f"{len(servers)} targets ready")


@app.command
def target(
    *,
    address: str,
    name: str,
    service: str,
    slots: int = 4,
    service_ms: float = 5.0,
    distribution: Distribution = "fixed",
    queue_limit: int = 64,
    cold_start_s: float = 0.0,
    cold_start_factor: float = 1.0,
    padding_bytes: int = 0,
    log: Path | None = None,
    seed: int = 1,
) -> None:
    """Run one target in a separate process that ends on a request with the crash marker.

    Parameters
    ----------
    address
        IP:port to listen at.
    name
        Name of the target.
    service
        Service of the target.
    slots
        Number of requests that run at a time.
    service_ms
        Mean service time of a request, in milliseconds.
    distribution
        Distribution of the service times: all equal, or exponential.
    queue_limit
        Number of requests that wait for a slot; further ones are refused as not run.
    cold_start_s
        Seconds after the start during which service times are longer.
    cold_start_factor
        Factor on the service time at the start; it falls linearly to 1.
    padding_bytes
        Number of padding bytes in each answer.
    log
        File to which each start and finish of a run is appended.
    seed
        Seed of the service times and faults.
    """
    settings = TargetSettings(
        name=name,
        service=service,
        address=parse_address(address),
        slots=slots,
        service_ms=service_ms,
        distribution=distribution,
        queue_limit=queue_limit,
        cold_start_s=cold_start_s,
        cold_start_factor=cold_start_factor,
        padding_bytes=padding_bytes,
        log_path=log,
        own_process=True,
        seed=seed,
    )
    serve_until_signal([TargetServer(settings)], f"target {name} ready at {address}")


@app.command
def faultproxy(
    *,
    listen: Annotated[list[str], Parameter(negative=())],
    to: Annotated[list[str], Parameter(negative=())],
    admin: str,
) -> None:
    """Run a TCP proxy that injects faults.

    Parameters
    ----------
    listen
        IP:port to listen at; may be repeated, with one --to for each.
    to
        IP:port that the link connects to.
    admin
        IP:port of the admin calls: GET and PUT /faults, PUT /sources, GET /stats.
    """
    if len(listen) != len(to):
        raise SettingsError(
            errorcodes.STANDIN_USAGE,
            f"There are {len(listen)} --listen options but {len(to)} --to options.",
            "give one --to for each --listen",
        )
    pairs = zip(listen, to, strict=True)
    links = [
        Link(parse_address(listen_address), parse_address(server_address))
        for listen_address, server_address in pairs
    ]
    proxy = FaultProxy(links, parse_address(admin))
    serve_until_signal([proxy], f"{len(links)} links ready, admin at {admin}")


app.command(load)


def run() -> None:
    """Run the command line; on a ToucanError, print code and remedy to stderr and exit with 1."""
    try:
        app()
    except ToucanError as error:
        print(error, file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    run()
