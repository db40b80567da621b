"""Relays admitted requests: choose an upstream, send, retry and resume."""

import random
from collections.abc import Awaitable, Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import partial
from typing import Final

import anyio

from banyanseam.config.errors import NotReady
from banyanseam.entry.admission import refuse_suspect
from banyanseam.entry.answers import (
    check_answer,
    check_owner,
    proves_not_run,
    relay_answer,
)
from banyanseam.entry.choosing import Chooser, choose_retry_after_ms
from banyanseam.entry.const import (
    LONG_PREFILL_MS,
    MIN_RETRY_LEFT_MS,
    ROUND_TRIP_MS,
)
from banyanseam.entry.crash_watch import MIN_SERVER_ERROR_STATUS, CrashWatch
from banyanseam.entry.errors import (
    ConnectionBroken,
    CrashSuspected,
    EntryLeaving,
    NoUpstreamKnown,
    PeerUntrusted,
    SlowerThanOthers,
    StreamVersionGone,
    UpstreamReplaced,
    UpstreamsUnreached,
)
from banyanseam.entry.exchange import Exchange
from banyanseam.entry.leaving import StopLimits
from banyanseam.entry.listed_upstream import ListedUpstream
from banyanseam.entry.members import Member, Members
from banyanseam.entry.messages import make_upstream_tag
from banyanseam.entry.models import AnswerHead, Headers, RequestHead, SendMetadata
from banyanseam.entry.moving import Move, MovePolicy, Progress
from banyanseam.entry.origins.takeups import TakeUps
from banyanseam.entry.outgoing import make_outgoing, make_send_metadata
from banyanseam.entry.peer_connections import (
    PeerConnections,
    choose_max_idle_s,
    prefer_connected,
)
from banyanseam.entry.peer_headers import (
    read_peer_failure,
    read_sends,
    read_served_by,
    strip_peer_headers,
    write_forwarding,
)
from banyanseam.entry.performance.recorder import RunRecorder
from banyanseam.entry.placing import (
    Placement,
    estimate_own_prefill_ms,
    find_shared_prefix,
)
from banyanseam.entry.reach import PeerReachability
from banyanseam.entry.retry_budget import RetryBudget
from banyanseam.entry.sending import IncomingAnswer, run_with_watch, send
from banyanseam.entry.start_checks import ReportFormat, StartChecks
from banyanseam.entry.stream_moves import run_movable
from banyanseam.entry.unreached.records import UnreachedUpstreams
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.entry.upstreams import UpstreamLoads
from banyanseam.entry.usage_counts import count_request, mark_prefilled
from banyanseam.errors import BanyanseamError
from banyanseam.observe.events import (
    REQUEST_FORWARDED,
    SEND_FAILED,
    UPSTREAM_BRITTLE,
    UPSTREAM_LIMIT_CHANGED,
    log,
)
from banyanseam.pipe.errors import AnswerTruncated, ForwardFailed
from banyanseam.server.budget import ByteBudget
from banyanseam.upstreams.errors import (
    UpstreamFailed,
    UpstreamRefused,
    UpstreamUnreachable,
)

# Refusals of a VM itself, which another VM of its region may not share. The request has
# reached no upstream.
VM_NOT_SERVING_CODES: Final = frozenset(
    {
        EntryLeaving.code,
        NotReady.code,
        PeerUntrusted.code,
        UpstreamUnreachable.code,
        UpstreamsUnreached.code,
    }
)
# Refusals after which another VM of the region may still serve the request. One of the
# release before says that it knows no upstream if it reaches none.
_OTHER_PEER_CODES: Final = VM_NOT_SERVING_CODES | {NoUpstreamKnown.code}

# Failures after which an upstream may have started again.
_CONNECTION_FAILURES: Final = (AnswerTruncated, ConnectionBroken, UpstreamUnreachable)


@dataclass(frozen=True, slots=True)
class UpstreamFormat:
    """Functions of the platform that write requests and parse upstreams' answers."""

    write_headers: Callable[[RequestHead, SendMetadata], Headers]
    read_answer: Callable[[int, Iterable[tuple[bytes, bytes]]], AnswerHead]
    report: ReportFormat


