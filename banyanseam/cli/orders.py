"""The command that shows the orders to engines, to load or unload models."""

import click

from banyanseam.cli.client import call_daemon, operators_option
from banyanseam.cli.output import emit, format_table, json_option
from banyanseam.server.operator_models import OrdersReply


@click.command(short_help="Show the progress of orders to engines.")
@operators_option
@json_option
def orders(operators: str, as_json: bool) -> None:
    """Show the orders sent to the engines of a daemon's region, and their progress.

    Only the daemon that sends the orders tracks them. Any other daemon names it, so
    that the command can be repeated there.
    """
    reply = call_daemon(operators, "GET", "/orders", OrdersReply)
    emit(reply.model_dump(), as_json, lambda: _format(reply))


def _format(reply: OrdersReply) -> str:
    if not reply.engines:
        return f"no engine in {reply.region} accepts orders"
    heading = f"{reply.giver or 'no daemon'} sends orders in {reply.region}"
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
