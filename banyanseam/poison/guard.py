"""Distribute suspects among daemons, and permit their reruns one at a time."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import anyio

from banyanseam.errors import BanyanseamError
from banyanseam.peers.contract import Network
from banyanseam.peers.messages import Message, PeerIdentity
from banyanseam.peers.rendezvous import rank
from banyanseam.poison.const import (
    CONDEMNED_CRASHES,
    MAX_PERMITTING_SEATS,
    RELAYS_PER_REGION,
    RERUN_DELAY_S,
    RERUN_REQUEST_TIMEOUT_S,
    RERUN_RETRY_PAUSE_S,
    RERUNS_KEY,
    SUSPECT_TTL_S,
)
from banyanseam.poison.errors import PoisonRefused, SuspectHeld
from banyanseam.poison.messages import (
    EndRerun,
    RerunAnswer,
    RerunRequest,
    RunReport,
    SuspectCleared,
    SuspectsReport,
)
from banyanseam.poison.reruns import Reruns
from banyanseam.poison.suspects import Suspects

# The live seats by region, including this daemon's own.
AliveSeats = dict[str, list[str]]


@dataclass(frozen=True, slots=True)
class Run:
    """A request that this daemon is running."""

    fingerprint: bytes
    holder: str
    deadline_s: float


class PoisonGuard:
    """Limits the upstream crashes that one poison request causes."""

    def __init__(
        self,
        me: PeerIdentity,
        region: str,
        network: Network,
        list_alive_seats: Callable[[], AliveSeats],
        start_soon: Callable[..., Any],
    ) -> None:
        """Register the handlers for messages about suspects."""
        self.suspects = Suspects()
        self._identity = me
        self._region = region
        self._network = network
        self._list_alive_seats = list_alive_seats
        self._start_soon = start_soon
        self._reruns = Reruns()
        self._running: dict[str, Run] = {}
        network.handle_cast(SuspectsReport, self._on_suspects)
        network.handle_cast(SuspectCleared, self._on_cleared)
        network.handle_cast(RunReport, self._on_run_report)
        network.handle_cast(EndRerun, self._on_end)
        network.handle_call(RerunRequest, self._on_rerun_request)

    async def admit(self, run: Run, upstreams: Sequence[str]) -> str | None:
        """Admit a request; for a suspect, return the only upstream it may run on.

        Raise PoisonRefused for a condemned request, SuspectHeld for a suspect that
        could not be run alone before its deadline.
        """
        while crashes := self.suspects.count(run.fingerprint, anyio.current_time()):
            if crashes >= CONDEMNED_CRASHES:
                raise PoisonRefused(retry_after_ms=self._retry_after_ms(run))
            await anyio.sleep_until(
                min(
                    run.deadline_s,
                    self.suspects.find_last_crash_s(run.fingerprint) + RERUN_DELAY_S,
                )
            )
            if anyio.current_time() >= run.deadline_s:
                raise SuspectHeld
            is_explained = self.suspects.is_explained(
                run.fingerprint, anyio.current_time()
            )
            wanted = self.suspects.sort_upstreams(run.fingerprint, upstreams)
            answer = await self._request_rerun(run, () if is_explained else wanted)
            if answer.state == "condemned":
                raise PoisonRefused(retry_after_ms=self._retry_after_ms(run))
            if answer.state == "granted":
                return answer.upstream
            await anyio.sleep(RERUN_RETRY_PAUSE_S)
        return None

    def begin(self, run: Run) -> None:
        """Record a run in progress, in case its request becomes a suspect."""
        self._running[run.holder] = run

    def complete(self, run: Run) -> None:
        """Handle a completed run, which clears the request of suspicion."""
        self._running.pop(run.holder, None)
        now_s = anyio.current_time()
        if self.suspects.count(run.fingerprint, now_s):
            self.suspects.clear(run.fingerprint)
            cleared = SuspectCleared(fingerprint=run.fingerprint, relay=True)
            self._start_soon(self._broadcast_and_end, cleared, run)

    def report_crash(self, run: Run, upstream: str) -> None:
        """Record that an upstream crashed during a run, and report it."""
        self._running.pop(run.holder, None)
        now_s = anyio.current_time()
        self.suspects.record_crash(run.fingerprint, upstream, now_s)
        self._start_soon(self._broadcast_and_end, self._make_report(now_s), run)

    def stop(self, run: Run) -> None:
        """Handle a run that ended with neither completion nor crash."""
        self._running.pop(run.holder, None)
        if self.suspects.count(run.fingerprint, anyio.current_time()):
            self._start_soon(self._send_end, run)

    def _make_report(self, now_s: float) -> SuspectsReport:
        section = self.suspects.section(now_s)
        return SuspectsReport(seat=self._identity.seat, section=section, relay=True)

    def _retry_after_ms(self, run: Run) -> int:
        last_s = self.suspects.find_last_crash_s(run.fingerprint)
        left_s = last_s + SUSPECT_TTL_S - anyio.current_time()
        return max(1000, int(min(left_s, SUSPECT_TTL_S) * 1000))

    def _list_permitting_seats(self) -> list[str]:
        """Return the seats to request reruns from, in order of preference.

        All daemons ask the same seat: only a seat that permits all reruns can keep
        suspects on separate upstreams.
        """
        seats = {seat for names in self._list_alive_seats().values() for seat in names}
        return rank(seats | {self._identity.seat}, RERUNS_KEY)[:MAX_PERMITTING_SEATS]

    async def _request_rerun(self, run: Run, upstreams: Sequence[str]) -> RerunAnswer:
        now_s = anyio.current_time()
        message = RerunRequest(
            fingerprint=run.fingerprint,
            holder=run.holder,
            upstreams=list(upstreams),
            term_ms=max(0, int((run.deadline_s - now_s) * 1000)),
        )
        for seat in self._list_permitting_seats():
            if seat == self._identity.seat:
                return await self._on_rerun_request(self._identity, message)
            try:
                return await self._network.call(
                    seat, message, RerunAnswer, RERUN_REQUEST_TIMEOUT_S
                )
            except BanyanseamError:
                continue
        return RerunAnswer(state="busy")

    async def _broadcast_and_end(self, message: Message, run: Run) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._notify_permitting_seats, message, run)
            for region, seats in self._list_alive_seats().items():
                is_own = region == self._region
                recipients = seats if is_own else seats[:RELAYS_PER_REGION]
                sent = message.model_copy(update={"relay": not is_own})
                for seat in recipients:
                    tasks.start_soon(self._cast, seat, sent)

    async def _notify_permitting_seats(self, result: Message, run: Run) -> None:
        # The permitting seats must learn of the crash or completion before the end of
        # the run, or they could permit another rerun in between.
        for seat in self._list_permitting_seats():
            await self._cast(seat, result.model_copy(update={"relay": False}))
        await self._send_end(run)

    async def _send_end(self, run: Run) -> None:
        message = EndRerun(fingerprint=run.fingerprint, holder=run.holder)
        for seat in self._list_permitting_seats():
            await self._cast(seat, message)

    async def _relay(self, message: Message) -> None:
        sent = message.model_copy(update={"relay": False})
        for seat in self._list_alive_seats().get(self._region, []):
            await self._cast(seat, sent)

    async def _cast(self, seat: str, message: Message) -> None:
        if seat == self._identity.seat:
            self._handle_locally(message)
            return
        try:
            await self._network.cast(seat, message)
        except BanyanseamError:
            # Not sent again: heartbeats repeat the crashes, and reruns expire.
            return

    def _handle_locally(self, message: Message) -> None:
        # Other messages only change suspects, which were updated before sending.
        handlers = {EndRerun: self._on_end, RunReport: self._on_run_report}
        handler = handlers.get(type(message))
        if handler is not None:
            handler(self._identity, message)

    def apply_section(self, seat: str, section: bytes) -> None:
        """Add a peer's suspects; report this daemon's runs of those with new crashes.

        Raise InvalidSuspects if the section is malformed.
        """
        now_s = anyio.current_time()
        seen = self.suspects.apply_section(seat, section, now_s)
        for run in list(self._running.values()):
            if run.fingerprint in seen:
                self._start_soon(self._report_run, run)

    async def _report_run(self, run: Run) -> None:
        term_s = max(0.0, run.deadline_s - anyio.current_time())
        message = RunReport(
            fingerprint=run.fingerprint, holder=run.holder, term_ms=int(term_s * 1000)
        )
        await self._cast(self._list_permitting_seats()[0], message)

    def _on_suspects(self, peer: PeerIdentity, message: SuspectsReport) -> None:
        self.apply_section(message.seat, message.section)
        if message.relay:
            self._start_soon(self._relay, message)

    def _on_cleared(self, peer: PeerIdentity, message: SuspectCleared) -> None:
        self.suspects.clear(message.fingerprint)
        if message.relay:
            self._start_soon(self._relay, message)

    def _on_run_report(self, peer: PeerIdentity, message: RunReport) -> None:
        until_s = anyio.current_time() + message.term_ms / 1000
        self._reruns.record(message.fingerprint, message.holder, until_s)

    def _on_end(self, peer: PeerIdentity, message: EndRerun) -> None:
        self._reruns.end(message.fingerprint, message.holder)

    async def _on_rerun_request(
        self, peer: PeerIdentity, message: RerunRequest
    ) -> RerunAnswer:
        now_s = anyio.current_time()
        if self.suspects.count(message.fingerprint, now_s) >= CONDEMNED_CRASHES:
            return RerunAnswer(state="condemned")
        run = self._reruns.request(
            message.fingerprint,
            message.holder,
            message.upstreams,
            now_s,
            now_s + message.term_ms / 1000,
        )
        if run is None:
            return RerunAnswer(state="busy")
        return RerunAnswer(state="granted", upstream=run.upstream)
