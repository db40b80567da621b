"""The command that tells the story of one request from log files."""

from pathlib import Path
from typing import Any

import click

from banyanseam.cli.errors import RequestNotInLogs, UnreadableFile
from banyanseam.cli.output import emit, json_option
from banyanseam.observe.log_files import iterate_lines
from banyanseam.observe.story import Belief, Step, Story

# Fields that stand in a step's first line or in every line.
_SHOWN_BY_ITSELF = {"level", "request_id"}


@click.command("explain-log", short_help="Tell a request's story from log files.")
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(path_type=Path, dir_okay=False)
)
@click.option("--request", "request_id", required=True, help="The request's id.")
@json_option
def explain_log(files: tuple[Path, ...], request_id: str, as_json: bool) -> None:
    """Tell what became of a request, from the logs of all VMs.

    Each step stands with what its VM believed then, and for how long: the
    configuration, the state of the upstream, peers that were not heard. Steps of a VM
    to which the request was handed over stand below that. Files may be of any size;
    those of one VM are named in the order in which they were written.
    """
    story = Story(request_id)
    with click.progressbar(
        length=_count_bytes(files),
        label="Reading",
        file=click.get_text_stream("stderr"),
    ) as bar:
        for path in files:
            _read(path, story, bar.update)
    steps = story.tell()
    if not steps:
        raise RequestNotInLogs(f"{request_id}: no line in {len(files)} files")
    value = {
        "request_id": request_id,
        "steps": [_to_json(step) for step in steps],
        "left_out": story.left_out,
    }
    emit(value, as_json, lambda: _to_text(steps, story.left_out))


def _count_bytes(files: tuple[Path, ...]) -> int:
    try:
        return sum(path.stat().st_size for path in files)
    except OSError as error:
        raise UnreadableFile(str(error)) from error


def _read(path: Path, story: Story, note_bytes: Any) -> None:
    unreported = 0

    def count(size: int) -> None:
        nonlocal unreported
        unreported += size
        if unreported >= 1_000_000:
            note_bytes(unreported)
            unreported = 0

    try:
        for line in iterate_lines(path, count):
            story.take(line)
    except OSError as error:
        raise UnreadableFile(f"{path}: {error}") from error
    note_bytes(unreported)


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
            for each in step.beliefs
        ],
    }


def _to_text(steps: list[Step], left_out: int) -> str:
    lines = []
    told: dict[str, set[str]] = {}
    for step in steps:
        indent = "  " * step.depth
        at = step.line.at.strftime("%H:%M:%S.%f")[:-3]
        lines.append(
            f"{indent}{at} {step.line.vm} {step.line.event} {step.line.message}"
        )
        fields = {
            name: value
            for name, value in step.line.fields.items()
            if name not in _SHOWN_BY_ITSELF
        }
        lines.append(f"{indent}    {_join(fields)}")
        known = told.setdefault(step.line.vm, set())
        for belief in step.beliefs:
            # A belief is told once a VM: it has only grown older since.
            text = f"{belief.message} ({_join(belief.fields)})"
            if text not in known:
                known.add(text)
                lines.append(f"{indent}    believed {_describe_age(belief)}: {text}")
    if left_out:
        lines.append(f"{left_out} more lines of this request are left out")
    return "\n".join(lines)


def _join(fields: dict[str, Any]) -> str:
    return ", ".join(
        f"{name}={value}" for name, value in fields.items() if name != "level"
    )


def _describe_age(belief: Belief) -> str:
    return f"for {belief.age_ms / 1000:.3f} s"
