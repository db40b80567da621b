"""Private HTTP headers with which one entry daemon forwards a request to another.

HTTP already provides requests, their cancellation and streamed answers, so forwarding
uses it instead of a message protocol of its own.
"""

from typing import Final
from urllib.parse import quote, unquote

from banyanseam.entry.exchange import Exchange
from banyanseam.entry.models import Forwarding, Headers, StreamOrigin
from banyanseam.errors import Problem
from banyanseam.pipe.errors import ForwardFailed, RequestMalformed

ORGANISATION: Final = b"x-banyanseam-organisation"
SENDER: Final = b"x-banyanseam-sender"
LEFT_MS: Final = b"x-banyanseam-left-ms"
ATTEMPTS: Final = b"x-banyanseam-attempts"
CONFIG_VERSION: Final = b"x-banyanseam-config-version"
KEY_DIGEST: Final = b"x-banyanseam-key-digest"
TRIAL: Final = b"x-banyanseam-trial"
FAILURE: Final = b"x-banyanseam-failure"
SENDS: Final = b"x-banyanseam-sends"
# Of a request: where the stream began that is to go on. Of an answer: who serves it.
ORIGIN: Final = b"x-banyanseam-origin"
PREFIX: Final = b"x-banyanseam-"
# Of a start in Unix milliseconds.
MAX_START_DIGITS: Final = 16


def write_forwarding(exchange: Exchange, sender_ip: str) -> Headers:
    """Return the headers that are added to a request for a peer."""
    left_ms = max(1, int(exchange.deadline_left_ms()))
    headers = [
        (SENDER, sender_ip.encode()),
        (LEFT_MS, str(left_ms).encode()),
        (ATTEMPTS, str(exchange.attempts_left).encode()),
        (CONFIG_VERSION, str(exchange.catalogue.version).encode()),
    ]
    if exchange.is_trial:
        headers.append((TRIAL, b"1"))
    if exchange.origin is not None:
        headers.append((ORIGIN, _encode_origin(exchange.origin)))
    if exchange.organisation is not None:
        headers.append((ORGANISATION, exchange.organisation.name.encode()))
        if exchange.head.key_digest is not None:
            headers.append((KEY_DIGEST, exchange.head.key_digest.hex().encode()))
    return headers


def read_forwarding(headers: Headers) -> Forwarding:
    """Parse the headers of a forwarded request; raise RequestMalformed."""
    by_name = dict(headers)
    left_ms, attempts = by_name.get(LEFT_MS, b""), by_name.get(ATTEMPTS, b"")
    if not (left_ms.isdigit() and attempts.isdigit() and SENDER in by_name):
        raise RequestMalformed("headers of a forwarded request are missing or invalid")
    organisation = by_name.get(ORGANISATION)
    # Senders of an older release do not name their version.
    version = by_name.get(CONFIG_VERSION, b"")
    return Forwarding(
        organisation=None if organisation is None else organisation.decode(),
        sender_ip=by_name[SENDER].decode("latin-1"),
        left_ms=int(left_ms),
        max_attempts=int(attempts),
        config_version=int(version) if version.isdigit() else 0,
        key_digest=_read_hex(by_name.get(KEY_DIGEST)),
        is_trial=TRIAL in by_name,
        origin=_decode_origin(by_name.get(ORIGIN)),
    )


def _read_hex(value: bytes | None) -> bytes | None:
    if value is None:
        return None
    try:
        return bytes.fromhex(value.decode("ascii"))
    except ValueError as error:
        raise RequestMalformed("a header of a forwarded request is no hex") from error


def strip_peer_headers(headers: Headers) -> Headers:
    """Return the headers without private ones, which no caller may set."""
    return [header for header in headers if not header[0].startswith(PREFIX)]


def write_progress(sends: int, served_by: StreamOrigin | None) -> Headers:
    """Return the headers that report the sends so far, and to whom the last went."""
    headers = [(SENDS, str(sends).encode())]
    if served_by is not None:
        headers.append((ORIGIN, _encode_origin(served_by)))
    return headers


def read_served_by(headers: Headers) -> StreamOrigin | None:
    """Return the upstream that a peer names; one of an older release names none."""
    return _decode_origin({name.lower(): value for name, value in headers}.get(ORIGIN))


def _encode_origin(origin: StreamOrigin) -> bytes:
    software = "" if origin.software is None else f"={quote(origin.software, safe='')}"
    service, upstream_id = quote(origin.service, safe=""), origin.upstream_id
    return f"{service} {software} {upstream_id} {origin.started_ms}".encode("latin-1")


def _decode_origin(value: bytes | None) -> StreamOrigin | None:
    parts = (value or b"").split(b" ")
    if len(parts) != 4 or not parts[3].isdigit() or len(parts[3]) > MAX_START_DIGITS:
        return None
    service, software, upstream_id = (part.decode("latin-1") for part in parts[:3])
    return StreamOrigin(
        unquote(service),
        unquote(software[1:]) if software else None,
        upstream_id,
        int(parts[3]),
    )


def read_sends(headers: Headers) -> int | None:
    """Return the sends to upstreams that a peer reports, if it reports any."""
    value = {name.lower(): value for name, value in headers}.get(SENDS, b"")
    return int(value) if value.isdigit() else None


def write_peer_failure(problem: Problem) -> Headers:
    """Return the header that tells this daemon's error from an upstream's answer."""
    outcome = "not-run" if problem.not_run else "unknown"
    retry_after_ms = problem.retry_after_ms or 0
    value = f"{outcome} {problem.status} {retry_after_ms} {problem.code}"
    return [(FAILURE, value.encode())]


def read_peer_failure(headers: Headers, status: int) -> ForwardFailed | None:
    """Return the peer's own error, or None if it relays an upstream's answer."""
    value = {name.lower(): value for name, value in headers}.get(FAILURE)
    if value is None:
        return None
    outcome, _, rest = value.decode("latin-1").partition(" ")
    parts = rest.split(" ")
    retry_after_ms = int(parts[1]) if len(parts) > 1 and parts[1].isdigit() else 0
    return ForwardFailed(
        parts[-1],
        "the peer could not serve the request",
        status,
        not_run=outcome == "not-run",
        retry_after_ms=retry_after_ms or None,
    )
