"""The command that starts an entry daemon on the users' platform."""

import os
import sys
from collections.abc import Callable
from pathlib import Path

import anyio
import click

from banyanseam.daemon.const import EXIT_FAILED, EXIT_SETTINGS
from banyanseam.daemon.failures import report_failure
from banyanseam.entry.app import Entry
from banyanseam.entry.frontend import CallerFormat
from banyanseam.entry.models import EntrySettings
from banyanseam.entry.relay import UpstreamFormat
from banyanseam.entry.signals import ignore_settings_changes
from banyanseam.entry.store_watcher import Store
from banyanseam.entry.values import Decoders
from banyanseam.errors import BanyanseamError
from banyanseam.observe.line_writer import LineWriter
from banyanseam.observe.logs import set_up_logs
from banyanseam.platform.check import check_document
from banyanseam.platform.documents import (
    decode_config,
    decode_evacuated,
    decode_upstream,
)
from banyanseam.platform.requests import (
    read_answer,
    read_request,
    read_resolve_query,
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
    RESOLVE_PATH,
    SETTINGS_VARIABLE,
    UPSTREAM_PREFIX,
)


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
        UpstreamFormat(write_headers, read_answer),
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
def main(settings_path: Path | None, documents: tuple[Path, ...]) -> None:
    """Run the daemon and exit, or check documents and exit."""
    if documents:
        sys.exit(_check(documents))
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


def _check(documents: tuple[Path, ...]) -> int:
    """Print the check result of each document and return the exit code."""
    code = 0
    for path in documents:
        try:
            for line in check_document(path).to_lines():
                click.echo(f"{path}: {line}")
        except BanyanseamError as error:
            click.echo(f"{path}: {error.code}: {error.detail}", err=True)
            code = EXIT_SETTINGS
    return code


if __name__ == "__main__":
    main()
