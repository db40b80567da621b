"""The entry's side: claim a key at its home, and tell the home how the run ended."""

import secrets
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any, TypeVar

import anyio

from banyanseam.errors import BanyanseamError
from banyanseam.idempotency import errors
from banyanseam.idempotency.const import (
    CLAIM_ID_BYTES,
    CLAIM_PATIENCE_S,
    CLAIM_PAUSE_S,
    CLAIM_TIMEOUT_S,
    MAX_ANSWER_BYTES,
    RELEASE_TIMEOUT_S,
    REPORT_PATIENCE_S,
    REPORT_PAUSE_S,
)
from banyanseam.idempotency.errors import HomeUnreachable, NotHome
from banyanseam.idempotency.home import Home
from banyanseam.idempotency.homes import Homes
from banyanseam.idempotency.messages import (
    AnswerBody,
    ClaimKey,
    ClaimTicket,
    FinishKey,
    KeyClaimed,
    KeyFinished,
    KeyReleased,
    KeySeen,
    LookAtKey,
    ReleaseKey,
)
from banyanseam.idempotency.models import Claim, End, Scope, State, Verdict
from banyanseam.idempotency.standbys import list_standbys
from banyanseam.idempotency.tickets import Ticket
from banyanseam.peers.contract import Network
from banyanseam.peers.errors import (
    InvalidPeerMessage,
    PeerCallFailed,
    PeerCallLost,
    PeerUnreachable,
)
from banyanseam.peers.messages import Message, PeerIdentity

Reply = TypeVar("Reply", bound=Message)
Result = TypeVar("Result")
_ERRORS_BY_CODE = {
    value.code: value
    for value in vars(errors).values()
    if isinstance(value, type) and issubclass(value, BanyanseamError)
}


@dataclass(slots=True)
class Wish:
    """One receipt of a request that wants to run under a key."""

    scope: Scope
    route: str
    fingerprint: str
    claim_id: bytes
    received_s: float
    deadline_s: float
    # The ticket that is the key, where one is.
    ticket: Ticket | None = None
    # The home seat that was asked last; the end of the run is told to it.
    home_seat: str = ""
    # True while a claim may have been granted without this entry knowing.
    may_be_granted: bool = False


def make_wish(
    scope: Scope,
    route: str,
    fingerprint: str,
    received_s: float,
    deadline_s: float,
    ticket: Ticket | None = None,
) -> Wish:
    """Return a wish with an id of its own, never used for another receipt."""
    claim_id = secrets.token_bytes(CLAIM_ID_BYTES)
    return Wish(scope, route, fingerprint, claim_id, received_s, deadline_s, ticket)


