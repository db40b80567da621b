"""The command that starts the daemon."""

import sys
from pathlib import Path

import anyio
import click

from banyanseam.daemon.app import Daemon
from banyanseam.errors import BanyanseamError
from banyanseam.observe.logs import set_up_logs
from banyanseam.settings import Settings, read_settings


async def run_daemon(settings: Settings) -> None:
    """Build and run the daemon on the running event loop."""
    await Daemon(settings).run()


@click.command()
@click.option(
    "--settings",
    "settings_path",
    type=click.Path(path_type=Path, dir_okay=False),
    required=True,
    help="The JSON settings of this process.",
)
def main(settings_path: Path) -> None:
    """Serve callers and peers at this VM's seat until SIGTERM."""
    try:
        settings = read_settings(settings_path)
    except BanyanseamError as error:
        click.echo(f"{error.code}: {error.detail}", err=True)
        sys.exit(2)
    set_up_logs(settings.log_level, seat=settings.seat)
    anyio.run(run_daemon, settings, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    main()
