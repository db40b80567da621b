"""The command that starts an entry daemon on the users' platform."""

import json
import os
import sys
from collections.abc import Callable
from contextlib import suppress
from dataclasses import asdict
from pathlib import Path
from typing import Any, Final

import anyio
import click

from banyanseam.daemon.const import EXIT_FAILED, EXIT_SETTINGS
from banyanseam.daemon.failures import report_failure
from banyanseam.entry.app import Entry
from banyanseam.entry.catalogue_check.changes import list_changes
from banyanseam.entry.catalogue_check.limits import list_contradictions
from banyanseam.entry.catalogue_check.matching import list_unservable
from banyanseam.entry.frontend import CallerFormat
from banyanseam.entry.models import Catalogue, EntrySettings
from banyanseam.entry.relay import UpstreamFormat
from banyanseam.entry.signals import ignore_settings_changes
from banyanseam.entry.start_checks import ReportFormat
from banyanseam.entry.store_watcher import Store
from banyanseam.entry.values import Decoders
from banyanseam.errors import BanyanseamError
from banyanseam.observe.line_writer import LineWriter
from banyanseam.observe.logs import set_up_logs
from banyanseam.platform.check import (
    CheckReport,
    check_config,
    check_settings,
    list_errors,
    read_value,
)
from banyanseam.platform.documents import (
    decode_config,
    decode_evacuated,
    decode_upstream,
)
from banyanseam.platform.requests import (
    read_answer,
    read_request,
    read_resolve_query,
    read_start,
    write_addresses,
    write_headers,
    write_refusal,
)
from banyanseam.platform.settings import read_settings
from banyanseam.platform.store import PlatformStore
from banyanseam.platform.wire import (
    CONFIG_KEY,
    OPERATOR_PREFIX,
    READY_PATH,
    REPORT_PATH,
    RESOLVE_PATH,
    SETTINGS_VARIABLE,
    UPSTREAM_PREFIX,
)

# Valid, with --strict and warnings.
EXIT_WARNINGS: Final = 1


def make_entry(
    settings: EntrySettings,
    store: Store,
    reload_settings: Callable[[], EntrySettings],
) -> Entry:
    """Return a daemon that uses the platform's formats."""
    return Entry(
        settings,
        store,
        Decoders(CONFIG_KEY, decode_config, decode_evacuated, decode_upstream),
        UpstreamFormat(
            write_headers, read_answer, ReportFormat(REPORT_PATH.encode(), read_start)
        ),
        CallerFormat(
            read_request,
            write_refusal,
            READY_PATH,
            RESOLVE_PATH,
            read_resolve_query,
            write_addresses,
        ),
        (OPERATOR_PREFIX, UPSTREAM_PREFIX),
        reload_settings,
    )


async def run_entry(path: Path, settings: EntrySettings) -> None:
    """Build and run the daemon on the running event loop."""
    store = PlatformStore(settings.platform_address)
    await make_entry(settings, store, lambda: read_settings(path)).run()


@click.command(help="Serve callers on the users' platform until SIGTERM.")
@click.option(
    "--settings",
    "settings_path",
    type=click.Path(path_type=Path, dir_okay=False),
    default=lambda: os.environ.get(SETTINGS_VARIABLE),
    help=f"The platform's settings file; else the one that {SETTINGS_VARIABLE} names.",
)
@click.option(
    "--check",
    "documents",
    type=click.Path(path_type=Path, dir_okay=False),
    multiple=True,
    help="Only check a document: settings (.toml) or a published configuration.",
)
@click.option(
    "--against",
    "in_force",
    type=click.Path(path_type=Path, dir_okay=False),
    help="With --check: the configuration in force, to list what changes.",
)
@click.option(
    "--strict", is_flag=True, help="With --check: exit with 1 if there are warnings."
)
@click.option("--json", "as_json", is_flag=True, help="With --check: print JSON.")
def main(
    settings_path: Path | None,
    documents: tuple[Path, ...],
    in_force: Path | None,
    strict: bool,
    as_json: bool,
) -> None:
    """Run the daemon and exit, or check documents and exit."""
    if documents:
        sys.exit(_check(documents, in_force, strict=strict, as_json=as_json))
    if settings_path is None:
        raise click.UsageError(f"neither --settings nor {SETTINGS_VARIABLE} is given")
    settings_path = Path(settings_path)
    ignore_settings_changes()
    try:
        settings = read_settings(settings_path)
    except BanyanseamError as error:
        click.echo(f"{error.code}: {error.detail}", err=True)
        sys.exit(EXIT_SETTINGS)
    writer = LineWriter(sys.stdout.fileno())
    set_up_logs("INFO", seat=settings.vm, writer=writer)
    try:
        anyio.run(
            run_entry, settings_path, settings, backend_options={"use_uvloop": True}
        )
    except Exception as error:
        report_failure(error)
        sys.exit(EXIT_FAILED)


def _check(
    documents: tuple[Path, ...], in_force: Path | None, *, strict: bool, as_json: bool
) -> int:
    """Print the check result of each document and return the exit code."""
    code = 0
    regions = _read_regions(documents)
    before = None
    if in_force is not None:
        try:
            before = decode_config(read_value(in_force))
        except BanyanseamError as error:
            click.echo(f"{in_force}: {error.code}: {error.detail}", err=True)
            return EXIT_SETTINGS
    results: dict[str, Any] = {}
    for path in documents:
        value = None
        try:
            if path.suffix == ".toml":
                report = check_settings(path)
            else:
                value = read_value(path)
                report = _check_config(value, before, regions)
        except BanyanseamError as error:
            results[str(path)] = {"errors": _print_errors(path, value, error)}
            code = EXIT_SETTINGS
            continue
        if strict and report.warnings and code == 0:
            code = EXIT_WARNINGS
        results[str(path)] = asdict(report) | {"errors": []}
        if not as_json:
            for line in report.to_lines():
                click.echo(f"{path}: {line}")
    if as_json:
        click.echo(json.dumps(results, indent=2, sort_keys=True))
    return code


def _check_config(
    value: bytes, before: Catalogue | None, regions: frozenset[str] | None
) -> CheckReport:
    """Check a configuration's fields, and what it means if it is valid."""
    report = check_config(value)
    catalogue = decode_config(value)
    report.warnings += list_unservable(catalogue, regions)
    report.warnings += list_contradictions(catalogue)
    if before is not None:
        report.changes = list(list_changes(before, catalogue))
    return report


def _read_regions(documents: tuple[Path, ...]) -> frozenset[str] | None:
    """Return the regions of the settings that are checked too, if any are valid."""
    for path in documents:
        if path.suffix == ".toml":
            with suppress(BanyanseamError):
                return frozenset(read_settings(path).regions.values())
    return None


def _print_errors(path: Path, value: bytes | None, error: BanyanseamError) -> list[str]:
    """Print all errors of a document, and return them."""
    details = [error.detail]
    if value is not None:
        details = list_errors(value) or details
    for detail in details:
        click.echo(f"{path}: {error.code}: {detail}", err=True)
    return details


if __name__ == "__main__":
    main()
