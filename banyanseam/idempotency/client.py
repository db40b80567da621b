"""Claims keys at their homes for an entry, and reports the outcomes of their runs.

An entry is a daemon that receives requests from callers.
"""

from collections.abc import Callable
from contextlib import suppress
from typing import Any

import anyio

from banyanseam.errors import BanyanseamError
from banyanseam.idempotency.const import (
    CLAIM_PAUSE_S,
    CLAIM_RETRY_LIMIT_S,
    RELEASE_TIMEOUT_S,
    REPORT_PAUSE_S,
    REPORT_RETRY_LIMIT_S,
)
from banyanseam.idempotency.errors import HomeUnreachable, NotHome
from banyanseam.idempotency.home import Home
from banyanseam.idempotency.home_locator import HomeLocator
from banyanseam.idempotency.homes import Homes
from banyanseam.idempotency.keyed_request import KeyedRequest, make_claim, pack_claim
from banyanseam.idempotency.messages import (
    AnswerBody,
    FinishKey,
    KeyClaimed,
    KeyFinished,
    KeyPreview,
    KeyReleased,
    PreviewKey,
    ReleaseKey,
)
from banyanseam.idempotency.models import RunOutcome, Scope, State, Verdict
from banyanseam.peers.contract import Network
from banyanseam.peers.errors import (
    PeerCallLost,
    PeerUnreachable,
)
from banyanseam.peers.messages import PeerIdentity


