"""The entry's side: claim a key at its home, and tell the home how the run ended."""

from collections.abc import Callable
from contextlib import suppress
from typing import Any

import anyio

from banyanseam.errors import BanyanseamError
from banyanseam.idempotency.const import (
    CLAIM_PATIENCE_S,
    CLAIM_PAUSE_S,
    RELEASE_TIMEOUT_S,
    REPORT_PATIENCE_S,
    REPORT_PAUSE_S,
)
from banyanseam.idempotency.errors import HomeUnreachable, NotHome
from banyanseam.idempotency.holders import Holders
from banyanseam.idempotency.home import Home
from banyanseam.idempotency.homes import Homes
from banyanseam.idempotency.keyed_request import KeyedRequest, make_claim, pack_claim
from banyanseam.idempotency.messages import (
    AnswerBody,
    FinishKey,
    KeyClaimed,
    KeyFinished,
    KeyReleased,
    KeySeen,
    LookAtKey,
    ReleaseKey,
)
from banyanseam.idempotency.models import End, Scope, State, Verdict
from banyanseam.peers.contract import Network
from banyanseam.peers.errors import (
    PeerCallLost,
    PeerUnreachable,
)
from banyanseam.peers.messages import PeerIdentity


class HomeClient:
    """Claims keys at their homes, here or on another daemon."""

    def __init__(
        self,
        me: PeerIdentity,
        homes: Homes,
        network: Network,
        start_soon: Callable[..., Any],
    ) -> None:
        """Take this process's homes, and where to start what goes on by itself."""
        self._me = me
        self._homes = homes
        self._holders = Holders(me, homes, network)
        self._start_soon = start_soon
        self._pending_reports = 0
        self._report_ended = anyio.Event()

    async def acquire(self, keyed: KeyedRequest) -> Verdict:
        """Return a granted verdict or the answer of the run that came first.

        Waits for a run under way. Raise HomeUnreachable when the home does not
        answer in time, and what the home refuses with.
        """
        sent_s = anyio.current_time()
        try:
            while True:
                verdict = await self._try_to_claim(keyed)
                if verdict is None:
                    self._check_patience(keyed, sent_s)
                    await anyio.sleep(CLAIM_PAUSE_S)
                elif verdict.granted or verdict.state is State.DONE:
                    return verdict
                else:
                    sent_s = anyio.current_time()
        finally:
            # A grant whose reply was lost must not hold the key for nothing.
            if keyed.may_be_granted:
                self._start_soon(self._release_at_leisure, keyed)

    def finish(self, keyed: KeyedRequest, end: End) -> None:
        """Tell the home how the run ended, again and again until it has noted it."""
        if end.answer and not end.answer.is_short:
            end = End(True)
        with suppress(NotHome):
            self._homes.find(keyed.home_seat).finish(keyed.scope, keyed.claim_id, end)
            return
        self._pending_reports += 1
        self._start_soon(self._report, keyed, end)

    async def wait_reported(self) -> None:
        """Return when every end of a run is noted by its home or given up."""
        while self._pending_reports:
            await self._report_ended.wait()

    async def release(self, keyed: KeyedRequest) -> bool:
        """Free a key under which nothing was sent; True if nobody else may run it."""
        with anyio.move_on_after(RELEASE_TIMEOUT_S, shield=True):
            try:
                return await self._release(keyed)
            except BanyanseamError:
                self._start_soon(self._release_at_leisure, keyed)
        return False

    def find_home(self, scope: Scope, route: str) -> str:
        """Return the home seat of a key; raise what a claim would be refused with."""
        return self._homes.own.find_home(scope, route)

    async def look(self, scope: Scope, route: str, fingerprint: str | None) -> KeySeen:
        """Return what a claim would find at the home; nothing is claimed.

        Raise what the home refuses with, or what the call of it raises.
        """
        home_seat = self.find_home(scope, route)
        message = LookAtKey(
            home=home_seat,
            organisation=scope.organisation,
            key=scope.key,
            route=route,
            fingerprint=fingerprint,
        )

        async def act(home: Home) -> KeySeen:
            return home.look(scope, route, fingerprint)

        async def ask(seat: str) -> KeySeen:
            return await self._holders.ask(seat, message, KeySeen)

        return await self._holders.reach(home_seat, act, ask)

    def _check_patience(self, keyed: KeyedRequest, sent_s: float) -> None:
        now_s = anyio.current_time()
        if now_s >= min(keyed.deadline_s, sent_s + CLAIM_PATIENCE_S):
            raise HomeUnreachable(retry_after_ms=int(CLAIM_PATIENCE_S * 1000))

    async def _try_to_claim(self, keyed: KeyedRequest) -> Verdict | None:
        """Return the home's verdict, None when it could not be had this time."""
        claim = make_claim(keyed, self._me)

        async def act(home: Home) -> Verdict:
            if keyed.ticket is not None:
                return await home.claim_ticket(claim, keyed.ticket)
            return await home.claim(claim, keyed.route)

        async def ask(seat: str) -> Verdict:
            keyed.may_be_granted = True
            reply = await self._holders.ask(seat, pack_claim(claim, keyed), KeyClaimed)
            if reply.state == "granted":
                return Verdict(State.RUNNING, granted=True)
            answer = reply.answer.unpack() if reply.answer else None
            return Verdict(State(reply.state), answer=answer)

        try:
            keyed.home_seat = self._find_home(keyed)
            verdict = await self._holders.reach(keyed.home_seat, act, ask)
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

        async def act(home: Home) -> bool:
            return home.release(keyed.scope, keyed.claim_id)

        async def ask(seat: str) -> bool:
            return (await self._holders.ask(seat, message, KeyReleased)).alone

        return await self._holders.reach(keyed.home_seat, act, ask)

    async def _release_at_leisure(self, keyed: KeyedRequest) -> None:
        await self._persist(lambda: self._release(keyed))

    async def _report(self, keyed: KeyedRequest, end: End) -> None:
        message = FinishKey(
            home=keyed.home_seat,
            organisation=keyed.scope.organisation,
            key=keyed.scope.key,
            claim_id=keyed.claim_id,
            is_known=end.is_known,
            answer=AnswerBody.pack(end.answer) if end.answer else None,
        )

        async def act(home: Home) -> bool:
            return home.finish(keyed.scope, keyed.claim_id, end)

        async def ask(seat: str) -> bool:
            return (await self._holders.ask(seat, message, KeyFinished)).noted

        try:
            await self._persist(lambda: self._holders.reach(keyed.home_seat, act, ask))
        finally:
            self._pending_reports -= 1
            self._report_ended.set()
            self._report_ended = anyio.Event()

    async def _persist(self, tell: Callable[[], Any]) -> None:
        """Repeat a message until the home has taken it or patience ends."""
        until_s = anyio.current_time() + REPORT_PATIENCE_S
        while anyio.current_time() < until_s:
            try:
                await tell()
                return
            except BanyanseamError:
                await anyio.sleep(REPORT_PAUSE_S)
