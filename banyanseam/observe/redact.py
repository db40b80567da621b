"""Redacts secrets from text that leaves the process."""

import json
import re
from collections.abc import Callable, Iterable
from typing import Any, Final

REDACTED: Final = "[redacted]"
# Takes and returns JSON values. Text is redacted before it is encoded as JSON, since a
# pattern could otherwise match JSON quotes and commas as a part of a secret.
Redact = Callable[[Any], Any]
ToJson = Callable[[Any], str]

_CREDENTIAL_NAMES: Final = frozenset({"authorization", "cookie", "x-api-key"})
_CREDENTIAL: Final = r"[A-Za-z0-9_.~+/=-]{4,}"
# A key in the format of `banyanseam key new`.
_KEY: Final = r"\bby-[A-Za-z0-9_-]{40,}"
# Credentials after the scheme `bearer`, or after the name of a credential header.
_BEARER: Final = rf"(?i:\bbearer\s+){_CREDENTIAL}"
_HEADER: Final = (
    rf"(?i:\b(?:{'|'.join(sorted(_CREDENTIAL_NAMES))})\b[\\'\"]*\s*[:=,]\s*+(?:b?[\\'\"]+)?+"
    rf"(?:(?:bearer|basic)\s+)?+){_CREDENTIAL}"
)


def make_redact(secrets: Iterable[str] = ()) -> Redact:
    """Return a function that redacts these secrets and whatever looks like a key."""
    # Longest first, since one secret may be a prefix of another.
    literals = map(re.escape, sorted(_list_forms(secrets), key=len, reverse=True))
    pattern = re.compile("|".join([*literals, _KEY, _HEADER, _BEARER]))

    def redact(value: Any) -> Any:
        if isinstance(value, str):
            return pattern.sub(REDACTED, value)
        if isinstance(value, dict):
            return {redact(name): redact_field(name, value[name]) for name in value}
        if isinstance(value, list | tuple):
            return [redact(each) for each in value]
        if value is None or isinstance(value, bool | int | float):
            return value
        return redact(str(value))

    def redact_field(name: Any, value: Any) -> Any:
        is_credential = str(name).lower() in _CREDENTIAL_NAMES
        return REDACTED if is_credential else redact(value)

    return redact


def make_to_json(secrets: Iterable[str] = ()) -> ToJson:
    """Return a function that encodes a value as JSON without secrets."""
    secrets = list(secrets)
    redact = make_redact(secrets)
    forms = [form.lower() for form in _list_forms(secrets)]
    markers = [*forms, "by-", "bearer", *_CREDENTIAL_NAMES]

    def to_json(value: Any) -> str:
        text = json.dumps(value, default=str)
        lowered = text.lower()
        # Fast path: every request logs a line, and few contain anything to redact.
        for marker in markers:
            if marker in lowered:
                return json.dumps(redact(value))
        return text

    return to_json


def _list_forms(secrets: Iterable[str]) -> set[str]:
    """Return each secret verbatim and as it appears escaped inside a JSON string."""
    return {form for secret in secrets for form in (secret, json.dumps(secret)[1:-1])}