@dataclass(frozen=True, slots=True)
class Relay:
    """Relays requests to upstreams of this region or to peers of other regions."""

    upstream_format: UpstreamFormat
    members: Members
    upstreams: UpstreamList
    loads: UpstreamLoads
    retries: RetryBudget
    crashes: CrashWatch
    start_checks: StartChecks
    take_ups: TakeUps
    reachability: PeerReachability
    unreached: UnreachedUpstreams
    peers_port: int
    # Sends this process's loads to the peers of its region at once.
    announce: Callable[[], Awaitable[None]]
    # Limits the memory of answers that are buffered until they are whole.
    answer_budget: ByteBudget
    peer_connections: PeerConnections = field(default_factory=PeerConnections)
    stop_limits: StopLimits = field(default_factory=StopLimits)

    @property
    def chooser(self) -> Chooser:
        """Return the chooser of upstreams and regions for requests."""
        return Chooser(
            self.members,
            self.upstreams,
            self.loads,
            self.reachability,
            self.unreached,
        )

    @property
    def moves(self) -> MovePolicy:
        """Return the rules for moving a request to another upstream after a send."""
        chooser = self.chooser
        return MovePolicy(
            self.members,
            self.loads,
            self.retries,
            chooser.list_candidates,
            chooser.may_be_placed,
        )

    async def serve(self, exchange: Exchange) -> None:
        """Answer a request; raise the last attempt's error, or why none was made."""
        try:
            await self._serve(exchange)
        finally:
            self._record_answer_time(exchange)

    def _record_answer_time(self, exchange: Exchange) -> None:
        """Record how long a stream took that has ended, or reached its deadline."""
        first_s, now_s = exchange.reply.first_sent_s, anyio.current_time()
        is_over = exchange.is_answered or now_s >= exchange.deadline_s
        if (
            exchange.route.is_stream
            and exchange.reply.status == 200
            and exchange.head.last_event_id is None
            and first_s is not None
            and is_over
        ):
            rest_ms = (now_s - first_s) * 1000
            self.loads.answer_times.record(exchange.route.name, rest_ms, now_s)

    async def _serve(self, exchange: Exchange) -> None:
        now_s = anyio.current_time()
        vms = self.members.count_recent(now_s)
        if exchange.forwarding is None:
            self.retries.record_request(exchange.service, vms, now_s)
        if exchange.is_taken_up and exchange.origin is None:
            await self.take_ups.find(exchange)
        if exchange.route.is_stream and exchange.forwarding is None:
            exchange.on_begun = self.take_ups.record_begin
        failure: BanyanseamError | None = None
        while True:
            self.stop_limits.check(exchange)
            await self._confirm_origin(exchange)
            try:
                placement = await self.chooser.wait_for_placement(exchange)
            except BanyanseamError as error:
                if failure is None or not exchange.may_have_run:
                    # Only the refusal knows when there will be room.
                    raise
                # The failed attempt explains more than the lack of another upstream.
                raise failure from error
            # It may have become a suspect while it waited or was tried.
            if refuse_suspect(self.crashes.suspects, exchange, anyio.current_time()):
                self.crashes.record_trial(exchange)
                # Other VMs that have the same request must not try it too.
                await self.announce()
            crashes = self.crashes.suspects.count(exchange.fingerprint)
            try:
                await self._attempt(exchange, placement)
            except BanyanseamError as error:
                failure = error
                if self.crashes.is_urgent(exchange, crashes):
                    await self.announce()
                if not self._may_retry_error(exchange, error, vms):
                    raise
            else:
                return

    async def _attempt(self, exchange: Exchange, placement: Placement) -> None:
        """Send the request; another upstream may go on if its stream falls silent."""

        async def attempt(move: Move | None = None) -> None:
            try:
                await self._send(exchange, placement, move)
            except BanyanseamError as error:
                self._record_failure(exchange, placement, error)
                raise

        if not exchange.route.is_resumable or exchange.forwarding is not None:
            await attempt()
            return
        await run_movable(
            exchange,
            attempt,
            self._go_on,
            self._record_failure,
            partial(self.moves.choose_together_s, placement),
        )

    async def _go_on(self, exchange: Exchange, placement: Placement) -> None:
        """Attempt to go on with a stream while its upstream is silent."""
        try:
            await self._confirm_origin(exchange)
            if refuse_suspect(self.crashes.suspects, exchange, anyio.current_time()):
                raise CrashSuspected(f"fingerprint {exchange.fingerprint:016x}")
        except BanyanseamError as error:
            self._record_failure(exchange, placement, error)
            raise
        await self._attempt(exchange, placement)

    async def _confirm_origin(self, exchange: Exchange) -> None:
        if exchange.reply.is_started and exchange.origin is not None:
            await self.take_ups.confirm(exchange)

    async def _send(
        self, exchange: Exchange, placement: Placement, move: Move | None
    ) -> None:
        if self.chooser.is_forwarded(placement.candidate):
            await self._forward(exchange, placement, move)
            return
        listed = self.upstreams.find(placement.candidate.upstream_id)
        if listed is None:
            # It was deregistered after it had been chosen; nothing was sent.
            raise UpstreamUnreachable(placement.candidate.upstream_id)
        if exchange.origin is not None:
            await self._check_start(exchange, listed)
        now_s = anyio.current_time()
        if placement.candidate.is_reserve:
            listed.usage.cold_sent_s = now_s
        if listed.usage.pace.limit_per_s is not None:
            vms = self.members.count_senders(now_s, exchange.service)
            listed.usage.pace.record_send(vms, now_s)
        prompt = exchange.head.prompt
        prefill_ms = estimate_own_prefill_ms(placement, prompt)
        with count_request(listed, prompt, prefill_ms) as pending_prefill_ms:
            listed.usage.brittle.record_requests(listed.usage.requests)
            if pending_prefill_ms[0] >= LONG_PREFILL_MS:
                await self.announce()
            upstream = listed.upstream
            exchange.sent_to = upstream.origin
            metadata = make_send_metadata(exchange, upstream.upstream_id, now_s)
            headers = self.upstream_format.write_headers(exchange.head, metadata)
            outgoing = make_outgoing(exchange, upstream.address, headers, now_s)
            recorder = self._make_recorder(exchange, placement)

            def record_write() -> None:
                self._begin_sends(exchange)
                listed.usage.sent_s.append(anyio.current_time())
                recorder.record_write(anyio.current_time())

            with (
                self._watch_failures(exchange, listed, now_s),
                self.crashes.watch_run(exchange, listed),
            ):
                async with send(
                    outgoing,
                    record_write,
                    self.moves.make_wait_for_better(exchange, placement),
                ) as incoming:
                    self.unreached.record_answer(upstream, now_s)
                    answer = self._check_upstream_answer(exchange, incoming, listed)
                    if exchange.origin is not None and answer.status == 200:
                        await self._check_same_start(exchange, listed)
                    mark_prefilled(listed, pending_prefill_ms)
                    self._record_shared_prefix(exchange, placement, listed)
                    await self._relay_answer(
                        exchange, placement, answer, incoming, move, listed, recorder
                    )

    async def _check_start(self, exchange: Exchange, listed: ListedUpstream) -> None:
        """Raise UpstreamUnreachable unless the listed incarnation answers.

        Another version may have started under its id, and would go on with the stream.
        """
        is_running = await self.start_checks.is_running(listed.upstream)
        if not is_running or not exchange.may_run_at(listed.upstream.software):
            exchange.unreachable.add(listed.upstream.upstream_id)
            raise UpstreamUnreachable(listed.upstream.upstream_id)

    async def _check_same_start(
        self, exchange: Exchange, listed: ListedUpstream
    ) -> None:
        """Raise UpstreamFailed unless the listed incarnation still answers.

        It may have started again after `_check_start` and before the connection. It
        has not if it answers now, since a start breaks all connections.
        """
        upstream = listed.upstream
        if not await self.start_checks.is_running(upstream):
            exchange.unreachable.add(upstream.upstream_id)
            detail = f"{upstream.upstream_id}: it may have started again"
            raise UpstreamFailed(detail)

    def _make_recorder(self, exchange: Exchange, placement: Placement) -> RunRecorder:
        return RunRecorder(
            self.loads.performance,
            make_upstream_tag(placement.candidate.upstream_id),
            placement,
            exchange.head.prompt,
        )

    async def _forward(
        self, exchange: Exchange, placement: Placement, move: Move | None
    ) -> None:
        """Send a request to a VM of the candidate's region, which may be this one."""
        region = placement.candidate.region
        exchange.sent_to = None
        now_s = anyio.current_time()
        if placement.candidate.is_relayed:
            peers = self.chooser.list_relays(exchange, placement.candidate, now_s)
        else:
            peers = self.chooser.list_peers(exchange, region, now_s)
        if not peers:
            raise UpstreamUnreachable(region)
        max_idle_s = choose_max_idle_s(may_resend=exchange.may_resend)
        connected = self.peer_connections.list_addresses(now_s, max_idle_s)
        peers = prefer_connected(peers, self.peers_port, connected)
        # All VMs ask the same few senders, with loads that are as old at each of them:
        # the one that looks idle would get all requests.
        is_few = self.loads.find_senders(exchange.service, self.members, region, now_s)
        drawn = random.sample(peers, 1 if is_few else min(2, len(peers)))
        peer = min(drawn, key=self._rate_peer)
        log(
            REQUEST_FORWARDED,
            request_id=exchange.head.request_id,
            peer=peer.ip,
            region=region,
            running=peer.running,
            peers=len(peers),
            connected=len(connected),
            left_ms=round(exchange.left_ms(now_s)),
        )
        self.reachability.record_attempt(peer, now_s)
        latency_ms = 0.0 if placement.candidate.is_relayed else ROUND_TRIP_MS / 2
        metadata = make_send_metadata(exchange, None, now_s, latency_ms=latency_ms)
        headers = self.upstream_format.write_headers(exchange.head, metadata)
        # A peer that sends no reply may have used all attempts granted to it.
        granted = exchange.attempts_left
        outgoing = make_outgoing(
            exchange,
            f"{peer.ip}:{self.peers_port}",
            headers + write_forwarding(exchange, self.members.me.ip),
            now_s,
            max_idle_s=max_idle_s,
        )
        self.loads.forwarded[region] = self.loads.forwarded.get(region, 0) + 1
        self.loads.brittle.relayed[exchange.service] += placement.candidate.is_relayed
        sends = exchange.sends
        try:
            async with send(
                outgoing,
                lambda: self._begin_sends(exchange, granted),
                connections=self.peer_connections,
            ) as incoming:
                if not placement.candidate.is_relayed:
                    self.loads.network.record_forward(
                        region, incoming.connect_ms, anyio.current_time()
                    )
                self.reachability.record_reachable(
                    peer, self.members.list_serving(now_s, region)
                )
                reported = read_sends(incoming.headers)
                if reported is not None:
                    exchange.sends = sends + reported
                failure = read_peer_failure(incoming.headers, incoming.status)
                if failure is not None:
                    if failure.not_run:
                        _record_not_run(exchange)
                    if failure.code in _OTHER_PEER_CODES:
                        exchange.unreachable.add(peer.ip)
                    if failure.code == StreamVersionGone.code:
                        self._record_version_gone(exchange, placement, peer)
                    await incoming.skip_body()
                    raise failure
                answer = self.upstream_format.read_answer(
                    incoming.status, _strip_headers(incoming)
                )
                check_answer(exchange, answer)
                self._check_served_by(exchange, answer, incoming.headers, peer)
                self._record_shared_prefix(exchange, placement)
                await self._relay_answer(exchange, placement, answer, incoming, move)
        except UpstreamUnreachable:
            exchange.unreachable.add(peer.ip)
            self.reachability.record_unreachable(peer, anyio.current_time())
            raise
        finally:
            self.loads.forwarded[region] -= 1
            self.loads.brittle.relayed[exchange.service] -= (
                placement.candidate.is_relayed
            )

    def _begin_sends(self, exchange: Exchange, sends: int = 1) -> None:
        """Record sends that begin; raise EntryLeaving if there may be none any more."""
        self.stop_limits.check(exchange)
        _record_sends(exchange, sends)

    def _record_version_gone(
        self, exchange: Exchange, placement: Placement, peer: Member
    ) -> None:
        """Leave out the region that can't go on with a stream, or one VM of it.

        In this region the list of upstreams shows that the version serves. A VM that
        only doesn't reach it says that it is gone too.
        """
        candidate, now_s = placement.candidate, anyio.current_time()
        if candidate.is_relayed:
            exchange.unreachable.add(peer.ip)
            if self.chooser.list_relays(exchange, candidate, now_s):
                return
        exchange.regions_without_version.add(candidate.region)

    def _rate_peer(self, peer: Member) -> tuple[int, int]:
        """Return what makes a peer less suited: unreached upstreams, then its load."""
        return self.members.unreached.count_upstreams(peer), peer.running

    def _check_served_by(
        self, exchange: Exchange, answer: AnswerHead, headers: Headers, peer: Member
    ) -> None:
        """Record who serves a forwarded stream; raise if it may not go on there."""
        exchange.sent_to = read_served_by(headers)
        if exchange.origin is None or answer.status != 200:
            return
        if exchange.sent_to is None or not exchange.may_run_at(
            exchange.sent_to.software
        ):
            exchange.unreachable.add(peer.ip)
            raise UpstreamFailed(f"{peer.ip}: the stream may not go on at its upstream")

    async def _relay_answer(
        self,
        exchange: Exchange,
        placement: Placement,
        answer: AnswerHead,
        incoming: IncomingAnswer,
        move: Move | None,
        listed: ListedUpstream | None = None,
        recorder: RunRecorder | None = None,
    ) -> None:
        progress = Progress(anyio.current_time())
        is_observed = (
            recorder is not None
            and self.loads.has_engines
            and answer.status == 200
            and not exchange.is_resumed
        )
        if is_observed and exchange.route.is_stream:
            progress.on_first = recorder.record_first
        elif is_observed and exchange.head.prompt is None:
            recorder.record_first(anyio.current_time())

        async def relay() -> None:
            await relay_answer(exchange, answer, incoming, progress, self.answer_budget)
            # Nothing is awaited in between: callers that have the whole answer
            # disconnect, which cancels this task.
            self.crashes.record_answer(exchange, answer)
            self.take_ups.record_end(exchange)
            if listed is not None:
                self.upstreams.record_success(listed)
            if is_observed:
                recorder.record_end(progress.last_s, exchange.events_of_send)

        if move is None or answer.status != 200:
            await relay()
            return
        await run_with_watch(
            relay(),
            lambda: self.moves.stop_stalled_stream(exchange, placement, progress, move),
        )

    def _check_upstream_answer(
        self, exchange: Exchange, incoming: IncomingAnswer, listed: ListedUpstream
    ) -> AnswerHead:
        """Return the answer's head; raise if invalid, not run or to be retried."""
        answer = self.upstream_format.read_answer(incoming.status, incoming.headers)
        check_owner(exchange, answer)
        upstream_id = listed.upstream.upstream_id
        now_s = anyio.current_time()
        if answer.is_leaving:
            self.upstreams.record_leaving(listed.upstream, now_s)
        if answer.pause_s > 0:
            self.upstreams.record_pause(listed.upstream, answer.pause_s, now_s)
        self._record_limit(listed, answer.limit_per_s, now_s)
        self._record_brittle(listed, answer, now_s)
        is_not_run = proves_not_run(exchange, answer)
        if is_not_run and answer.status == 421:
            _record_not_run(exchange)
            self.upstreams.drop(upstream_id, now_s)
            raise UpstreamReplaced(upstream_id)
        if is_not_run and answer.status != 400:
            _record_not_run(exchange)
            left_ms = exchange.left_ms(now_s)
            raise UpstreamRefused(
                upstream_id, retry_after_ms=choose_retry_after_ms(300.0, left_ms)
            )
        check_answer(exchange, answer)
        if answer.status >= 500 and self._may_retry_status(exchange):
            raise UpstreamFailed(f"{upstream_id}: status {answer.status}")
        return answer

    def _record_limit(
        self, listed: ListedUpstream, limit_per_s: float | None, now_s: float
    ) -> None:
        pace = listed.usage.pace
        if limit_per_s is None and pace.limit_per_s is None:
            return
        vms = self.members.count_senders(now_s, listed.upstream.service)
        rank = self.members.rank_in_region(now_s)
        if pace.set_limit(limit_per_s, vms, rank, now_s):
            log(
                UPSTREAM_LIMIT_CHANGED,
                upstream=listed.upstream.upstream_id,
                limit_per_s=limit_per_s,
                vms=vms,
            )

    def _record_brittle(
        self, listed: ListedUpstream, answer: AnswerHead, now_s: float
    ) -> None:
        usage, service = listed.usage, listed.upstream.service
        number = answer.brittle_per_s
        if number is not None:
            self.loads.brittle.record_word(service, number, now_s)
        elif answer.is_signed:
            self.loads.brittle.record_calm(service, now_s)
        else:
            return
        if usage.brittle.record_word(number, now_s):
            log(
                UPSTREAM_BRITTLE,
                upstream=listed.upstream.upstream_id,
                refusals_per_s=number,
            )
        if number is not None and answer.status == 503 and answer.is_surely_not_run:
            vms = self.loads.count_rivals(service, self.members, now_s)
            usage.brittle.record_refusal(usage.requests - 1, number, vms, now_s)

    def _may_retry_status(self, exchange: Exchange) -> bool:
        now_s = anyio.current_time()
        return (
            exchange.may_resend
            and exchange.sends < exchange.max_attempts
            and exchange.left_ms(now_s) > exchange.route.target_ms / 4
            and self.retries.has_retry(
                exchange.service, self.members.count_recent(now_s), now_s
            )
        )

    def _record_shared_prefix(
        self,
        exchange: Exchange,
        placement: Placement,
        listed: ListedUpstream | None = None,
    ) -> None:
        """Record where a shared prefix was prefilled, after the first token."""
        segment_id, tokens = find_shared_prefix(exchange.head.prompt)
        if not segment_id:
            return
        if listed is None:
            region = placement.candidate.region
            self.loads.record_forwarded_segment(region, segment_id, tokens)
            return
        now_s = anyio.current_time()
        self.loads.record_own_segment(listed.upstream, segment_id, tokens, now_s)

    def _record_failure(
        self, exchange: Exchange, placement: Placement, error: BanyanseamError
    ) -> None:
        upstream_id = placement.candidate.upstream_id
        exchange.tried.append(upstream_id)
        log(
            SEND_FAILED,
            request_id=exchange.head.request_id,
            upstream=upstream_id,
            region=placement.candidate.region,
            code=error.code,
            detail=error.detail,
            sends=exchange.sends,
            may_have_run=exchange.may_have_run,
        )

    @contextmanager
    def _watch_failures(
        self, exchange: Exchange, listed: ListedUpstream, began_s: float
    ) -> Iterator[None]:
        """Record a failure for the incarnation that the request is sent to.

        The upstream may have started again by the time of the failure. `began_s`: when
        the connection was begun.
        """
        try:
            yield
        except BanyanseamError as error:
            now_s = anyio.current_time()
            is_unreachable = isinstance(error, UpstreamUnreachable)
            if is_unreachable or isinstance(error, UpstreamReplaced):
                exchange.unreachable.add(listed.upstream.upstream_id)
            if is_unreachable:
                self.unreached.record_failure(listed, began_s)
            elif isinstance(error, ConnectionBroken):
                self.unreached.record_break(listed, began_s)
            if isinstance(error, _CONNECTION_FAILURES):
                self.start_checks.start(listed)
            if is_unreachable or (
                isinstance(error, UpstreamFailed)
                and not isinstance(error, SlowerThanOthers)
            ):
                self.upstreams.record_failure(listed, now_s, is_connect=is_unreachable)
            raise

    def _may_retry_error(
        self, exchange: Exchange, error: BanyanseamError, vms: int
    ) -> bool:
        now_s = anyio.current_time()
        if exchange.left_ms(now_s) < MIN_RETRY_LEFT_MS:
            return False
        if isinstance(error, ForwardFailed) and error.status < MIN_SERVER_ERROR_STATUS:
            # The peer's configuration is newer and does not allow the request.
            return False
        if error.code == CrashSuspected.code:
            return False
        if isinstance(error, SlowerThanOthers):
            # The retry budget was charged before the upstream was given up.
            return True
        is_used_up = (
            isinstance(error, ForwardFailed)
            and error.code == UpstreamUnreachable.code
            and exchange.sends >= exchange.max_attempts
        )
        if error.code in VM_NOT_SERVING_CODES and error.not_run and not is_used_up:
            # This attempt reached no upstream.
            return exchange.may_resend or not exchange.may_have_run
        if error.code == StreamVersionGone.code:
            # This attempt reached no upstream, and its region is left out from now on.
            return exchange.may_resend or not exchange.may_have_run
        if isinstance(error, UpstreamReplaced):
            # Another one got the request and did not run it: the budget counts that.
            may_resend = exchange.may_resend or not exchange.may_have_run
            return may_resend and self.retries.try_spend(exchange.service, vms, now_s)
        if not error.not_run and not exchange.may_resend:
            return False
        if exchange.may_have_run and not exchange.may_resend:
            return False
        if exchange.sends >= exchange.max_attempts:
            return False
        return self.retries.try_spend(exchange.service, vms, now_s)


def _strip_headers(incoming: IncomingAnswer) -> Headers:
    lowered = [(name.lower(), value) for name, value in incoming.headers]
    return strip_peer_headers(lowered)


def _record_sends(exchange: Exchange, sends: int) -> None:
    exchange.sends += sends
    exchange.events_of_send = 0
    exchange.may_have_run_before = exchange.may_have_run
    exchange.may_have_run = True
    exchange.on_sent()


def _record_not_run(exchange: Exchange) -> None:
    # Only the last send is proven not to have run; an earlier one may still have.
    exchange.may_have_run = exchange.may_have_run_before
