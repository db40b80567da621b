"""The command that shows how far the engines of a region have come."""

import click

from banyanseam.cli.client import ask, operators_option
from banyanseam.cli.output import emit, format_table, json_option
from banyanseam.server.operator_models import OrdersReply


@click.command(short_help="Show how far the engines have come.")
@operators_option
@json_option
def orders(operators: str, as_json: bool) -> None:
    """Show which orders the engines of a daemon's region were given.

    Ask the daemon that gives them; every other one names it.
    """
    reply = ask(operators, "GET", "/orders", OrdersReply)
    emit(reply.model_dump(), as_json, lambda: _format(reply))


def _format(reply: OrdersReply) -> str:
    if not reply.engines:
        return f"no engine of {reply.region} takes orders"
    heading = f"{reply.giver or 'nobody'} gives orders in {reply.region}"
    rows = [
        (
            one.upstream,
            one.progress,
            one.kind,
            one.model,
            one.model_version,
            one.failure,
        )
        for one in reply.engines
    ]
    headings = ("engine", "progress", "last order", "model", "version", "failure")
    return f"{heading}, fencing number {reply.fencing}\n{format_table(headings, rows)}"
