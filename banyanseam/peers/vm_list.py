"""The platform's list of live and leaving VMs, which lags and so only adds doubt."""

import random
from collections.abc import Callable
from typing import Literal

import anyio
import httpcore
from pydantic import BaseModel, ValidationError

from banyanseam.observe.events import VM_LIST_DOWN, log
from banyanseam.peers.const import (
    MAX_VM_LIST_BYTES,
    VM_LIST_JITTER_FLOOR,
    VM_LIST_PERIOD_S,
    VM_LIST_TIMEOUT_S,
)
from banyanseam.peers.errors import PlatformUnreadable
from banyanseam.peers.fetch import fetch


class ListedVm(BaseModel):
    """One VM of the list."""

    name: str
    state: Literal["live", "leaving"]


class VmListReply(BaseModel):
    """The whole list as the platform gives it."""

    vms: list[ListedVm]


# Takes the names that live and the names that leave.
TakeList = Callable[[set[str], set[str]], None]


class VmListReader:
    """Reads the list now and then; a list that cannot be read changes nothing."""

    def __init__(self, address: str, take: TakeList, chance: random.Random) -> None:
        """Know of nobody who leaves yet."""
        self.leaving: frozenset[str] = frozenset()
        self._url = f"http://{address}/v1/vms"
        self._take = take
        self._chance = chance
        self._is_down = False

    async def run(self) -> None:
        """Read until cancelled."""
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                await self._read(pool)
                share = self._chance.uniform(VM_LIST_JITTER_FLOOR, 1)
                await anyio.sleep(VM_LIST_PERIOD_S * share)

    async def _read(self, pool: httpcore.AsyncConnectionPool) -> None:
        try:
            answer = await fetch(pool, self._url, VM_LIST_TIMEOUT_S, MAX_VM_LIST_BYTES)
            self.take(VmListReply.model_validate_json(answer.content))
        except (PlatformUnreadable, ValidationError) as error:
            self._note_down(error)

    def take(self, reply: VmListReply) -> None:
        """Take one reading over."""
        self._is_down = False
        leaving = {vm.name for vm in reply.vms if vm.state == "leaving"}
        self.leaving = frozenset(leaving)
        self._take({vm.name for vm in reply.vms} - leaving, leaving)

    def _note_down(self, error: Exception) -> None:
        if not self._is_down:
            log(VM_LIST_DOWN, error=type(error).__name__)
        self._is_down = True
