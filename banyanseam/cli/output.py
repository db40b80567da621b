"""Printing results as text or JSON."""

import json
from collections.abc import Callable, Sequence
from typing import Any, Final

import click

# Where the contexts of a group and its command share what was asked for.
JSON_META: Final = "banyanseam.json"


def _note_json(ctx: click.Context, _: click.Parameter, value: bool) -> bool:
    ctx.meta[JSON_META] = value
    return value


json_option = click.option(
    "--json", "as_json", is_flag=True, callback=_note_json, help="Print JSON."
)


def emit(value: Any, as_json: bool, to_text: Callable[[], str]) -> None:
    """Print the value as JSON, or what `to_text` makes of it."""
    if as_json:
        click.echo(json.dumps(value, indent=2, sort_keys=True))
        return
    text = to_text()
    if text:
        click.echo(text)


def format_table(headings: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Return rows under headings in aligned columns; None is shown as a dash."""
    cells = [[_format_cell(value) for value in row] for row in rows]
    table = [list(headings), *cells]
    widths = [max(len(row[index]) for row in table) for index in range(len(headings))]
    lines = (
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in table
    )
    return "\n".join(line.rstrip() for line in lines)


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return f"{value:.1f}" if isinstance(value, float) else str(value)
