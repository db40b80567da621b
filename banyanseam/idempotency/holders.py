"""Finding who holds a home's keys: the home itself or a standby that acts for it."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from banyanseam.errors import BanyanseamError
from banyanseam.idempotency import errors
from banyanseam.idempotency.const import CLAIM_TIMEOUT_S
from banyanseam.idempotency.errors import HomeUnreachable, NotHome
from banyanseam.idempotency.home import Home
from banyanseam.idempotency.homes import Homes
from banyanseam.idempotency.standbys import list_standbys
from banyanseam.peers.contract import Network
from banyanseam.peers.errors import (
    InvalidPeerMessage,
    PeerCallFailed,
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


class Holders:
    """Where each home was found last."""

    def __init__(self, me: PeerIdentity, homes: Homes, network: Network) -> None:
        """Look for homes in this process first where it may have them."""
        self._me = me
        self._homes = homes
        self._network = network
        self._last: dict[str, str] = {}

    async def reach(
        self,
        home_seat: str,
        act: Callable[[Home], Awaitable[Result]],
        ask: Callable[[str], Awaitable[Result]],
    ) -> Result:
        """Return what the home says, or the standby that acts for it.

        Raise PeerUnreachable or NotHome when none of them is there.
        """
        failure: BanyanseamError = NotHome(f"nobody acts for {home_seat}")
        for seat in self._list(home_seat):
            try:
                if seat == self._me.seat:
                    result = await act(self._homes.find(home_seat))
                else:
                    result = await ask(seat)
            except (PeerUnreachable, NotHome) as error:
                failure = error
                continue
            self._last[home_seat] = seat
            return result
        raise failure

    async def ask(self, seat: str, message: Message, reply_type: type[Reply]) -> Reply:
        """Call a home or standby; raise what it refuses with, or PeerUnreachable."""
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

    def _list(self, home_seat: str) -> list[str]:
        standbys = list_standbys(self._homes.own.mapping, home_seat)
        last = self._last.get(home_seat)
        return sorted([home_seat, *standbys], key=lambda seat: seat != last)
