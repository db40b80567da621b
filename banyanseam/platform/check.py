"""Check the platform's documents before a daemon reads them."""

import json
import tomllib
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, get_args

from pydantic import BaseModel, ValidationError

from banyanseam.config.errors import InvalidConfig
from banyanseam.platform.documents import ConfigDocument, decode_config
from banyanseam.platform.settings import SettingsDocument, read_settings


@dataclass(slots=True)
class CheckReport:
    """The result of checking a document."""

    kind: str
    counts: dict[str, int | str]
    # Fields that daemons of this version do not read.
    ignored_fields: list[str] = field(default_factory=list)
    # Contents that are valid but probably not intended.
    warnings: list[str] = field(default_factory=list)
    # Differences from the configuration in force, None if it was not given.
    changes: list[str] | None = None

    def to_lines(self) -> list[str]:
        """Return the result as text for operators."""
        counts = ", ".join(f"{name} {value}" for name, value in self.counts.items())
        lines = [f"valid {self.kind}: {counts}"]
        if self.ignored_fields:
            lines.append(f"  ignored fields: {', '.join(self.ignored_fields)}")
        lines += [f"  warning: {warning}" for warning in self.warnings]
        if self.changes == []:
            lines.append("  changes nothing")
        return lines + [f"  change: {change}" for change in self.changes or ()]


def read_value(path: Path) -> bytes:
    """Return a file's content; raise InvalidConfig."""
    try:
        return path.read_bytes()
    except OSError as error:
        raise InvalidConfig(str(path), str(error)) from error


def check_settings(path: Path) -> CheckReport:
    """Check a process's settings; raise InvalidSettings."""
    settings = read_settings(path)
    document = tomllib.loads(path.read_text())
    report = CheckReport("settings", {"vm": settings.vm, "region": settings.region})
    report.ignored_fields = sorted(_find_unknown(SettingsDocument, document, ""))
    if settings.regions.get(settings.data_centre) != settings.region:
        report.warnings.append(
            f"data centre {settings.data_centre} is not listed in {settings.region}"
        )
    if not settings.first_peers:
        report.warnings.append(
            "no first peers: this VM cannot find other VMs by itself"
        )
    return report


def check_config(value: bytes) -> CheckReport:
    """Check a published configuration's fields; raise InvalidConfig."""
    catalogue = decode_config(value)
    document = ConfigDocument.model_validate_json(value)
    report = CheckReport(
        "configuration",
        {
            "version": catalogue.version,
            "routes": len(document.routes),
            "services": len(catalogue.services),
            "organisations": len(catalogue.organisations),
        },
    )
    unknown = _find_unknown(ConfigDocument, json.loads(value), "")
    report.ignored_fields = sorted(set(unknown))
    keys = [key for tenant in document.tenants for key in tenant.api_keys]
    if len(keys) != len(set(keys)):
        report.warnings.append("a key is given twice; the later one is used")
    for kind, entries in (
        ("service", document.services),
        ("organisation", document.tenants),
    ):
        counts = Counter(each.name for each in entries)
        for name in sorted(name for name, count in counts.items() if count > 1):
            report.warnings.append(
                f"{kind} {name} is defined twice; the later one is used"
            )
    return report


def list_errors(value: bytes) -> list[str]:
    """Return each field of a configuration that a daemon refuses, with the reason."""
    try:
        ConfigDocument.model_validate_json(value)
    except ValidationError as error:
        return [
            f"{'.'.join(str(part) for part in each['loc']) or '$'}: {each['msg']}"
            for each in error.errors(include_input=False, include_url=False)
        ]
    return []


def _find_unknown(
    model: type[BaseModel], document: dict[str, Any], path: str
) -> Iterator[str]:
    """Yield the paths of fields that a model does not read; lists show as []."""
    for name, value in document.items():
        known = model.model_fields.get(name)
        if known is None:
            yield f"{path}{name}"
            continue
        nested = _find_model(known.annotation)
        if nested is None:
            continue
        if isinstance(value, dict):
            yield from _find_unknown(nested, value, f"{path}{name}.")
        elif isinstance(value, list):
            for each in value:
                yield from _find_unknown(nested, each, f"{path}{name}[].")


def _find_model(annotation: Any) -> type[BaseModel] | None:
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    found = (_find_model(each) for each in get_args(annotation))
    return next((model for model in found if model is not None), None)
