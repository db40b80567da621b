"""The command that creates API keys for organisations."""

import hashlib
import json
import re
import secrets

import click

from banyanseam.cli.const import KEY_BYTES, KEY_PREFIX
from banyanseam.cli.output import emit, json_option
from banyanseam.config.models import NAME_PATTERN, KeyDigest
from banyanseam.config.split import shard_key_of
from banyanseam.config.validate import validate_document


@click.group("key")
def key_group() -> None:
    """Create API keys for callers."""


@key_group.command("new")
@click.argument("organisation")
@click.option(
    "--label",
    help="Name of the key within the organisation. Default: made from its digest.",
)
@json_option
def new(organisation: str, label: str | None, as_json: bool) -> None:
    """Print a new key and the configuration entry to publish for it.

    Only the entry goes into the configuration. The key is not stored anywhere and
    cannot be shown again.
    """
    if not re.fullmatch(NAME_PATTERN, organisation):
        raise click.BadParameter(
            "must be at most 63 lower-case letters, digits, '_', '.' or '-', and start "
            "with a letter or digit",
            param_hint="ORGANISATION",
        )
    key = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
    digest = hashlib.sha256(key.encode()).hexdigest()
    entry = {"sha256_hex": digest, "label": label or f"key-{digest[:8]}"}
    validate_document(KeyDigest, entry, "$.keys[0]")
    path = f"$.organisations.{organisation}.keys"
    value = {
        "organisation": organisation,
        "key": key,
        "entry": entry,
        "json_path": path,
        "published_in": shard_key_of(organisation),
    }
    emit(
        value,
        as_json,
        lambda: f"key    {key}\nentry  {json.dumps(entry)}\nadd to {path}",
    )
