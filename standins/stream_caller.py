"""A caller that leaves streams and takes them up at any entry VM."""

import asyncio
import random
import re
import uuid
from collections.abc import Callable
from typing import Final

from standins.kept_caller import RECONNECT_S, WHOLE, Attempt, ask

PATH: Final = "/query/x"
MAX_EVENTS: Final = 3
WAIT_S: Final = 1.0
_WHOLE_EVENT: Final = re.compile(rb"id: (\d+)\n[^\n]*\n\n")


def find_last_event(body: bytes) -> int:
    """Return the number of the last whole event of a stream, 0 if there is none."""
    numbers = _WHOLE_EVENT.findall(body)
    return int(numbers[-1]) if numbers else 0


class StreamCaller:
    """Begins one stream after the other and takes each up once or twice."""

    def __init__(
        self, vms: dict[str, str], port: int, headers: dict[str, str], seed: str
    ) -> None:
        """Store the addresses of the VMs by name and the headers of every request."""
        self.attempts: list[Attempt] = []
        self._vms = vms
        self._port = port
        self._headers = headers
        self._rng = random.Random(seed)

    async def run(self, is_ended: Callable[[], bool]) -> None:
        """Begin streams and take them up until `is_ended`."""
        while not is_ended():
            await self._follow(is_ended)

    async def _follow(self, is_ended: Callable[[], bool]) -> None:
        begun_as, after_event = None, 0
        take_ups = self._rng.choice((1, 1, 2))
        for number in range(take_ups + 1):
            leaves_after = self._choose_leave(number < take_ups)
            attempt = await self._ask(begun_as, after_event, leaves_after, is_ended)
            if attempt is None or attempt.end == WHOLE:
                return
            last_event = find_last_event(attempt.body)
            if last_event and begun_as is None:
                begun_as = attempt.request_id
            if begun_as is None:
                return
            after_event = max(after_event, last_event)
            if self._rng.random() < 0.3:
                await asyncio.sleep(WAIT_S)

    def _choose_leave(self, is_taken_up: bool) -> int | None:
        return self._rng.randint(1, MAX_EVENTS) if is_taken_up else None

    async def _ask(
        self,
        begun_as: str | None,
        after_event: int,
        leaves_after: int | None,
        is_ended: Callable[[], bool],
    ) -> Attempt | None:
        """Send a request to the first random VM that can be connected to."""
        while not is_ended():
            vm = self._rng.choice([*self._vms])
            try:
                connection = await asyncio.open_connection(self._vms[vm], self._port)
            except OSError:
                await asyncio.sleep(RECONNECT_S)
                continue
            attempt = Attempt(uuid.uuid4().hex[:16], vm, PATH, 0.0)
            attempt.begun_as, attempt.after_event = begun_as, after_event
            self.attempts.append(attempt)
            try:
                await ask(connection, attempt, self._headers, leaves_after)
            finally:
                connection[1].transport.abort()
            return attempt
        return None
