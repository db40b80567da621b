"""State of a request and of its reply while this process serves it."""

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
    StreamOrigin,
)
from banyanseam.entry.scarcity.holding import HoldRule, choose_hold_rule
from banyanseam.server.reply import AsgiSend


class Reply:
    """Writes the answer to the caller and records how far it has got."""

    def __init__(self, send: AsgiSend, closes: Callable[[], bool]) -> None:
        """Start unsent; `closes` returns whether the answer ends its connection."""
        self.is_started = False
        self.first_sent_s: float | None = None
        self.status = 0
        # Returns headers to add to the answer's own; called when the answer begins.
        self.list_extra_headers: Callable[[], Headers] = list
        self._send = send
        self._closes = closes

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers."""
        self.is_started = True
        self.status = status
        headers = [*headers, *self.list_extra_headers()]
        if self._closes():
            headers.append((b"connection", b"close"))
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body; wait while the caller reads slowly."""
        if self.first_sent_s is None:
            self.first_sent_s = anyio.current_time()
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self, data: bytes = b"") -> None:
        """Send the last chunk and complete the answer."""
        if self.first_sent_s is None:
            self.first_sent_s = anyio.current_time()
        await self._send({"type": "http.response.body", "body": data})


@dataclass(slots=True)
class Exchange:
    """A request, its route and organisation, and the outcome of its sends so far."""

    head: RequestHead
    body: bytes
    received_s: float
    deadline_s: float
    catalogue: Catalogue
    route: Route
    organisation: Organisation | None
    service: str
    reply: Reply
    # Set when a peer of another region has forwarded the request.
    forwarding: Forwarding | None = None
    # Charged to the organisation's quota; refunded if the request has not run.
    cost: float = 0.0
    # Identifies the request and its repeats in crash records.
    fingerprint: int = 0
    # Number of crashes with which a trial of the suspected request began.
    trial_crashes: int | None = None
    # Hashes of the prompt segments that other requests may share.
    segment_keys: list[int] = field(default_factory=list)
    # Whether the caller has got the whole answer.
    is_answered: bool = False
    # Number of events that the last send has brought.
    events_of_send: int = 0
    # The upstream that the last send went to; None if a peer has not named it.
    sent_to: StreamOrigin | None = None
    # Where the stream began of which the caller has a part, and when; it may only go on
    # at the same version of the software. The headers and a comment are a part too.
    origin: StreamOrigin | None = None
    begun_s: float = 0.0
    # Called before the caller gets the first part of a stream.
    on_begun: "Callable[[Exchange], None]" = lambda _: None
    # Called when the request has been sent.
    on_sent: Callable[[], None] = lambda: None
    # Software of the upstreams whose events the caller got, in order.
    software: list[str | None] = field(default_factory=list)
    # Number of sends, and whether the request may have run because of them.
    sends: int = 0
    may_have_run: bool = False
    # Whether the request may have run because of sends before the last one.
    may_have_run_before: bool = False
    # Number of the last event that was sent to the caller.
    last_event: int | None = None
    # Ids of upstreams and IPs of peers that this request is not sent to again.
    unreachable: set[str] = field(default_factory=set)
    # Regions that can't serve the version of the stream that is to go on.
    regions_without_version: set[str] = field(default_factory=set)
    # Ids of the upstreams chosen for failed attempts, in order.
    tried: list[str] = field(default_factory=list)

    def left_ms(self, now_s: float) -> float:
        """Return the time left until the deadline, when an answer becomes useless."""
        return (self.deadline_s - now_s) * 1000

    def record_event(self) -> None:
        """Record that the last send has brought an event."""
        self.events_of_send += 1
        if self.events_of_send == 1:
            self.record_begin()
            sent_to = self.sent_to or StreamOrigin(self.service, None)
            self.software.append(sent_to.software)

    def record_begin(self) -> None:
        """Record that the last send's upstream begins the stream, unless one has."""
        if self.origin is None:
            self.origin = self.sent_to or StreamOrigin(self.service, None)
            self.on_begun(self)

    def adopt(self, later: "Exchange") -> None:
        """Take over the state of a later send, which has an exchange of its own."""
        self.sends = later.sends
        self.sent_to = later.sent_to
        self.origin = later.origin
        self.begun_s = later.begun_s
        self.software = later.software
        self.last_event = later.last_event
        self.events_of_send = later.events_of_send
        self.may_have_run = later.may_have_run
        self.may_have_run_before = later.may_have_run_before
        self.is_answered = later.is_answered

    def deadline_left_ms(self) -> float:
        """Return the time from now to the deadline."""
        return self.left_ms(anyio.current_time())

    @property
    def max_attempts(self) -> int:
        """Return how many times this process may send the request."""
        if self.forwarding is not None:
            return min(self.route.max_attempts, self.forwarding.max_attempts)
        return self.route.max_attempts

    @property
    def attempts_left(self) -> int:
        """Return how many sends are left, at least the one that is being prepared."""
        return max(1, self.max_attempts - self.sends)

    @property
    def urgency(self) -> int:
        """Return the rank among requests; 0 is the most urgent."""
        return self.catalogue.find_rank(self.organisation, self.route, self.service)

    @property
    def hold_rule(self) -> HoldRule:
        """Return when the request is held back for more urgent ones."""
        target_ms = self.catalogue.find_urgent_target_ms(self.service, self.route)
        return choose_hold_rule(target_ms)

    @property
    def is_trial(self) -> bool:
        """Return whether this is a trial of a request that may crash upstreams."""
        is_peers_trial = self.forwarding is not None and self.forwarding.is_trial
        return is_peers_trial or self.trial_crashes is not None

    @property
    def is_resumed(self) -> bool:
        """Return whether the caller already has a part of the answer."""
        return self.last_event is not None or self.head.last_event_id is not None

    @property
    def is_taken_up(self) -> bool:
        """Return whether an earlier request has brought a part of the stream."""
        has_events = (self.head.last_event_id or "0") != "0"
        return self.route.is_stream and (has_events or self.head.begun_as is not None)

    def may_run_at(self, software: str | None) -> bool:
        """Return whether the request may run at a version of the software.

        A stream that has begun may only go on at the same version.
        """
        if self.origin is None:
            return True
        is_same_service = self.service == self.origin.service
        is_same_software = software is not None and software == self.origin.software
        return is_same_service and is_same_software

    @property
    def may_resend(self) -> bool:
        """Return whether the request may be sent again although it may have run."""
        # A trial shows by a single run whether the request crashes upstreams.
        if not self.route.is_idempotent or self.is_trial:
            return False
        if not self.reply.is_started:
            return True
        # The peer that forwarded the request got the send count with the answer's
        # headers, and resumes the stream itself.
        return self.route.is_resumable and self.forwarding is None

    def allowed_regions(self, regions: set[str]) -> set[str]:
        """Return those of the regions that may serve the request.

        Route and organisation permit them, and the stream may go on there.
        """
        allowed = set(regions)
        if self.route.home_regions:
            allowed &= self.route.home_regions
        if self.organisation is not None and self.organisation.home_regions:
            allowed &= self.organisation.home_regions
        return allowed - self.regions_without_version
