"""Showing a daemon's histograms as a table and a plot."""

import math
from collections.abc import Iterator

import click

from banyanseam.cli.client import ask, make_request, operators_option
from banyanseam.cli.const import PLOT_COLUMNS
from banyanseam.cli.output import emit, format_table, json_option
from banyanseam.server.operator_models import (
    HistogramsReply,
    HistogramsRequest,
    SeriesReply,
)

SHOWN_PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


@click.command(short_help="Show how long requests waited and took.")
@click.option("--organisation", help="One organisation, or * for each of them.")
@click.option(
    "--class", "request_class", type=click.Choice(["quick", "long", "service"])
)
@operators_option
@json_option
def histograms(
    operators: str, organisation: str | None, request_class: str | None, as_json: bool
) -> None:
    """Show how long requests waited and took, by class or organisation."""
    request = make_request(
        HistogramsRequest,
        {"organisation": organisation, "request_class": request_class},
    )
    reply = ask(operators, "POST", "/histograms", HistogramsReply, request)
    emit(reply.model_dump(), as_json, lambda: format_histograms(reply))


def format_histograms(reply: HistogramsReply) -> str:
    """Return a table of all series and a plot of each."""
    series = [one for one in reply.series if one.count]
    if not series:
        return f"nothing was recorded in the last {reply.window_ms} ms"
    headings = (
        "organisation",
        "class",
        "measure",
        "count",
        *(f"p{percentile:g}" for percentile in SHOWN_PERCENTILES),
    )
    rows = [
        (
            *_name(one),
            one.count,
            *(one.percentiles.get(percentile) for percentile in SHOWN_PERCENTILES),
        )
        for one in series
    ]
    parts = [format_table(headings, rows), f"over the last {reply.window_ms} ms"]
    return "\n\n".join([*parts, *("\n".join(_plot(one)) for one in series)])


def _name(series: SeriesReply) -> tuple[str, str, str]:
    return series.organisation or "(all)", series.request_class, series.measure


def _plot(series: SeriesReply) -> Iterator[str]:
    """Yield a line for each percentile, its bar on a logarithmic scale.

    Tails are often a hundred times the median, which a linear bar would hide.
    """
    yield " ".join(_name(series))
    scale = math.log1p(max(series.percentiles.values(), default=0)) or 1
    for percentile, value in sorted(series.percentiles.items()):
        bar = "#" * round(PLOT_COLUMNS * math.log1p(value) / scale)
        yield f"  p{percentile:<5g} {value:>8}  {bar}"
