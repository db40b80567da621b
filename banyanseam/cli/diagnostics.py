"""The command that collects a diagnostics bundle for a support request."""

import json
from pathlib import Path

import click

from banyanseam.cli.client import call_daemon, operators_option
from banyanseam.cli.files import write_text
from banyanseam.cli.output import emit, json_option
from banyanseam.server.operator_models import DiagnosticsReply


@click.command(short_help="Collect a diagnostics bundle without secrets.")
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    help="Write the bundle to this file instead of printing it.",
)
@operators_option
@json_option
def diagnostics(operators: str, out: Path | None, as_json: bool) -> None:
    """Collect a daemon's settings, state and recent events, without secrets.

    The bundle is JSON. It contains the names of organisations, seats and addresses,
    but no key or key digest, no fleet secret and no content of requests or replies.
    """
    reply = call_daemon(operators, "GET", "/diagnostics", DiagnosticsReply).model_dump()
    if out is None:
        emit(reply, True, str)
        return
    write_text(out, json.dumps(reply, indent=2, sort_keys=True) + "\n")
    summary = {"written": str(out), "events": len(reply["events"])}
    emit(summary, as_json, lambda: f"{out}: {summary['events']} events")
