"""Forwarding one request to a daemon of the region that serves it.

The answer flows back as casts on the same link. The daemon that holds the caller
grants credit in bytes, so that a slow reader stalls only its own stream.
"""

from typing import Literal

from banyanseam.peers.messages import Message


class ForwardOpen(Message):
    """A request, with what the forwarding daemon found out about it."""

    kind = "forward.open"

    stream: int
    request_id: str
    method: str
    path: str
    raw_path: bytes
    query: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    key_digest: bytes | None
    organisation: str | None
    route: str
    # None allows every region.
    regions: list[str] | None
    remaining_ms: int
    may_have_run: bool
    is_granted: bool
    credit_bytes: int


class ForwardHead(Message):
    """The status and headers of the answer."""

    kind = "forward.head"

    stream: int
    status: int
    headers: list[tuple[bytes, bytes]]


class ForwardData(Message):
    """A part of the answer's body."""

    kind = "forward.data"

    stream: int
    data: bytes


class ForwardEnd(Message):
    """The last message of a stream: whole, or failed with a code.

    `upstream_started` says whether any byte of the request went to an upstream.
    """

    kind = "forward.end"

    stream: int
    outcome: Literal["whole", "failed"]
    code: str = ""
    detail: str = ""
    status: int = 502
    not_run: bool = False
    retry_after_ms: int | None = None
    upstream_started: bool
    upstream: str | None = None
    prompt_tokens: int | None = None
    output_tokens: int | None = None
    cached_tokens: int = 0


class ForwardCredit(Message):
    """The forwarding daemon has room for so many more bytes."""

    kind = "forward.credit"

    stream: int
    credit_bytes: int


class ForwardCancel(Message):
    """The caller is gone; the answer is not wanted any more."""

    kind = "forward.cancel"

    stream: int