class HomeClient:
    """Claims keys at their homes, in this process or on another daemon."""

    def __init__(
        self,
        me: PeerIdentity,
        homes: Homes,
        network: Network,
        start_soon: Callable[..., Any],
    ) -> None:
        """Set the homes of this process and how to start background tasks."""
        self._me = me
        self._homes = homes
        self._locator = HomeLocator(me, homes, network)
        self._start_soon = start_soon
        self._pending_reports = 0
        self._report_finished = anyio.Event()

    async def acquire(self, keyed: KeyedRequest) -> Verdict:
        """Return a granted verdict or the answer of the earlier run of the key.

        Wait while such a run is in progress. Raise HomeUnreachable if the home does
        not reply in time, or the error that the home refuses the claim with.
        """
        sent_s = anyio.current_time()
        try:
            while True:
                verdict = await self._try_to_claim(keyed)
                if verdict is None:
                    self._check_deadline(keyed, sent_s)
                    await anyio.sleep(CLAIM_PAUSE_S)
                elif verdict.granted or verdict.state is State.DONE:
                    return verdict
                else:
                    sent_s = anyio.current_time()
        finally:
            # If the reply of a grant was lost, the key must not stay claimed.
            if keyed.may_be_granted:
                self._start_soon(self._release_with_retries, keyed)

    def finish(self, keyed: KeyedRequest, outcome: RunOutcome) -> None:
        """Report the outcome of the run; retry for up to REPORT_RETRY_LIMIT_S."""
        if outcome.answer and not outcome.answer.is_storable:
            outcome = RunOutcome(True)
        with suppress(NotHome):
            self._homes.find(keyed.home_seat).finish(
                keyed.scope, keyed.claim_id, outcome
            )
            return
        self._pending_reports += 1
        self._start_soon(self._report, keyed, outcome)

    async def wait_reported(self) -> None:
        """Wait until the outcome of every run is reported or its retries are over."""
        while self._pending_reports:
            await self._report_finished.wait()

    async def release(self, keyed: KeyedRequest) -> bool:
        """Free a key whose request was not sent.

        Return True only if the home confirms that no other receipt, which is an
        arrival of a request, claimed the key.
        """
        with anyio.move_on_after(RELEASE_TIMEOUT_S, shield=True):
            try:
                return await self._release(keyed)
            except BanyanseamError:
                self._start_soon(self._release_with_retries, keyed)
        return False

    def find_home(self, scope: Scope, route: str) -> str:
        """Return the home seat of a key; raise NotHome before a mapping is in force.

        Raise KeyRegionExcluded or HomeUnreachable if no seat may be the home.
        """
        return self._homes.own.find_home(scope, route)

    async def preview(
        self, scope: Scope, route: str, fingerprint: str | None
    ) -> KeyPreview:
        """Return the state that a claim would find at the home, without claiming.

        Raise the error that the home refuses with, or an error of the call.
        """
        home_seat = self.find_home(scope, route)
        message = PreviewKey(
            home=home_seat,
            organisation=scope.organisation,
            key=scope.key,
            route=route,
            fingerprint=fingerprint,
        )

        async def act_locally(home: Home) -> KeyPreview:
            return home.preview(scope, route, fingerprint)

        async def send(seat: str) -> KeyPreview:
            return await self._locator.ask(seat, message, KeyPreview)

        return await self._locator.reach(home_seat, act_locally, send)

    def _check_deadline(self, keyed: KeyedRequest, sent_s: float) -> None:
        now_s = anyio.current_time()
        if now_s >= min(keyed.deadline_s, sent_s + CLAIM_RETRY_LIMIT_S):
            raise HomeUnreachable(retry_after_ms=int(CLAIM_RETRY_LIMIT_S * 1000))

    async def _try_to_claim(self, keyed: KeyedRequest) -> Verdict | None:
        """Return the home's verdict, or None if the claim should be tried again."""
        claim = make_claim(keyed, self._me)

        async def act_locally(home: Home) -> Verdict:
            if keyed.ticket is not None:
                return await home.claim_ticket(claim, keyed.ticket)
            return await home.claim(claim, keyed.route)

        async def send(seat: str) -> Verdict:
            keyed.may_be_granted = True
            reply = await self._locator.ask(seat, pack_claim(claim, keyed), KeyClaimed)
            if reply.state == "granted":
                return Verdict(State.RUNNING, granted=True)
            answer = reply.answer.unpack() if reply.answer else None
            return Verdict(State(reply.state), answer=answer)

        try:
            keyed.home_seat = self._find_home(keyed)
            verdict = await self._locator.reach(keyed.home_seat, act_locally, send)
        except PeerCallLost:
            return None
        except (PeerUnreachable, NotHome):
            keyed.may_be_granted = False
            return None
        except BanyanseamError:
            keyed.may_be_granted = False
            raise
        keyed.may_be_granted = False
        return verdict

    def _find_home(self, keyed: KeyedRequest) -> str:
        if keyed.ticket is not None:
            return keyed.ticket.seat
        return self._homes.own.find_home(keyed.scope, keyed.route)

    async def _release(self, keyed: KeyedRequest) -> bool:
        message = ReleaseKey(
            home=keyed.home_seat,
            organisation=keyed.scope.organisation,
            key=keyed.scope.key,
            claim_id=keyed.claim_id,
        )

        async def act_locally(home: Home) -> bool:
            return home.release(keyed.scope, keyed.claim_id)

        async def send(seat: str) -> bool:
            return (await self._locator.ask(seat, message, KeyReleased)).alone

        return await self._locator.reach(keyed.home_seat, act_locally, send)

    async def _release_with_retries(self, keyed: KeyedRequest) -> None:
        await self._retry(lambda: self._release(keyed))

    async def _report(self, keyed: KeyedRequest, outcome: RunOutcome) -> None:
        message = FinishKey(
            home=keyed.home_seat,
            organisation=keyed.scope.organisation,
            key=keyed.scope.key,
            claim_id=keyed.claim_id,
            is_known=outcome.is_known,
            answer=AnswerBody.pack(outcome.answer) if outcome.answer else None,
        )

        async def act_locally(home: Home) -> bool:
            return home.finish(keyed.scope, keyed.claim_id, outcome)

        async def send(seat: str) -> bool:
            return (await self._locator.ask(seat, message, KeyFinished)).noted

        try:
            await self._retry(
                lambda: self._locator.reach(keyed.home_seat, act_locally, send)
            )
        finally:
            self._pending_reports -= 1
            self._report_finished.set()
            self._report_finished = anyio.Event()

    async def _retry(self, send: Callable[[], Any]) -> None:
        """Repeat a call until the home replies or REPORT_RETRY_LIMIT_S has passed."""
        deadline_s = anyio.current_time() + REPORT_RETRY_LIMIT_S
        while anyio.current_time() < deadline_s:
            try:
                await send()
                return
            except BanyanseamError:
                await anyio.sleep(REPORT_PAUSE_S)
