"""The operators' command line.

Exit codes: 0 success; 1 refused or invalid; 2 wrong usage; 3 the daemon cannot be
reached; 4 `config diff --exit-code` found differences.
"""

import click

from banyanseam.cli.config import config_group
from banyanseam.cli.daemon import drain, entries, explain, status
from banyanseam.cli.diagnostics import diagnostics
from banyanseam.cli.errors import ErrorGroup
from banyanseam.cli.explain_log import explain_log
from banyanseam.cli.histograms import histograms
from banyanseam.cli.keys import key_group
from banyanseam.cli.orders import orders

HELP = """Check and split the configuration, create keys, and query running daemons.

\b
Exit codes:
  0  success
  1  refused or invalid; one line on standard error starts with the error code
  2  wrong usage
  3  the daemon cannot be reached
  4  `config diff --exit-code` found differences

docs/OPERATIONS.md has examples of each command; docs/ERRORS.md lists the error codes.
"""


@click.group(
    cls=ErrorGroup,
    help=HELP,
    context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 88},
)
@click.version_option(package_name="banyanseam", prog_name="banyanseam")
def main() -> None:
    """Run a command."""


for command in (
    config_group,
    key_group,
    status,
    entries,
    histograms,
    explain,
    explain_log,
    orders,
    diagnostics,
    drain,
):
    main.add_command(command)


if __name__ == "__main__":
    main()