def make_claim(wish: Wish, me: PeerIdentity) -> Claim:
    """Return the claim that a process makes now."""
    now_s = anyio.current_time()
    return Claim(
        wish.scope,
        wish.fingerprint,
        wish.claim_id,
        me.seat,
        me.incarnation,
        run_s=max(0.0, wish.deadline_s - now_s),
        age_s=max(0.0, now_s - wish.received_s),
    )


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
        self._network = network
        self._start_soon = start_soon
        # Which seat answered last for a home: itself or one of its standbys.
        self._holders: dict[str, str] = {}
        self._pending_reports = 0
        self._report_ended = anyio.Event()

    async def acquire(self, wish: Wish) -> Verdict:
        """Return a granted verdict or the answer of the run that came first.

        Waits for a run under way. Raise HomeUnreachable when the home does not
        answer in time, and what the home refuses with.
        """
        sent_s = anyio.current_time()
        try:
            while True:
                verdict = await self._try_to_claim(wish)
                if verdict is None:
                    self._check_patience(wish, sent_s)
                    await anyio.sleep(CLAIM_PAUSE_S)
                elif verdict.granted or verdict.state is State.DONE:
                    return verdict
                else:
                    sent_s = anyio.current_time()
        finally:
            # A grant whose reply was lost must not hold the key for nothing.
            if wish.may_be_granted:
                self._start_soon(self._release_at_leisure, wish)

    def finish(self, wish: Wish, end: End) -> None:
        """Tell the home how the run ended, again and again until it has noted it."""
        if end.answer and end.answer.size_bytes() > MAX_ANSWER_BYTES:
            end = End(True)
        with suppress(NotHome):
            self._homes.find(wish.home_seat).finish(wish.scope, wish.claim_id, end)
            return
        self._pending_reports += 1
        self._start_soon(self._report, wish, end)

    async def wait_reported(self) -> None:
        """Return when every end of a run is noted by its home or given up."""
        while self._pending_reports:
            await self._report_ended.wait()

    async def release(self, wish: Wish) -> bool:
        """Free a key under which nothing was sent; True if nobody else may run it."""
        with anyio.move_on_after(RELEASE_TIMEOUT_S, shield=True):
            try:
                return await self._release(wish)
            except BanyanseamError:
                self._start_soon(self._release_at_leisure, wish)
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
            return await self._ask(seat, message, KeySeen)

        return await self._reach(home_seat, act, ask)

    def _check_patience(self, wish: Wish, sent_s: float) -> None:
        now_s = anyio.current_time()
        if now_s >= min(wish.deadline_s, sent_s + CLAIM_PATIENCE_S):
            raise HomeUnreachable(retry_after_ms=int(CLAIM_PATIENCE_S * 1000))

    async def _try_to_claim(self, wish: Wish) -> Verdict | None:
        """Return the home's verdict, None when it could not be had this time."""
        claim = make_claim(wish, self._me)

        async def act(home: Home) -> Verdict:
            if wish.ticket is not None:
                return await home.claim_ticket(claim, wish.ticket)
            return await home.claim(claim, wish.route)

        async def ask(seat: str) -> Verdict:
            wish.may_be_granted = True
            reply = await self._ask(seat, _pack(claim, wish), KeyClaimed)
            if reply.state == "granted":
                return Verdict(State.RUNNING, granted=True)
            answer = reply.answer.unpack() if reply.answer else None
            return Verdict(State(reply.state), answer=answer)

        try:
            wish.home_seat = self._find_home(wish)
            verdict = await self._reach(wish.home_seat, act, ask)
        except PeerCallLost:
            return None
        except (PeerUnreachable, NotHome):
            wish.may_be_granted = False
            return None
        except BanyanseamError:
            wish.may_be_granted = False
            raise
        wish.may_be_granted = False
        return verdict

    def _find_home(self, wish: Wish) -> str:
        if wish.ticket is not None:
            return wish.ticket.seat
        return self._homes.own.find_home(wish.scope, wish.route)

    async def _reach(
        self,
        home_seat: str,
        act: Callable[[Home], Awaitable[Result]],
        ask: Callable[[str], Awaitable[Result]],
    ) -> Result:
        """Return what the home says, or the standby that acts for it.

        Raise PeerUnreachable or NotHome when none of them is there.
        """
        failure: BanyanseamError = NotHome(f"nobody acts for {home_seat}")
        for seat in self._list_holders(home_seat):
            try:
                if seat == self._me.seat:
                    result = await act(self._homes.find(home_seat))
                else:
                    result = await ask(seat)
            except (PeerUnreachable, NotHome) as error:
                failure = error
                continue
            self._holders[home_seat] = seat
            return result
        raise failure

    def _list_holders(self, home_seat: str) -> list[str]:
        standbys = list_standbys(self._homes.own.mapping, home_seat)
        last = self._holders.get(home_seat)
        return sorted([home_seat, *standbys], key=lambda seat: seat != last)

    async def _ask(self, seat: str, message: Message, reply_type: type[Reply]) -> Reply:
        try:
            return await self._network.call(seat, message, reply_type, CLAIM_TIMEOUT_S)
        except PeerCallFailed as failure:
            kind = _ERRORS_BY_CODE.get(failure.peer_code)
            if failure.peer_code == InvalidPeerMessage.code:
                # A process that has just started does not answer claims yet.
                raise PeerUnreachable(failure.detail) from failure
            if kind is None:
                raise HomeUnreachable(failure.detail) from failure
            raise kind(retry_after_ms=failure.retry_after_ms) from failure

    async def _release(self, wish: Wish) -> bool:
        message = ReleaseKey(
            home=wish.home_seat,
            organisation=wish.scope.organisation,
            key=wish.scope.key,
            claim_id=wish.claim_id,
        )

        async def act(home: Home) -> bool:
            return home.release(wish.scope, wish.claim_id)

        async def ask(seat: str) -> bool:
            return (await self._ask(seat, message, KeyReleased)).alone

        return await self._reach(wish.home_seat, act, ask)

    async def _release_at_leisure(self, wish: Wish) -> None:
        await self._persist(lambda: self._release(wish))

    async def _report(self, wish: Wish, end: End) -> None:
        message = FinishKey(
            home=wish.home_seat,
            organisation=wish.scope.organisation,
            key=wish.scope.key,
            claim_id=wish.claim_id,
            is_known=end.is_known,
            answer=AnswerBody.pack(end.answer) if end.answer else None,
        )

        async def act(home: Home) -> bool:
            return home.finish(wish.scope, wish.claim_id, end)

        async def ask(seat: str) -> bool:
            return (await self._ask(seat, message, KeyFinished)).noted

        try:
            await self._persist(lambda: self._reach(wish.home_seat, act, ask))
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


def _pack(claim: Claim, wish: Wish) -> ClaimKey:
    fields = {
        "home": wish.home_seat,
        "organisation": claim.scope.organisation,
        "key": claim.scope.key,
        "claim_id": claim.claim_id,
        "route": wish.route,
        "fingerprint": claim.fingerprint,
        "run_ms": int(claim.run_s * 1000) + 1,
        "age_ms": int(claim.age_s * 1000),
    }
    if wish.ticket is None:
        return ClaimKey(**fields)
    return ClaimTicket(
        incarnation=wish.ticket.incarnation,
        expires_ms=wish.ticket.expires_ms,
        **fields,
    )
