"""Commands that call one daemon: status, entry list, explain and drain."""

import base64
from pathlib import Path

import click

from banyanseam.cli.client import call_daemon, make_request, operators_option
from banyanseam.cli.files import read_bytes
from banyanseam.cli.output import emit, format_table, json_option
from banyanseam.config.versions import describe_version
from banyanseam.server.operator_models import (
    DrainReply,
    EntriesReply,
    ExplainReply,
    ExplainRequest,
    StatusReply,
)


@click.command(short_help="Show a daemon's state, peers and upstreams.")
@operators_option
@json_option
def status(operators: str, as_json: bool) -> None:
    """Show a daemon's state, configuration, load, peers and upstreams."""
    reply = call_daemon(operators, "GET", "/status", StatusReply)
    emit(reply.model_dump(), as_json, lambda: _format_status(reply))


@click.command()
@operators_option
@json_option
def entries(operators: str, as_json: bool) -> None:
    """Show the entry daemons advertised to callers, best first."""
    reply = call_daemon(operators, "GET", "/entries", EntriesReply)
    rows = [(one.seat, one.region, one.address) for one in reply.entries]
    emit(
        reply.model_dump(),
        as_json,
        lambda: (
            format_table(("seat", "region", "address"), rows)
            + f"\nvalid for {reply.validity_ms} ms"
        ),
    )


@click.command(short_help="Drain a daemon, then stop it.")
@operators_option
@json_option
def drain(operators: str, as_json: bool) -> None:
    """Remove a daemon from the entry list, finish its requests and stop it."""
    reply = call_daemon(operators, "POST", "/drain", DrainReply)
    emit(
        reply.model_dump(),
        as_json,
        lambda: (
            f"{reply.state}: {reply.in_flight} in flight, {reply.queued} queued, "
            f"new requests may still arrive for {reply.validity_ms} ms"
        ),
    )


@click.command(short_help="Explain how a request would be handled.")
@click.argument("path")
@click.option("--method", default="POST", show_default=True)
@click.option(
    "--organisation", help="Organisation of the request's key. Default: no key."
)
@click.option("--model", help="Model that the request names.")
@click.option("--prompt-tokens", default=1000, show_default=True)
@click.option("--max-output-tokens", default=256, show_default=True)
@click.option("--idempotency-key", help="Idempotency key or ticket of the request.")
@click.option(
    "--body",
    "body_path",
    type=click.Path(path_type=Path),
    help="File with the request body, used to compute the cost for the model and to "
    "match poison marks.",
)
@operators_option
@json_option
def explain(
    operators: str, as_json: bool, body_path: Path | None, **fields: object
) -> None:
    """Explain how a request would be handled, filter by filter.

    This is a dry run: nothing is sent to an upstream, charged, claimed or counted.
    """
    if body_path is not None:
        fields["body"] = base64.b64encode(read_bytes(body_path))
    request = make_request(ExplainRequest, fields)
    reply = call_daemon(operators, "POST", "/explain", ExplainReply, request)
    emit(reply.model_dump(), as_json, lambda: _format_explanation(reply))


def _format_status(reply: StatusReply) -> str:
    config = reply.config
    load = reply.load
    lines = [
        f"{reply.seat} ({reply.region}, {reply.data_centre}) is {reply.state}, "
        f"up {reply.up_ms} ms, incarnation {reply.incarnation}",
        f"configuration {describe_version(config.era, config.version)}, "
        f"in force for {config.in_force_ms} ms, "
        f"service answered {config.service_answered_ms_ago} ms ago",
        f"load: {load.in_flight} in flight, {load.queued} queued, "
        f"{load.held_bytes} of {load.byte_budget} bytes held",
    ]
    if config.rejected is not None:
        rejected = config.rejected
        version = describe_version(rejected.era, rejected.version)
        lines.append(f"REJECTED version {version}: {rejected.detail}")
    if load.failures:
        rows = sorted(load.failures.items(), key=lambda row: -row[1])
        lines += ["", format_table(("failures", "count"), rows)]
    if reply.peers:
        rows = [
            (one.seat, one.region, one.state, one.heard_ms_ago, one.is_linked)
            for one in reply.peers
        ]
        headings = ("peer", "region", "state", "heard_ms_ago", "linked")
        lines += ["", format_table(headings, rows)]
    if reply.upstreams:
        rows = [
            (
                one.upstream,
                one.region,
                one.state,
                one.keeper,
                one.in_flight,
                one.held_tokens,
                one.free_tokens,
                one.memory_tokens,
                one.reported_ms_ago,
            )
            for one in reply.upstreams
        ]
        headings = (
            "upstream",
            "region",
            "state",
            "keeper",
            "in_flight",
            "held_tokens",
            "free_tokens",
            "memory_tokens",
            "reported_ms_ago",
        )
        lines += ["", format_table(headings, rows)]
    return "\n".join(lines)


def _format_explanation(reply: ExplainReply) -> str:
    rows = [(one.filter, one.verdict, one.code, one.reason) for one in reply.steps]
    table = format_table(("filter", "verdict", "code", "why"), rows)
    version = describe_version(reply.config_era, reply.config_version)
    return f"{table}\n{reply.verdict}, by configuration {version}"
