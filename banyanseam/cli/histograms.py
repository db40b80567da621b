"""The command that shows a daemon's histograms as a table and bar charts."""

import math
from collections.abc import Iterator

import click

from banyanseam.cli.client import call_daemon, make_request, operators_option
from banyanseam.cli.const import PLOT_COLUMNS
from banyanseam.cli.output import emit, format_table, json_option
from banyanseam.server.operator_models import (
    HistogramsReply,
    HistogramsRequest,
    SeriesReply,
)

SHOWN_PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


@click.command(short_help="Show latency histograms of requests.")
@click.option(
    "--organisation", help="An organisation, or * for each. Default: all together."
)
@click.option(
    "--class", "request_class", type=click.Choice(["quick", "long", "service"])
)
@operators_option
@json_option
def histograms(
    operators: str, organisation: str | None, request_class: str | None, as_json: bool
) -> None:
    """Show queueing time and latency of requests, by class or organisation."""
    request = make_request(
        HistogramsRequest,
        {"organisation": organisation, "request_class": request_class},
    )
    reply = call_daemon(operators, "POST", "/histograms", HistogramsReply, request)
    emit(reply.model_dump(), as_json, lambda: format_histograms(reply))


def format_histograms(reply: HistogramsReply) -> str:
    """Return a table of all series, followed by a bar chart of each."""
    series = [one for one in reply.series if one.count]
    if not series:
        return f"no requests were recorded in the last {reply.window_ms} ms"
    headings = (
        "organisation",
        "class",
        "measure",
        "count",
        *(f"p{percentile:g}" for percentile in SHOWN_PERCENTILES),
    )
    rows = [
        (
            *_get_labels(one),
            one.count,
            *(one.percentiles.get(percentile) for percentile in SHOWN_PERCENTILES),
        )
        for one in series
    ]
    sections = [format_table(headings, rows), f"over the last {reply.window_ms} ms"]
    return "\n\n".join([*sections, *("\n".join(_plot(one)) for one in series)])


def _get_labels(series: SeriesReply) -> tuple[str, str, str]:
    return series.organisation or "(all)", series.request_class, series.measure


def _plot(series: SeriesReply) -> Iterator[str]:
    """Yield one bar per percentile, on a logarithmic scale.

    The tail is often a hundred times the median, so linear bars would hide the median.
    """
    yield " ".join(_get_labels(series))
    scale = math.log1p(max(series.percentiles.values(), default=0)) or 1
    for percentile, value in sorted(series.percentiles.items()):
        bar = "#" * round(PLOT_COLUMNS * math.log1p(value) / scale)
        yield f"  p{percentile:<5g} {value:>8}  {bar}"
