"""What passes through the filters: one exchange with one caller."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

from banyanseam.config.compiled import Organisation, Route
from banyanseam.peers.messages import PeerIdentity
from banyanseam.upstreams.models import Grant

Headers = list[tuple[bytes, bytes]]


class ReplySink(Protocol):
    """Where the answer goes: the caller's connection or the daemon that forwarded."""

    # True from the moment that the status was handed to the sink.
    started: bool
    # When the first part of the body was handed to the sink.
    first_sent_s: float | None

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status line and headers; may wait for a slow reader."""
        ...

    async def send(self, data: bytes) -> None:
        """Send a part of the body; may wait for a slow reader."""
        ...


@dataclass(frozen=True, slots=True)
class Cost:
    """What a request may use at most, in tokens."""

    prompt_tokens: int
    max_output_tokens: int

    @property
    def total_tokens(self) -> int:
        """Return the whole that quota and upstream memory are charged."""
        return self.prompt_tokens + self.max_output_tokens


@dataclass(slots=True)
class Usage:
    """What a request used in fact; None where the upstream did not say."""

    prompt_tokens: int | None = None
    output_tokens: int | None = None
    cached_tokens: int = 0


@dataclass(slots=True)
class Exchange:
    """One request, what the filters found out about it, and its reply."""

    request_id: str
    method: str
    path: str
    query: bytes
    # Names in lower case; the caller's credentials are gone after `authenticate`.
    headers: Headers
    body: bytes
    received_s: float
    reply: ReplySink
    # The path as the caller sent it, with its percent-encoding.
    raw_path: bytes = b""
    # Set when another daemon of ours forwarded the request.
    forwarder: PeerIdentity | None = None
    key_digest: bytes | None = None
    organisation: Organisation | None = None
    route: Route | None = None
    # Where it may be served; None allows every region.
    regions: frozenset[str] | None = None
    deadline_s: float = 0.0
    model: str | None = None
    is_idempotent: bool = False
    fingerprint: str = ""
    cost: Cost = field(default_factory=lambda: Cost(0, 0))
    usage: Usage = field(default_factory=Usage)
    # True from the first byte written to an upstream: nothing may claim not run.
    upstream_started: bool = False
    # True while an earlier send of the same idempotency key may have run.
    may_have_run: bool = False
    # True where this daemon or the one that forwarded holds the key's one grant.
    is_granted: bool = False
    upstream: str | None = None
    # When an upstream's room was granted.
    granted_s: float | None = None
    # Room on that upstream, while the request holds some.
    grant: Grant | None = None
    # Upstreams that failed this request; another try goes elsewhere.
    avoided_upstreams: set[str] = field(default_factory=set)
    # Regions that could not be reached or proved that they did not run it.
    avoided_regions: set[str] = field(default_factory=set)

    @property
    def is_surely_not_run(self) -> bool:
        """Say whether a refusal may claim that nothing ran."""
        return not self.upstream_started and not self.may_have_run

    def find_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, by its name in lower case."""
        return next((value for key, value in self.headers if key == name), None)


Next = Callable[[Exchange], Awaitable[None]]
# A filter refuses by raising a BanyanseamError and passes on by awaiting `next_`.
Filter = Callable[[Exchange, Next], Awaitable[None]]


def compose(filters: list[Filter], last: Next) -> Next:
    """Join the filters, first one outermost, around the last step."""
    step = last
    for filter_ in reversed(filters):
        step = _bind(filter_, step)
    return step


def _bind(filter_: Filter, step: Next) -> Next:
    # A coroutine here would be one more to walk through whenever the request goes
    # on, which is once for each event of a stream.
    return lambda exchange: filter_(exchange, step)
