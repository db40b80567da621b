"""Fetches published values from peers that have newer ones."""

from typing import Final

import anyio
import cbor2
from anyio.abc import TaskGroup
from pydantic import ValidationError

from banyanseam.entry.const import CONNECT_TIMEOUT_S, STORE_TIMEOUT_S
from banyanseam.entry.messages import ValuesMessage
from banyanseam.entry.models import StorePosition
from banyanseam.entry.peer_headers import SENDER
from banyanseam.entry.sending import OutgoingRequest, send
from banyanseam.entry.values import PublishedValues
from banyanseam.errors import BanyanseamError
from banyanseam.observe.events import VALUES_NOT_FETCHED, log

VALUES_PATH: Final = "/banyanseam/values"


class ValuesFetcher:
    """Fetches values, from one peer once at a time."""

    def __init__(self, values: PublishedValues, own_ip: str, peers_port: int) -> None:
        """Store where the values go; `tasks` must be set before `start_if_newer`."""
        self.tasks: TaskGroup | None = None
        self._values = values
        self._own_ip = own_ip
        self._peers_port = peers_port
        # The newest configuration that a peer has reported, and that peer.
        self._newest: tuple[int, str] = (0, "")
        # Set when the running fetch from the peer at an address has ended.
        self._ended: dict[str, anyio.Event] = {}

    def start_if_newer(
        self, ip: str, version: int, evacuation_position: StorePosition
    ) -> None:
        """Start to fetch a peer's values if it reports newer ones."""
        self._newest = max(self._newest, (version, ip))
        is_newer = (
            version > self._values.version
            or evacuation_position > self._values.confirmed_evacuation_position
        )
        if is_newer and not self._ended and self.tasks is not None:
            self.tasks.start_soon(self._fetch, ip, self._claim(ip))

    async def catch_up_with_peers(self, timeout_s: float) -> None:
        """Fetch the newest configuration that a peer has reported, as `catch_up`."""
        version, ip = self._newest
        await self.catch_up(ip, version, timeout_s)

    async def catch_up(self, ip: str, version: int, timeout_s: float) -> None:
        """Fetch a peer's values unless a version is in force; give up at the timeout.

        Requests that wait for the same peer share its fetches. A fetch that is already
        running may return an older version, so a second one follows it.
        """
        with anyio.move_on_after(timeout_s):
            for _ in range(2):
                if self._values.version >= version:
                    return
                ended = self._ended.get(ip)
                if ended is None:
                    await self._fetch(ip, self._claim(ip))
                    return
                await ended.wait()

    def _claim(self, ip: str) -> anyio.Event:
        """Mark a fetch as running before its task starts; return what ends it."""
        ended = self._ended[ip] = anyio.Event()
        return ended

    async def _fetch(self, ip: str, ended: anyio.Event) -> None:
        try:
            with anyio.fail_after(2 * STORE_TIMEOUT_S):
                async with send(self._make_request(ip), lambda: None) as incoming:
                    body = b"".join([chunk async for chunk in incoming.body])
            message = ValuesMessage.model_validate(cbor2.loads(body))
            self._values.apply_message(message, ip, anyio.current_time())
        except (
            BanyanseamError,
            TimeoutError,
            cbor2.CBORDecodeError,
            ValidationError,
        ) as error:
            log(VALUES_NOT_FETCHED, peer=ip, error=repr(error)[:200])
        finally:
            del self._ended[ip]
            ended.set()

    def _make_request(self, ip: str) -> OutgoingRequest:
        return OutgoingRequest(
            address=f"{ip}:{self._peers_port}",
            method="GET",
            target=VALUES_PATH.encode(),
            headers=[(b"host", ip.encode()), (SENDER, self._own_ip.encode())],
            body=b"",
            connect_timeout_s=CONNECT_TIMEOUT_S,
            first_byte_timeout_s=STORE_TIMEOUT_S,
        )
