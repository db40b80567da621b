"""One request on its way through this process."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from banyanseam.entry.models import (
    Catalogue,
    Forwarding,
    Headers,
    Organisation,
    RequestHead,
    Route,
)
from banyanseam.server.reply import AsgiSend


class Reply:
    """The answer to the caller, as far as it has gone out."""

    def __init__(self, send: AsgiSend, close: bool) -> None:
        """Begin with nothing sent; `close` ends the connection after the answer."""
        self.is_started = False
        self.first_sent_s: float | None = None
        self.status = 0
        # What is said beside the answer's own headers, asked for when it begins.
        self.list_extra_headers: Callable[[], Headers] = list
        self._send = send
        self._close = close

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers."""
        self.is_started = True
        self.status = status
        headers = [*headers, *self.list_extra_headers()]
        if self._close:
            headers.append((b"connection", b"close"))
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def write(self, data: bytes) -> None:
        """Send a part of the body; wait while the caller reads slowly."""
        if self.first_sent_s is None:
            self.first_sent_s = anyio.current_time()
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self, data: bytes = b"") -> None:
        """Send the last part of a whole answer."""
        if self.first_sent_s is None:
            self.first_sent_s = anyio.current_time()
        await self._send({"type": "http.response.body", "body": data})


@dataclass(slots=True)
class Exchange:
    """A request, what is known of it, and what has become of it."""

    head: RequestHead
    body: bytes
    received_s: float
    deadline_s: float
    catalogue: Catalogue
    route: Route
    organisation: Organisation | None
    service: str
    reply: Reply
    # Set when a peer of another region has handed the request over.
    forwarding: Forwarding | None = None
    cost: float = 0.0
    suspect: int = 0
    # How often it was sent, and whether it may have run because of that.
    sends: int = 0
    may_have_run: bool = False
    # Whether it may have run because of sends before the last one.
    was_in_doubt: bool = False
    # The number of the last event that went to the caller.
    last_event: int | None = None
    unreachable: set[str] = field(default_factory=set)
    tried: list[str] = field(default_factory=list)

    def left_ms(self, now_s: float) -> float:
        """Return the time that is left until an answer is of no use."""
        return (self.deadline_s - now_s) * 1000

    def deadline_left_ms(self) -> float:
        """Return the time that is left now."""
        return self.left_ms(anyio.current_time())

    @property
    def max_attempts(self) -> int:
        """Return to how many upstreams this process may send it."""
        if self.forwarding is not None:
            return min(self.route.max_attempts, self.forwarding.max_attempts)
        return self.route.max_attempts

    @property
    def attempts_left(self) -> int:
        """Return how often it may still be sent; one that comes so far goes out."""
        return max(1, self.max_attempts - self.sends)

    @property
    def urgency(self) -> int:
        """Return the rank among others; 0 is the most urgent."""
        if self.organisation is not None and self.organisation.urgency is not None:
            return self.organisation.urgency
        return self.route.urgency

    @property
    def is_resumed(self) -> bool:
        """Say whether the caller has a part of the answer already."""
        return self.last_event is not None or self.head.last_event_id is not None

    @property
    def may_go_on(self) -> bool:
        """Say whether another run may follow one that may have run."""
        if not self.route.is_idempotent:
            return False
        if not self.reply.is_started:
            return True
        # Who handed it over was told the sends up to the answer's begin, and sends on.
        return self.route.is_resumable and self.forwarding is None

    def allowed_regions(self, regions: set[str]) -> set[str]:
        """Return the regions where route and organisation let it be served."""
        allowed = set(regions)
        if self.route.home_regions:
            allowed &= self.route.home_regions
        if self.organisation is not None and self.organisation.home_regions:
            allowed &= self.organisation.home_regions
        return allowed
