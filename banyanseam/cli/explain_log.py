"""The command that reconstructs the timeline of one request from log files."""

from pathlib import Path
from typing import Any

import click

from banyanseam.cli.errors import RequestNotInLogs, UnreadableFile
from banyanseam.cli.output import emit, json_option
from banyanseam.observe.log_files import iterate_lines
from banyanseam.observe.timeline import KnownState, RequestTimeline, Step

# Fields left out of a step's second line: the level, and the id that all steps share.
_OMITTED_FIELDS = {"level", "request_id"}


@click.command("explain-log", short_help="Show a request's timeline from log files.")
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(path_type=Path, dir_okay=False)
)
@click.option("--request", "request_id", required=True, help="The id of the request.")
@json_option
def explain_log(files: tuple[Path, ...], request_id: str, as_json: bool) -> None:
    """Show how a request was processed, from the logs of all VMs.

    Each step shows the state that its VM had recorded by then, and for how long: the
    configuration, the upstream's state, and peers without heartbeats. The steps of a
    VM that the request was forwarded to are indented below the forwarding step. Files
    may be of any size; name the files of one VM in the order they were written.
    """
    timeline = RequestTimeline(request_id)
    with click.progressbar(
        length=_count_bytes(files),
        label="Reading",
        file=click.get_text_stream("stderr"),
    ) as bar:
        for path in files:
            _read(path, timeline, bar.update)
    steps = timeline.list_steps()
    if not steps:
        raise RequestNotInLogs(
            f"{request_id}: found in none of the {len(files)} files; "
            "check the id and name the log files of all VMs"
        )
    value = {
        "request_id": request_id,
        "steps": [_to_json(step) for step in steps],
        "left_out": timeline.left_out,
    }
    emit(value, as_json, lambda: _format_steps(steps, timeline.left_out))


def _count_bytes(files: tuple[Path, ...]) -> int:
    try:
        return sum(path.stat().st_size for path in files)
    except OSError as error:
        raise UnreadableFile(str(error)) from error


def _read(path: Path, timeline: RequestTimeline, report_bytes: Any) -> None:
    unreported = 0

    def add_size(size: int) -> None:
        nonlocal unreported
        unreported += size
        if unreported >= 1_000_000:
            report_bytes(unreported)
            unreported = 0

    try:
        for line in iterate_lines(path, add_size):
            timeline.add_line(line)
    except OSError as error:
        raise UnreadableFile(f"{path}: {error}") from error
    report_bytes(unreported)


def _to_json(step: Step) -> dict[str, Any]:
    return {
        "vm": step.line.vm,
        "at": step.line.at.isoformat(),
        "event": step.line.event,
        "message": step.line.message,
        "depth": step.depth,
        "fields": step.line.fields,
        "beliefs": [
            {"message": each.message, "age_ms": each.age_ms, "fields": each.fields}
            for each in step.known_states
        ],
    }


def _format_steps(steps: list[Step], left_out: int) -> str:
    lines = []
    shown: dict[str, set[str]] = {}
    for step in steps:
        indent = "  " * step.depth
        at = step.line.at.strftime("%H:%M:%S.%f")[:-3]
        lines.append(
            f"{indent}{at} {step.line.vm} {step.line.event} {step.line.message}"
        )
        fields = {
            name: value
            for name, value in step.line.fields.items()
            if name not in _OMITTED_FIELDS
        }
        lines.append(f"{indent}    {_format_fields(fields)}")
        shown_states = shown.setdefault(step.line.vm, set())
        for known_state in step.known_states:
            # Shown once per VM: only the age changes in later steps.
            text = f"{known_state.message} ({_format_fields(known_state.fields)})"
            if text not in shown_states:
                shown_states.add(text)
                lines.append(f"{indent}    known {_format_age(known_state)}: {text}")
    if left_out:
        lines.append(f"{left_out} more lines of this request are not shown")
    return "\n".join(lines)


def _format_fields(fields: dict[str, Any]) -> str:
    return ", ".join(
        f"{name}={value}" for name, value in fields.items() if name != "level"
    )


def _format_age(known_state: KnownState) -> str:
    return f"for {known_state.age_ms / 1000:.3f} s"
