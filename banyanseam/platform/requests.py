"""Convert requests and answers from and to the platform's format."""

import json
from collections.abc import Iterable
from typing import Annotated, Any, Final

from pydantic import BaseModel, ConfigDict, Field, StrictInt, ValidationError

from banyanseam.entry.models import (
    AnswerHead,
    Headers,
    PrefixSegment,
    Prompt,
    RequestHead,
    SendMetadata,
)
from banyanseam.errors import Problem
from banyanseam.pipe.errors import RequestMalformed
from banyanseam.platform.documents import MAX_START_MS, digest_key
from banyanseam.platform.wire import (
    BRITTLE,
    DEADLINE,
    EXPECT_INSTANCE,
    LAST_EVENT_ID,
    LEAVING,
    NOT_EXECUTED,
    PREFIX,
    PRIORITY,
    REQUEST_ID,
    REQUEST_LIMIT,
    RESUMES,
    SIGNATURE,
    SINGLE_HEADERS,
    SYSTEM_HEADERS,
    TENANT,
    USAGE,
)

_BEARER: Final = b"bearer "
_MAX_URGENCY: Final = 9
_CONNECTION_HEADERS: Final = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


class _Report(BaseModel):
    model_config = ConfigDict(extra="ignore")

    born: Annotated[StrictInt, Field(ge=0, le=MAX_START_MS)]


def read_request(
    method: str, path: str, target: bytes, headers: Headers
) -> RequestHead:
    """Decode a caller's request; raise RequestMalformed."""
    single: dict[bytes, bytes] = {}
    for name, value in headers:
        if name in SINGLE_HEADERS and name in single:
            raise RequestMalformed(f"more than one {name.decode()} header")
        single[name] = value
    request_id = single.get(REQUEST_ID, b"").decode("latin-1")
    if not request_id:
        raise RequestMalformed("the request has no id")
    return RequestHead(
        request_id=request_id,
        method=method,
        host=single.get(b"host", b"").decode("latin-1").lower(),
        path=path,
        target=target,
        key_digest=_read_key(single.get(b"authorization")),
        deadline_ms=_read_number(single.get(DEADLINE)),
        prompt=_read_prompt(single.get(USAGE), single.get(PREFIX)),
        last_event_id=_read_text(single.get(LAST_EVENT_ID)),
        begun_as=_read_text(single.get(RESUMES)),
        headers=_filter_headers(headers, SYSTEM_HEADERS | {LAST_EVENT_ID}),
    )


def write_headers(head: RequestHead, metadata: SendMetadata) -> Headers:
    """Return the headers that go to an upstream, without the body's length."""
    headers = list(head.headers)
    headers.append((DEADLINE, str(max(1, metadata.left_ms)).encode()))
    if metadata.upstream_id is not None:
        headers.append((EXPECT_INSTANCE, metadata.upstream_id.encode()))
    if metadata.organisation is not None:
        headers.append((TENANT, metadata.organisation.encode()))
    if head.prompt is not None:
        urgency = min(max(metadata.urgency, 0), _MAX_URGENCY)
        headers.append((PRIORITY, str(urgency).encode()))
    if metadata.last_event_id is not None:
        headers.append((LAST_EVENT_ID, metadata.last_event_id.encode("latin-1")))
    return headers


