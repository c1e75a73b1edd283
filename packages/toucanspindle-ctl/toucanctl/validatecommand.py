"""The command `toucanctl validate`."""

from pathlib import Path

from toucanspindle_core.fleetfile import load_fleet_file

from toucanctl.ctlsettings import DEFAULT_OPTIONS, CommonOptions
from toucanctl.session import Session


def validate(file: Path, *, options: CommonOptions = DEFAULT_OPTIONS) -> None:
    """Check a fleet file offline and list every fault with path, value, allowed values and remedy.

    Contacts neither the platform nor a node.

    Parameters
    ----------
    file
        Fleet file (TOML).
    """
    with Session(options) as session:
        config = load_fleet_file(file).config
        targets = sum(len(service.targets) for service in config.services)
        counts = {
            "services": len(config.services),
            "targets": targets,
            "exceptions": len(config.exceptions),
        }
        text = ", ".join(f"{name}: {number}" for name, number in counts.items())
        line = f"{file} is valid: fleet {config.fleet} ({text})"
        session.output.result([line], {"valid": True, "fleet": config.fleet, **counts})
