"""Errors of the command line and their exit codes."""

import json
import sys
from typing import Any

import click

from banyanseam.cli.const import EXIT_REFUSED, EXIT_UNREACHABLE
from banyanseam.cli.output import JSON_META
from banyanseam.errors import BanyanseamError


class UnreadableFile(BanyanseamError):
    """A file is missing, is not readable or does not contain a valid document."""

    code = "cli.unreadable_file"
    event = 1900
    title = "The file cannot be read"
    not_run = True


class UnwritableFile(BanyanseamError):
    """A file or its parent folder cannot be written."""

    code = "cli.unwritable_file"
    event = 1904
    title = "The file cannot be written"
    not_run = True


class RequestNotInLogs(BanyanseamError):
    """None of the given log files has a line about the request."""

    code = "cli.request_not_in_logs"
    event = 1905
    status = 404
    title = "The request is not in the log files"
    not_run = True


class DaemonUnreachable(BanyanseamError):
    """The connection to the operators' address failed or timed out."""

    code = "cli.daemon_unreachable"
    event = 1901
    status = 503
    title = "The daemon cannot be reached"
    not_run = True


class DaemonRefused(BanyanseamError):
    """The daemon returned an error; the detail starts with the daemon's error code."""

    code = "cli.daemon_refused"
    event = 1902
    status = 502
    title = "The daemon refused the request"


class InvalidReply(BanyanseamError):
    """The daemon's reply does not match the schema of this version."""

    code = "cli.invalid_reply"
    event = 1903
    status = 502
    title = "The daemon's reply is invalid"


class CommandFailed(click.ClickException):
    """Ends a command with one line that starts with the error code."""

    def __init__(self, error: BanyanseamError, as_json: bool) -> None:
        """Choose the exit code for the error."""
        detail = " ".join(error.detail.split())
        line = f"{error.code}: {detail}"
        if as_json:
            line = json.dumps({"code": error.code, "detail": detail})
        super().__init__(line)
        self.exit_code = (
            EXIT_UNREACHABLE if isinstance(error, DaemonUnreachable) else EXIT_REFUSED
        )

    def show(self, file: Any = None) -> None:
        """Print the line without click's `Error: ` prefix."""
        click.echo(self.message, file=file or sys.stderr)


class ErrorGroup(click.Group):
    """A group whose commands report a BanyanseamError as one line."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run the command; turn a BanyanseamError into CommandFailed."""
        try:
            return super().invoke(ctx)
        except BanyanseamError as error:
            raise CommandFailed(error, ctx.meta.get(JSON_META, False)) from error
