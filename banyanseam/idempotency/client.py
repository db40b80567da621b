"""The entry's side: claim a key at its home, and tell the home how the run ended."""

import secrets
from collections.abc import Callable
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
from banyanseam.idempotency.messages import (
    AnswerBody,
    ClaimKey,
    FinishKey,
    KeyClaimed,
    KeyFinished,
    KeyReleased,
    KeySeen,
    LookAtKey,
    ReleaseKey,
)
from banyanseam.idempotency.models import Claim, End, Scope, State, Verdict
from banyanseam.peers.contract import Network
from banyanseam.peers.errors import (
    InvalidPeerMessage,
    PeerCallFailed,
    PeerCallLost,
    PeerUnreachable,
)
from banyanseam.peers.messages import Message, PeerIdentity

Reply = TypeVar("Reply", bound=Message)
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
    # The seat that was asked last; the end of the run is told to it.
    home_seat: str = ""
    # True while a claim may have been granted without this entry knowing.
    may_be_granted: bool = False


def make_wish(
    scope: Scope, route: str, fingerprint: str, received_s: float, deadline_s: float
) -> Wish:
    """Return a wish with an id of its own, never used for another receipt."""
    claim_id = secrets.token_bytes(CLAIM_ID_BYTES)
    return Wish(scope, route, fingerprint, claim_id, received_s, deadline_s)


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
        home: Home,
        network: Network,
        start_soon: Callable[..., Any],
    ) -> None:
        """Take this process's own home, and where to start what goes on by itself."""
        self._me = me
        self._home = home
        self._network = network
        self._start_soon = start_soon

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
        if wish.home_seat == self._me.seat:
            self._home.finish(wish.scope, wish.claim_id, end)
            return
        self._start_soon(self._report, wish, end)

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
        return self._home.find_home(scope, route)

    async def look(self, scope: Scope, route: str, fingerprint: str | None) -> KeySeen:
        """Return what a claim would find at the home; nothing is claimed.

        Raise what the home refuses with, or what the call of it raises.
        """
        seat = self._home.find_home(scope, route)
        if seat == self._me.seat:
            return self._home.look(scope, route, fingerprint)
        message = LookAtKey(
            organisation=scope.organisation,
            key=scope.key,
            route=route,
            fingerprint=fingerprint,
        )
        return await self._ask(seat, message, KeySeen)

    def _check_patience(self, wish: Wish, sent_s: float) -> None:
        now_s = anyio.current_time()
        if now_s >= min(wish.deadline_s, sent_s + CLAIM_PATIENCE_S):
            raise HomeUnreachable(retry_after_ms=int(CLAIM_PATIENCE_S * 1000))

    async def _try_to_claim(self, wish: Wish) -> Verdict | None:
        """Return the home's verdict, None when it could not be had this time."""
        claim = make_claim(wish, self._me)
        try:
            wish.home_seat = self._home.find_home(wish.scope, wish.route)
            if wish.home_seat == self._me.seat:
                return await self._home.claim(claim, wish.route)
            wish.may_be_granted = True
            reply = await self._ask(
                wish.home_seat, _pack(claim, wish.route), KeyClaimed
            )
        except PeerCallLost:
            return None
        except (PeerUnreachable, NotHome):
            wish.may_be_granted = False
            return None
        except BanyanseamError:
            wish.may_be_granted = False
            raise
        wish.may_be_granted = False
        if reply.state == "granted":
            return Verdict(State.RUNNING, granted=True)
        answer = reply.answer.unpack() if reply.answer else None
        return Verdict(State(reply.state), answer=answer)

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
        if wish.home_seat == self._me.seat:
            return self._home.release(wish.scope, wish.claim_id)
        message = ReleaseKey(
            organisation=wish.scope.organisation,
            key=wish.scope.key,
            claim_id=wish.claim_id,
        )
        return (await self._ask(wish.home_seat, message, KeyReleased)).alone

    async def _release_at_leisure(self, wish: Wish) -> None:
        await self._persist(lambda: self._release(wish))

    async def _report(self, wish: Wish, end: End) -> None:
        message = FinishKey(
            organisation=wish.scope.organisation,
            key=wish.scope.key,
            claim_id=wish.claim_id,
            is_known=end.is_known,
            answer=AnswerBody.pack(end.answer) if end.answer else None,
        )
        await self._persist(lambda: self._ask(wish.home_seat, message, KeyFinished))

    async def _persist(self, tell: Callable[[], Any]) -> None:
        """Repeat a message until the home has taken it or patience ends."""
        until_s = anyio.current_time() + REPORT_PATIENCE_S
        while anyio.current_time() < until_s:
            try:
                await tell()
                return
            except BanyanseamError:
                await anyio.sleep(REPORT_PAUSE_S)


def _pack(claim: Claim, route: str) -> ClaimKey:
    return ClaimKey(
        organisation=claim.scope.organisation,
        key=claim.scope.key,
        claim_id=claim.claim_id,
        route=route,
        fingerprint=claim.fingerprint,
        run_ms=int(claim.run_s * 1000) + 1,
        age_ms=int(claim.age_s * 1000),
    )
