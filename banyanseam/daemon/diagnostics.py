"""Diagnostics bundle of a daemon for support, without secrets."""

import hashlib
import json
import platform
import sys
from importlib.metadata import PackageNotFoundError, version

from banyanseam.config.snapshot import Snapshot
from banyanseam.config.versions import era_of, revision_of
from banyanseam.daemon.components import DaemonComponents
from banyanseam.daemon.status import describe_status
from banyanseam.peers.const import PROTOCOL_VERSION
from banyanseam.server.operator_models import (
    ConfigDigest,
    DiagnosticsReply,
    ReleaseStatus,
    ValueDigest,
)


async def describe_diagnostics(daemon: DaemonComponents) -> DiagnosticsReply:
    """Return the diagnostics bundle.

    Secret settings are masked by their type, the configuration appears as digests only,
    and log lines were redacted when written. The whole bundle is redacted once more.
    """
    store = daemon.view.store
    reply = DiagnosticsReply(
        release=_describe_release(),
        settings=daemon.settings.model_dump(mode="json"),
        status=await describe_status(daemon),
        in_force=_digest_snapshot(store.in_force),
        newest=_digest_snapshot(store.newest),
        events=[json.loads(line) for line in daemon.logs.recent.list_lines()],
    )
    redacted = daemon.logs.to_json(reply.model_dump(mode="json"))
    return DiagnosticsReply.model_validate_json(redacted)


def _describe_release() -> ReleaseStatus:
    try:
        release = version("banyanseam")
    except PackageNotFoundError:
        release = "not installed"
    return ReleaseStatus(
        version=release,
        protocol=PROTOCOL_VERSION,
        python=platform.python_version(),
        platform=sys.platform,
    )


def _digest_snapshot(snapshot: Snapshot) -> ConfigDigest:
    values = {
        key: ValueDigest(
            revision=revision_of(value.revision),
            sha256_hex=hashlib.sha256(value.content).hexdigest(),
        )
        for key, value in sorted(snapshot.values.items())
    }
    whole = hashlib.sha256()
    for key, value in values.items():
        whole.update(f"{key} {value.sha256_hex}\n".encode())
    return ConfigDigest(
        version=revision_of(snapshot.version),
        era=era_of(snapshot.version),
        sha256_hex=whole.hexdigest(),
        values=values,
    )
