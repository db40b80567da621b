"""The serving side: answer requests that daemons of other regions forward."""

from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext

import anyio
from anyio.abc import TaskGroup

from banyanseam.config.compiled import Config
from banyanseam.config.errors import NotReady
from banyanseam.config.versions import describe_version, era_of, revision_of
from banyanseam.errors import BanyanseamError
from banyanseam.observe.events import INTERNAL_FAILURE, log
from banyanseam.peers.contract import Network
from banyanseam.peers.errors import PeerCallLost, PeerUnreachable
from banyanseam.peers.forward_messages import (
    ForwardCancel,
    ForwardCredit,
    ForwardData,
    ForwardEnd,
    ForwardHead,
    ForwardOpen,
)
from banyanseam.peers.messages import Message, PeerIdentity
from banyanseam.pipe.authenticate import check_key
from banyanseam.pipe.const import VERSION_WAIT_S, VERSION_WAIT_SHARE
from banyanseam.pipe.errors import DeadlineExceeded, KeyUnknown, ResidencyExcluded
from banyanseam.pipe.models import Exchange, Headers, Next
from banyanseam.pipe.residency import narrow_regions
from banyanseam.pipe.route import find_route, make_fingerprint, set_route


class RemoteSink:
    """Sends a reply to the forwarding daemon, limited by flow-control credit."""

    def __init__(self, network: Network, seat: str, opened: ForwardOpen) -> None:
        """Start with the credit that came with the request."""
        self.started = False
        self.first_sent_s: float | None = None
        self._network = network
        self._seat = seat
        self._stream = opened.stream
        self._credit_bytes = opened.credit_bytes
        self._credit_added = anyio.Event()

    def grant(self, credit_bytes: int) -> None:
        """Add credit and resume a send that waits for it."""
        self._credit_bytes += credit_bytes
        self._credit_added.set()

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status and headers."""
        self.started = True
        head = ForwardHead(stream=self._stream, status=status, headers=headers)
        await self._network.cast(self._seat, head)

    async def send(self, data: bytes) -> None:
        """Send a chunk of the body once credit is available."""
        if self.first_sent_s is None:
            self.first_sent_s = anyio.current_time()
        while self._credit_bytes <= 0:
            self._credit_added = anyio.Event()
            await self._credit_added.wait()
        self._credit_bytes -= len(data)
        await self._network.cast(
            self._seat, ForwardData(stream=self._stream, data=data)
        )


class ForwardServer:
    """Runs the requests that other daemons forward."""

    def __init__(
        self,
        network: Network,
        tasks: TaskGroup,
        region: str,
        get_config: Callable[[], Config | None],
        serve: Next,
        count_request: Callable[[], AbstractContextManager[None]] = nullcontext,
    ) -> None:
        """Register the handlers.

        `serve` runs the filters that follow admission; a planned stop waits until what
        `count_request` returns has been left.
        """
        self._network = network
        self._tasks = tasks
        self._region = region
        self._get_config = get_config
        self._serve = serve
        self._count_request = count_request
        self._running: dict[
            tuple[PeerIdentity, int], tuple[RemoteSink, anyio.CancelScope, Exchange]
        ] = {}
        # Set and replaced each time that a configuration comes into force.
        self._adopted = anyio.Event()
        network.handle_cast(ForwardOpen, self._open)
        network.handle_cast(ForwardCredit, self._credit)
        network.handle_cast(ForwardCancel, self._cancel)

    def resume_waiting(self, _config: Config) -> None:
        """Check again whether requests that wait for a configuration may run."""
        self._adopted.set()
        self._adopted = anyio.Event()

    def cancel_requests_from(self, peer: PeerIdentity) -> None:
        """Cancel a lost process's requests, except those that must not run twice."""
        for (holder, _), (_, scope, exchange) in self._running.items():
            if holder == peer and exchange.is_idempotent:
                scope.cancel()

    def _open(self, peer: PeerIdentity, message: Message) -> None:
        self._tasks.start_soon(self._run, peer, message)

    def _credit(self, peer: PeerIdentity, message: Message) -> None:
        running = self._running.get((peer, message.stream))
        if running is not None:
            running[0].grant(message.credit_bytes)

    def _cancel(self, peer: PeerIdentity, message: Message) -> None:
        running = self._running.get((peer, message.stream))
        # A request that must not run twice continues to its end and is recorded.
        if running is not None and running[2].is_idempotent:
            running[1].cancel()

    async def _run(self, peer: PeerIdentity, opened: ForwardOpen) -> None:
        with self._count_request():
            await self._run_counted(peer, opened)

    async def _run_counted(self, peer: PeerIdentity, opened: ForwardOpen) -> None:
        sink = RemoteSink(self._network, peer.seat, opened)
        exchange = _make_exchange(peer, opened, sink)
        with anyio.CancelScope(deadline=exchange.deadline_s) as scope:
            self._running[peer, opened.stream] = (sink, scope, exchange)
            try:
                end = await self._answer(exchange, opened)
            finally:
                del self._running[peer, opened.stream]
        if scope.cancelled_caught:
            end = _make_failed_end(exchange, opened, DeadlineExceeded())
        with anyio.move_on_after(5):
            try:
                await self._network.cast(peer.seat, end)
            except (PeerUnreachable, PeerCallLost):
                # The forwarding daemon detects the lost link by itself.
                return

    async def _answer(self, exchange: Exchange, opened: ForwardOpen) -> ForwardEnd:
        try:
            await self._wait_for_version(opened)
            self._admit(exchange, opened)
            await self._serve(exchange)
        except BanyanseamError as error:
            return _make_failed_end(exchange, opened, error)
        except Exception as error:
            # One request must never end the process: a resend could end the next
            # process too.
            log(INTERNAL_FAILURE, request_id=exchange.request_id, error=repr(error))
            return _make_failed_end(exchange, opened, BanyanseamError())
        return ForwardEnd(
            stream=opened.stream, outcome="whole", **_make_end_fields(exchange)
        )

    async def _wait_for_version(self, opened: ForwardOpen) -> None:
        """Wait for the sender's configuration; raise NotReady if it takes too long.

        By an older one, the route or the organisation may be missing.
        """
        share_s = VERSION_WAIT_SHARE * opened.remaining_ms / 1000
        with anyio.move_on_after(min(VERSION_WAIT_S, share_s)):
            while self._get_version() < opened.config_version:
                await self._adopted.wait()
        if self._get_version() < opened.config_version:
            version = opened.config_version
            described = describe_version(era_of(version), revision_of(version))
            raise NotReady(f"version {described} is not in force here")

    def _get_version(self) -> int:
        config = self._get_config()
        return 0 if config is None else config.version

    def _admit(self, exchange: Exchange, opened: ForwardOpen) -> None:
        """Check key, route and residency against this daemon's own configuration."""
        config = self._get_config()
        if config is None:
            raise NotReady
        route = find_route(config, exchange.path)
        organisation = None
        if opened.organisation is not None:
            organisation = config.organisations.get(opened.organisation)
            if organisation is None:
                raise KeyUnknown
        set_route(exchange, route)
        exchange.organisation = organisation
        check_key(config, exchange)
        narrow_regions(exchange)
        if exchange.regions is not None and self._region not in exchange.regions:
            raise ResidencyExcluded(f"not in {self._region}")


