"""Finds the process that has a home's keys: the home or an acting standby."""

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


class HomeLocator:
    """Calls homes, and tries first the seat where each home was found last."""

    def __init__(self, me: PeerIdentity, homes: Homes, network: Network) -> None:
        """Set the homes of this process and the network to other seats."""
        self._me = me
        self._homes = homes
        self._network = network
        self._last_seats: dict[str, str] = {}

    async def reach(
        self,
        home_seat: str,
        act: Callable[[Home], Awaitable[Result]],
        ask: Callable[[str], Awaitable[Result]],
    ) -> Result:
        """Return the result of the home or of the standby that acts for it.

        `act` runs on a home in this process, `ask` calls one at another seat. If no
        process acts for the home, raise PeerUnreachable if a candidate could not be
        reached, else NotHome.
        """
        unreachable: PeerUnreachable | None = None
        for seat in self._list_candidates(home_seat):
            try:
                if seat == self._me.seat:
                    result = await act(self._homes.find(home_seat))
                else:
                    result = await ask(seat)
            except PeerUnreachable as error:
                unreachable = unreachable or error
                continue
            except NotHome:
                continue
            self._last_seats[home_seat] = seat
            return result
        raise unreachable or NotHome(f"no process acts for {home_seat}")

    async def ask(self, seat: str, message: Message, reply_type: type[Reply]) -> Reply:
        """Call a home or standby; raise the error in its reply or PeerUnreachable."""
        try:
            return await self._network.call(seat, message, reply_type, CLAIM_TIMEOUT_S)
        except PeerCallFailed as failure:
            error_type = _ERRORS_BY_CODE.get(failure.peer_code)
            if failure.peer_code == InvalidPeerMessage.code:
                # A process that has just started does not handle claims yet.
                raise PeerUnreachable(failure.detail) from failure
            if error_type is None:
                raise HomeUnreachable(failure.detail) from failure
            raise error_type(retry_after_ms=failure.retry_after_ms) from failure

    def _list_candidates(self, home_seat: str) -> list[str]:
        standbys = list_standbys(self._homes.own.mapping, home_seat)
        last_seat = self._last_seats.get(home_seat)
        return sorted([home_seat, *standbys], key=lambda seat: seat != last_seat)
