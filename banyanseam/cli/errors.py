"""Failures of the command line, and how they end a command."""

import json
import sys
from typing import Any

import click

from banyanseam.cli.const import EXIT_REFUSED, EXIT_UNREACHABLE
from banyanseam.cli.output import JSON_META
from banyanseam.errors import BanyanseamError


class UnreadableFile(BanyanseamError):
    """A file is missing or is not a JSON object."""

    code = "cli.unreadable_file"
    event = 1900
    title = "The file cannot be read"
    not_run = True


class UnwritableFile(BanyanseamError):
    """A file or its folder cannot be written."""

    code = "cli.unwritable_file"
    event = 1904
    title = "The file cannot be written"
    not_run = True


class RequestNotInLogs(BanyanseamError):
    """No line of the given files names the request."""

    code = "cli.request_not_in_logs"
    event = 1905
    status = 404
    title = "The request is in none of the files"
    not_run = True


class DaemonUnreachable(BanyanseamError):
    """Nothing answers at the operators' address."""

    code = "cli.daemon_unreachable"
    event = 1901
    status = 503
    title = "The daemon cannot be reached"
    not_run = True


class DaemonRefused(BanyanseamError):
    """The daemon answered with a failure; the detail begins with its code."""

    code = "cli.daemon_refused"
    event = 1902
    status = 502
    title = "The daemon refused"


class InvalidReply(BanyanseamError):
    """The daemon's answer does not have the form that this version knows."""

    code = "cli.invalid_reply"
    event = 1903
    status = 502
    title = "The daemon's answer cannot be read"


class CommandFailed(click.ClickException):
    """Ends a command with one line that begins with the error's code."""

    def __init__(self, error: BanyanseamError, as_json: bool) -> None:
        """Choose the exit code by the error."""
        detail = " ".join(error.detail.split())
        line = f"{error.code}: {detail}"
        if as_json:
            line = json.dumps({"code": error.code, "detail": detail})
        super().__init__(line)
        self.exit_code = (
            EXIT_UNREACHABLE if isinstance(error, DaemonUnreachable) else EXIT_REFUSED
        )

    def show(self, file: Any = None) -> None:
        """Print the line without click's own prefix."""
        click.echo(self.message, file=file or sys.stderr)


class ErrorGroup(click.Group):
    """A group whose commands report this project's errors in one line."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run the command; turn a BanyanseamError into CommandFailed."""
        try:
            return super().invoke(ctx)
        except BanyanseamError as error:
            raise CommandFailed(error, ctx.meta.get(JSON_META, False)) from error
