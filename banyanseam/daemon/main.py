"""The command that starts the daemon."""

import signal
import sys
from pathlib import Path

import anyio
import click

from banyanseam.daemon.app import Daemon
from banyanseam.daemon.const import EXIT_FAILED, EXIT_SETTINGS
from banyanseam.daemon.failures import report_failure
from banyanseam.errors import BanyanseamError
from banyanseam.observe.logs import Logs, set_up_logs
from banyanseam.settings import Settings, read_settings


async def run_daemon(settings: Settings, logs: Logs) -> None:
    """Build and run the daemon on the running event loop."""
    await Daemon(settings, logs).run()


HELP = """Serve callers and peers at this VM's seat until SIGTERM.

The settings are read at the start only, and SIGHUP is ignored.

\b
Exit codes:
  0  stopped as planned, or superseded by a newer process at its seat
  1  stopped by a failure; the last log line gives the reason
  2  invalid settings; one line on standard error begins with the error code
"""


@click.command(
    help=HELP,
    context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 88},
)
@click.version_option(package_name="banyanseam", prog_name="banyanseamd")
@click.option(
    "--settings",
    "settings_path",
    type=click.Path(path_type=Path, dir_okay=False),
    required=True,
    help="JSON file with the settings of this process.",
)
def main(settings_path: Path) -> None:
    """Run the daemon and exit."""
    # By default SIGHUP would end the process, together with the requests it is running.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        settings = read_settings(settings_path)
    except BanyanseamError as error:
        click.echo(f"{error.code}: {error.detail}", err=True)
        sys.exit(EXIT_SETTINGS)
    secrets = [settings.fleet_secret.get_secret_value()]
    logs = set_up_logs(settings.log_level, seat=settings.seat, secrets=secrets)
    try:
        anyio.run(run_daemon, settings, logs, backend_options={"use_uvloop": True})
    except Exception as error:
        report_failure(error)
        sys.exit(EXIT_FAILED)


if __name__ == "__main__":
    main()