def _make_exchange(
    peer: PeerIdentity, opened: ForwardOpen, sink: RemoteSink
) -> Exchange:
    now_s = anyio.current_time()
    exchange = Exchange(
        request_id=opened.request_id,
        method=opened.method,
        path=opened.path,
        raw_path=opened.raw_path,
        query=opened.query,
        headers=opened.headers,
        body=opened.body,
        received_s=now_s,
        reply=sink,
        forwarder=peer,
        key_digest=opened.key_digest,
        regions=None if opened.regions is None else frozenset(opened.regions),
        deadline_s=now_s + opened.remaining_ms / 1000,
        may_have_run=opened.may_have_run,
        is_granted=opened.is_granted,
    )
    exchange.fingerprint = make_fingerprint(exchange)
    return exchange


def _make_end_fields(exchange: Exchange) -> dict[str, object]:
    return {
        "upstream_started": exchange.upstream_started,
        "upstream": exchange.upstream,
        "prompt_tokens": exchange.usage.prompt_tokens,
        "output_tokens": exchange.usage.output_tokens,
        "cached_tokens": exchange.usage.cached_tokens,
    }


def _make_failed_end(
    exchange: Exchange, opened: ForwardOpen, error: BanyanseamError
) -> ForwardEnd:
    return ForwardEnd(
        stream=opened.stream,
        outcome="failed",
        code=error.code,
        detail=error.detail,
        status=error.status,
        not_run=error.not_run and exchange.is_surely_not_run,
        retry_after_ms=error.retry_after_ms,
        **_make_end_fields(exchange),
    )