def read_answer(status: int, headers: Iterable[tuple[bytes, bytes]]) -> AnswerHead:
    """Decode an upstream's status and headers."""
    lowered = [(name.lower(), value) for name, value in headers]
    by_name = dict(lowered)
    request_id = by_name.get(REQUEST_ID)
    encoding = by_name.get(b"content-encoding", b"identity").strip().lower()
    length_bytes = _read_number(by_name.get(b"content-length"))
    pause_s = _read_decimal(by_name.get(b"retry-after"))
    is_refusal = status in (400, 421, 429, 503) and NOT_EXECUTED in by_name
    return AnswerHead(
        status=status,
        request_id=None if request_id is None else request_id.decode("latin-1"),
        is_signed=SIGNATURE in by_name,
        is_encoded=encoding != b"identity",
        is_surely_not_run=is_refusal or status == 421,
        is_leaving=by_name.get(LEAVING, b"").strip() == b"1",
        pause_s=pause_s if status == 503 and pause_s is not None else 0.0,
        limit_per_s=_read_decimal(by_name.get(REQUEST_LIMIT)),
        brittle_per_s=_read_number(by_name.get(BRITTLE, b"").strip()),
        length_bytes=length_bytes,
        is_framed=length_bytes is not None or b"transfer-encoding" in by_name,
        headers=_filter_headers(lowered, frozenset({NOT_EXECUTED})),
    )


def read_start(status: int, body: bytes) -> int | None:
    """Return the start that an upstream's report names, None if it is no report."""
    if status != 200:
        return None
    try:
        return _Report.model_validate_json(body).born
    except ValidationError:
        return None


def write_refusal(problem: Problem, left_ms: float | None) -> tuple[Headers, bytes]:
    """Return headers and body for an error of the gateway itself.

    `retry-after` is not capped: callers wait at most a third of their remaining time,
    so they shorten a longer value themselves.
    """
    body = problem.model_dump_json(exclude_none=True).encode()
    headers = [
        (b"content-type", b"application/problem+json"),
        (b"content-length", str(len(body)).encode()),
        (REQUEST_ID, problem.request_id.encode("latin-1")),
    ]
    if problem.retry_after_ms is not None:
        retry_after_s = problem.retry_after_ms / 1000
        headers.append((b"retry-after", f"{retry_after_s:.3f}".encode()))
    return headers, body


def write_addresses(addresses: list[str], validity_s: int) -> bytes:
    """Return the body that lists the VMs for a caller to use."""
    return json.dumps({"addresses": addresses, "ttl_s": validity_s}).encode()


def read_resolve_query(query: dict[str, list[str]]) -> tuple[str, str]:
    """Return the region and data centre of a caller that asks for VMs to use."""
    return query.get("region", [""])[0], query.get("zone", [""])[0]


def _read_key(value: bytes | None) -> bytes | None:
    if value is None or value[: len(_BEARER)].lower() != _BEARER:
        return None
    return digest_key(value[len(_BEARER) :].strip())


def _read_text(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")


def _read_number(value: bytes | None) -> int | None:
    if value is None or not value.isdigit() or len(value) > 12:
        return None
    return int(value)


def _read_decimal(value: bytes | None) -> float | None:
    """Return a number, possibly with a fraction; None if it is not one."""
    if value is None:
        return None
    whole, point, fraction = value.strip().partition(b".")
    if not whole.isdigit() or (point and not fraction.isdigit()):
        return None
    return float(value)


def _read_prompt(usage: bytes | None, prefix: bytes | None) -> Prompt | None:
    if usage is None:
        return None
    numbers = [_read_number(part.strip()) for part in usage.split(b",")]
    if len(numbers) != 2 or None in numbers:
        raise RequestMalformed("the token counts are not two numbers")
    return Prompt(numbers[0], numbers[1], tuple(_read_segments(prefix or b"")))


def _read_segments(prefix: bytes) -> Iterable[PrefixSegment]:
    for entry in prefix.split(b","):
        segment_id, _, tokens = entry.strip().partition(b":")
        count = _read_number(tokens)
        if segment_id and count is not None:
            yield PrefixSegment(segment_id.decode("latin-1"), count)


def _filter_headers(headers: Headers, dropped: frozenset[bytes]) -> Headers:
    connection_options: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            connection_options |= {part.strip().lower() for part in value.split(b",")}
    end_to_end: list[Any] = [
        (name, value)
        for name, value in headers
        if name not in _CONNECTION_HEADERS
        and name not in dropped
        and name not in connection_options
    ]
    return end_to_end
