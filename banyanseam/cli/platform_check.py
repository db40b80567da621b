"""The command that checks the documents of the users' platform."""

from dataclasses import asdict
from pathlib import Path

import click

from banyanseam.cli.errors import UnreadableFile
from banyanseam.cli.output import emit, json_option
from banyanseam.platform.check import Checked, check_config, check_settings


@click.command("check-platform")
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
@json_option
def check_platform(files: tuple[Path, ...], as_json: bool) -> None:
    """Accept or refuse the platform's documents, just as the entry daemon would.

    A file that ends in .toml is a process's settings, any other one a published
    configuration. The first wrong field is named, with the reason. Fields that this
    version does not read are listed: the daemon passes them over.
    """
    checked = {str(path): _check(path) for path in files}
    value = {path: {"valid": True} | asdict(each) for path, each in checked.items()}
    lines = [line for path, each in checked.items() for line in _to_lines(path, each)]
    emit(value, as_json, lambda: "\n".join(lines))


def _check(path: Path) -> Checked:
    if path.suffix == ".toml":
        return check_settings(path)
    try:
        value = path.read_bytes()
    except OSError as error:
        raise UnreadableFile(f"{path}: {error}") from error
    return check_config(value)


def _to_lines(path: str, checked: Checked) -> list[str]:
    counts = ", ".join(f"{name} {value}" for name, value in checked.counts.items())
    lines = [f"{path}: valid {checked.kind}: {counts}"]
    if checked.passed_over:
        lines.append(f"  passed over: {', '.join(checked.passed_over)}")
    lines += [f"  doubtful: {doubt}" for doubt in checked.doubts]
    return lines
