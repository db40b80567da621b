"""Messages that forward a request to a daemon of another region.

The answer is streamed back as casts on the same link. The forwarding daemon, which
has the caller's connection, grants credits in bytes, so that a slow reader stalls only
its own stream.
"""

from typing import Literal

from banyanseam.peers.messages import Message


class ForwardOpen(Message):
    """A request, with what the forwarding daemon has determined about it."""

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
    # True if an earlier request with the same idempotency key may have run.
    may_have_run: bool
    # True if the idempotency key is granted to the forwarding daemon, so that no other
    # may run a request with it.
    is_granted: bool
    credit_bytes: int
    # Version by which the forwarding daemon has admitted the request; 0 if it is of a
    # release that does not send it.
    config_version: int = 0


class ForwardHead(Message):
    """The status and headers of the answer."""

    kind = "forward.head"

    stream: int
    status: int
    headers: list[tuple[bytes, bytes]]


class ForwardData(Message):
    """A chunk of the answer body."""

    kind = "forward.data"

    stream: int
    data: bytes


class ForwardEnd(Message):
    """The last message of a stream: the answer is whole, or failed with a code.

    `upstream_started` is true if any byte of the request was sent to an upstream.
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
    """The forwarding daemon can buffer this many more bytes."""

    kind = "forward.credit"

    stream: int
    credit_bytes: int


class ForwardCancel(Message):
    """The answer is no longer needed, for example as the caller has disconnected."""

    kind = "forward.cancel"

    stream: int
