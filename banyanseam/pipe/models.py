"""The data that passes through the filters: one exchange with one caller."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

from banyanseam.config.compiled import Organisation, Route
from banyanseam.peers.messages import PeerIdentity
from banyanseam.upstreams.models import Grant

Headers = list[tuple[bytes, bytes]]


class ReplySink(Protocol):
    """Destination of an answer: the caller's connection or the forwarding daemon."""

    # True once the status was passed to the sink.
    started: bool
    # Time at which the first chunk of the body was passed to the sink.
    first_sent_s: float | None

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status line and headers; may wait for a slow reader."""
        ...

    async def send(self, data: bytes) -> None:
        """Send a chunk of the body; may wait for a slow reader."""
        ...


@dataclass(frozen=True, slots=True)
class Cost:
    """Upper bound on the tokens that a request uses."""

    prompt_tokens: int
    max_output_tokens: int

    @property
    def total_tokens(self) -> int:
        """Return the sum that is charged to the quota and to upstream memory."""
        return self.prompt_tokens + self.max_output_tokens


@dataclass(slots=True)
class Usage:
    """Tokens that a request used; None where the upstream did not report them."""

    prompt_tokens: int | None = None
    output_tokens: int | None = None
    cached_tokens: int = 0


@dataclass(slots=True)
class Exchange:
    """One request, the state that the filters determined for it, and its reply."""

    request_id: str
    method: str
    path: str
    query: bytes
    # Names in lower case; `authenticate` removes the caller's credentials.
    headers: Headers
    body: bytes
    received_s: float
    reply: ReplySink
    # The path as the caller sent it, with its percent-encoding.
    raw_path: bytes = b""
    # Set if another daemon of this gateway forwarded the request.
    forwarder: PeerIdentity | None = None
    key_digest: bytes | None = None
    organisation: Organisation | None = None
    route: Route | None = None
    # Version of the configuration that the route was found in.
    config_version: int = 0
    # Regions that may serve the request; None allows every region.
    regions: frozenset[str] | None = None
    deadline_s: float = 0.0
    model: str | None = None
    is_idempotent: bool = False
    fingerprint: str = ""
    cost: Cost = field(default_factory=lambda: Cost(0, 0))
    usage: Usage = field(default_factory=Usage)
    # True from the first byte written to an upstream on; from then on no error may
    # claim `not_run`.
    upstream_started: bool = False
    # True while an earlier send of the same idempotency key may have run.
    may_have_run: bool = False
    # True if this daemon or the forwarding one holds the key's only grant.
    is_granted: bool = False
    upstream: str | None = None
    # Time at which capacity on an upstream was granted.
    granted_s: float | None = None
    # Capacity reserved on `upstream`, while the request holds it.
    grant: Grant | None = None
    # Upstreams that failed this request; the next attempt does not use them.
    avoided_upstreams: set[str] = field(default_factory=set)
    # Regions that were unreachable or proved that they did not run the request.
    avoided_regions: set[str] = field(default_factory=set)

    @property
    def is_surely_not_run(self) -> bool:
        """Return whether a refusal may claim that the request did not run."""
        return not self.upstream_started and not self.may_have_run

    def find_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, by its name in lower case."""
        return next((value for key, value in self.headers if key == name), None)


Next = Callable[[Exchange], Awaitable[None]]
# A filter rejects a request by raising a BanyanseamError, or awaits `next_`.
Filter = Callable[[Exchange, Next], Awaitable[None]]


def compose(filters: list[Filter], last: Next) -> Next:
    """Compose the filters around the last step; the first filter is the outermost."""
    step = last
    for filter_ in reversed(filters):
        step = _bind(filter_, step)
    return step


def _bind(filter_: Filter, step: Next) -> Next:
    # An `async def` would add a coroutine to the chain that is traversed whenever the
    # request resumes, which happens once for each event of a stream.
    return lambda exchange: filter_(exchange, step)
