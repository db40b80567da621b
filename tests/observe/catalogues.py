"""Generates the catalogues of errors and events from the code, retaining remedies.

`python -m tests.observe.catalogues` rewrites docs/ERRORS.md and docs/EVENTS.md. A new
row has no remedy, and the test fails until one is written.
"""

import importlib
import pkgutil
from collections.abc import Iterator
from pathlib import Path

import banyanseam
from banyanseam.errors import BanyanseamError
from banyanseam.observe.events import Event

DOCS = Path(__file__).resolve().parent.parent.parent / "docs"
ERRORS = DOCS / "ERRORS.md"
EVENTS = DOCS / "EVENTS.md"

ERRORS_HEAD = """# Errors

Every failure has a stable code. Callers find it in the problem details (RFC 9457) of
a response, operators in the log (where `event` is its number) and on the command line.
*Not run* tells whether a refusal may state that nothing was executed. This no longer
applies once the first byte was sent to an upstream, unless the upstream proved that it
did not start. A 5xx that may state it is sent as 503 with `retry-after`, whatever
its status here; a 408, 421, 429 or 503 that may not is sent as 502.

This page is generated from the code by `python -m tests.observe.catalogues`. Only the
remedies are written by hand. A test checks that the page is up to date.

| Code | Event | Status | Not run | Cause | Remedy |
| --- | --- | --- | --- | --- | --- |
"""

EVENTS_HEAD = """# Events

Each log line is one JSON object on standard error: `time`, `level`, `seat`, `event`
(the number), `message` and the fields of the event. Messages of libraries are logged as
events 2010 to 2012. No line contains a caller's key or body; text that looks like a
credential is replaced by `[redacted]`. Numbers: 1xxx failures (see
[ERRORS.md](ERRORS.md)), 2xxx life cycle, 3xxx requests, 4xxx peers, 5xxx configuration,
6xxx upstreams, 7xxx quota.

This page is generated from the code by `python -m tests.observe.catalogues`. Only the
last column is written by hand. A test checks that the page is up to date.

| Event | Level | Message | What to do |
| --- | --- | --- | --- |
"""


def import_everything() -> list[object]:
    """Import and return every module of the package."""
    found = pkgutil.walk_packages(banyanseam.__path__, "banyanseam.")
    return [importlib.import_module(module.name) for module in found]


def find_errors() -> list[type[BanyanseamError]]:
    """Return every subclass of BanyanseamError in order of event number."""
    import_everything()

    def walk(kind: type[BanyanseamError]) -> Iterator[type[BanyanseamError]]:
        if kind.__module__.startswith("banyanseam."):
            yield kind
        for child in kind.__subclasses__():
            yield from walk(child)

    # A dataclass with slots exists twice: the decorator creates a new class.
    unique = {
        f"{kind.__module__}.{kind.__name__}": kind for kind in walk(BanyanseamError)
    }
    return sorted(unique.values(), key=lambda kind: kind.event)


def find_events() -> list[Event]:
    """Return every event that a module of the package defines."""
    found = {
        id(value): value
        for module in import_everything()
        for value in vars(module).values()
        if isinstance(value, Event)
    }
    return sorted(found.values(), key=lambda event: event.number)


def read_hand_written(path: Path) -> dict[str, str]:
    """Return the last cell of each table row by its first cell."""
    if not path.exists():
        return {}
    rows = {}
    for line in path.read_text().splitlines():
        if not line.startswith("| "):
            continue
        cells = [cell.strip() for cell in line[1:-1].split("|")]
        rows[cells[0].strip("`")] = cells[-1]
    return rows


def describe_cause(kind: type[BanyanseamError]) -> str:
    """Return the first paragraph of the class docstring."""
    paragraph = (kind.__doc__ or "").strip().split("\n\n")[0]
    return " ".join(paragraph.split()).replace("|", "/")


def render_errors(remedies: dict[str, str]) -> str:
    """Render the errors page."""
    rows = (
        f"| `{kind.code}` | {kind.event} | {kind.status} "
        f"| {'yes' if kind.not_run else 'no'} | {describe_cause(kind)} "
        f"| {remedies.get(kind.code, '')} |"
        for kind in find_errors()
    )
    return ERRORS_HEAD + "\n".join(rows) + "\n"


def render_events(remedies: dict[str, str]) -> str:
    """Render the events page."""
    rows = (
        f"| {event.number} | {event.level} | {event.message} "
        f"| {remedies.get(str(event.number), '')} |"
        for event in find_events()
    )
    return EVENTS_HEAD + "\n".join(rows) + "\n"


def main() -> None:
    """Regenerate both pages."""
    ERRORS.write_text(render_errors(read_hand_written(ERRORS)))
    EVENTS.write_text(render_events(read_hand_written(EVENTS)))


if __name__ == "__main__":
    main()
