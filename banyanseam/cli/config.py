"""Commands that work on configuration files, without contacting a daemon."""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from banyanseam.cli.const import EXIT_DIFFERENT
from banyanseam.cli.files import read_documents, write_values
from banyanseam.cli.output import emit, json_option
from banyanseam.config.compile import compile_config
from banyanseam.config.models import BaseDocument, SiteDocument
from banyanseam.config.render import MISSING, Change, list_changes, render_documents
from banyanseam.config.split import split_documents
from banyanseam.settings import Settings

PATH = click.Path(path_type=Path)
SCHEMAS = {"base": BaseDocument, "site": SiteDocument, "settings": Settings}


def documents_arguments(function: Callable[..., Any]) -> Callable[..., Any]:
    """Add the arguments BASE and OVERLAY... to a command."""
    function = click.argument("overlays", metavar="[OVERLAY]...", nargs=-1, type=PATH)(
        function
    )
    return click.argument("base", metavar="BASE", type=PATH)(function)


@click.group("config")
def config_group() -> None:
    """Check, render, compare and split the configuration.

    BASE is the base file, followed by one OVERLAY per site, named after the site's
    region (gulf.json); or a folder with base.json, sites/ and organisations/.
    """


@config_group.command("check")
@documents_arguments
@json_option
def check(base: Path, overlays: tuple[Path, ...], as_json: bool) -> None:
    """Validate the documents exactly as a daemon does."""
    config = compile_config(1, *read_documents(base, overlays))
    counts = {
        "regions": len(config.regions),
        "seats": len(config.seats),
        "upstreams": len(config.upstreams),
        "organisations": len(config.organisations),
        "routes": len(config.routes),
    }
    text = ", ".join(f"{count} {name}" for name, count in counts.items())
    emit({"valid": True, **counts}, as_json, lambda: f"valid: {text}")


@config_group.command("render")
@documents_arguments
@json_option
def render(base: Path, overlays: tuple[Path, ...], as_json: bool) -> None:
    """Print the effective documents, with each site merged over the defaults."""
    documents = read_documents(base, overlays)
    compile_config(1, *documents)
    rendered = render_documents(*documents)
    emit(rendered, True, str)


@config_group.command("diff")
@click.argument("old", type=PATH)
@click.argument("new", type=PATH)
@click.option(
    "--exit-code",
    is_flag=True,
    help=f"Exit with {EXIT_DIFFERENT} if there are differences.",
)
@json_option
def diff(old: Path, new: Path, exit_code: bool, as_json: bool) -> None:
    """Print the differences between two folders, after merging, by JSON path."""
    changes = list(
        list_changes(
            render_documents(*read_documents(old, ())),
            render_documents(*read_documents(new, ())),
        )
    )
    emit(
        [_to_json(change) for change in changes],
        as_json,
        lambda: "\n".join(_format_change(change) for change in changes),
    )
    if changes and exit_code:
        raise SystemExit(EXIT_DIFFERENT)


@config_group.command("split")
@documents_arguments
@click.option("--out", type=PATH, help="Write one file per value to this folder.")
@json_option
def split(
    base: Path, overlays: tuple[Path, ...], out: Path | None, as_json: bool
) -> None:
    """Split valid documents into the values to publish, by key."""
    documents = read_documents(base, overlays)
    compile_config(1, *documents)
    values = split_documents(*documents)
    if out is None:
        emit(values, True, str)
        return
    write_values(out, values)
    emit(sorted(values), as_json, lambda: "\n".join(sorted(values)))


@config_group.command("schema")
@click.argument("document", type=click.Choice(sorted(SCHEMAS)), default="base")
@json_option
def schema(document: str, as_json: bool) -> None:
    """Print the JSON schema of a document: base, site or settings."""
    emit(SCHEMAS[document].model_json_schema(), True, str)


def _to_json(change: Change) -> dict[str, Any]:
    sides = {"before": change.before, "after": change.after}
    present = {name: value for name, value in sides.items() if value is not MISSING}
    return {"json_path": change.json_path, **present}


def _format_change(change: Change) -> str:
    before, after = (
        None if value is MISSING else json.dumps(value, sort_keys=True)
        for value in (change.before, change.after)
    )
    if before is None:
        return f"+ {change.json_path}: {after}"
    if after is None:
        return f"- {change.json_path}: {before}"
    return f"~ {change.json_path}: {before} -> {after}"
