"""Defines the command group `toucanctl config` and registers its commands."""

from cyclopts import App

from toucanctl.configcommands import apply, dry_run, rollback, set_default, show
from toucanctl.historycommands import find, history

config_app = App(
    name="config",
    help="""Show, check, apply and roll back the fleet's configuration.

    A configuration is one file with the defaults, a short list of exceptions, and the services. The
    usual steps to change it: `config show --output fleet.toml`, edit, `config dry-run fleet.toml`,
    `config apply fleet.toml --why "..." --wait`.
    """,
)
config_app.command(show)
config_app.command(dry_run, name="dry-run")
config_app.command(apply)
config_app.command(set_default, name="set")
config_app.command(rollback)
config_app.command(history)
config_app.command(find)
