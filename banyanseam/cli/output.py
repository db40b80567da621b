"""Printing results as text or JSON."""

import json
from collections.abc import Callable, Sequence
from typing import Any, Final

import click

# Key in the click context's `meta`, which a group and its commands share. It tells
# the group's error handler whether --json was given.
JSON_META: Final = "banyanseam.json"


def _store_json_flag(ctx: click.Context, _: click.Parameter, value: bool) -> bool:
    ctx.meta[JSON_META] = value
    return value


json_option = click.option(
    "--json", "as_json", is_flag=True, callback=_store_json_flag, help="Print JSON."
)


def emit(value: Any, as_json: bool, format_text: Callable[[], str]) -> None:
    """Print the value as JSON, or the text that `format_text` returns."""
    if as_json:
        click.echo(json.dumps(value, indent=2, sort_keys=True))
        return
    text = format_text()
    if text:
        click.echo(text)


def format_table(headings: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Format rows as aligned columns under headings; None is shown as a dash."""
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
