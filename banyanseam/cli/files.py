"""Reading and writing configuration files.

A set of documents is a base file and one file per site, named after its region, or a
folder with `base.json`, `sites/<region>.json` and, if the organisations are split into
shards, `organisations/<shard>.json`.
"""

import json
from pathlib import Path
from typing import Any

from banyanseam.cli.errors import UnreadableFile, UnwritableFile

Document = dict[str, Any]


def read_bytes(path: Path) -> bytes:
    """Return a file's content; raise UnreadableFile."""
    try:
        return path.read_bytes()
    except OSError as error:
        raise UnreadableFile(f"{path}: {error.strerror}") from error


def read_document(path: Path) -> Document:
    """Return a file's JSON object; raise UnreadableFile."""
    try:
        value = json.loads(read_bytes(path))
    except (ValueError, RecursionError) as error:
        raise UnreadableFile(f"{path}: not valid JSON: {error}") from error
    if not isinstance(value, dict):
        raise UnreadableFile(f"{path}: the top level must be a JSON object")
    return value


def read_documents(
    base: Path, overlays: tuple[Path, ...]
) -> tuple[Document, dict[str, Document]]:
    """Return the base and the overlays by region; raise UnreadableFile."""
    if base.is_dir():
        return _read_folder(base)
    regions: dict[str, Document] = {}
    for path in overlays:
        if path.stem in regions:
            raise UnreadableFile(
                f"{path}: more than one overlay for region {path.stem}; merge them"
            )
        regions[path.stem] = read_document(path)
    return read_document(base), regions


def write_text(path: Path, text: str) -> None:
    """Write a file and create its parent folders; raise UnwritableFile."""
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
    except OSError as error:
        raise UnwritableFile(f"{path}: {error.strerror}") from error


def write_values(folder: Path, values: dict[str, Document]) -> None:
    """Write each value to a file named after its key; raise UnwritableFile."""
    for key, value in values.items():
        text = json.dumps(value, indent=2, sort_keys=True) + "\n"
        write_text(folder / f"{key}.json", text)


def _read_folder(folder: Path) -> tuple[Document, dict[str, Document]]:
    base = read_document(folder / "base.json")
    organisations = dict(base.get("organisations", {}))
    for path in sorted((folder / "organisations").glob("*.json")):
        for name, organisation in read_document(path).items():
            if name in organisations:
                raise UnreadableFile(
                    f"{path}: organisation {name} is already defined in another file"
                )
            organisations[name] = organisation
    if organisations:
        base["organisations"] = organisations
    sites = sorted((folder / "sites").glob("*.json"))
    return base, {path.stem: read_document(path) for path in sites}
