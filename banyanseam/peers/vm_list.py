"""Poll the platform's list of VMs, which lags and so only makes processes suspect."""

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
    """One VM of the platform's list, with its state."""

    name: str
    state: Literal["live", "leaving"]


class VmListReply(BaseModel):
    """The list of VMs as the platform returns it."""

    vms: list[ListedVm]


# Receives the names of the live VMs and those of the leaving VMs.
VmListCallback = Callable[[set[str], set[str]], None]


class VmListReader:
    """Polls the list of VMs; a failed poll leaves the last list in effect."""

    def __init__(
        self, address: str, on_list: VmListCallback, rng: random.Random
    ) -> None:
        """Start without leaving VMs; `run` polls."""
        self.leaving: frozenset[str] = frozenset()
        self._url = f"http://{address}/v1/vms"
        self._on_list = on_list
        self._rng = rng
        self._is_unreadable = False

    async def run(self) -> None:
        """Poll until cancelled."""
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                await self._read(pool)
                factor = self._rng.uniform(VM_LIST_JITTER_FLOOR, 1)
                await anyio.sleep(VM_LIST_PERIOD_S * factor)

    async def _read(self, pool: httpcore.AsyncConnectionPool) -> None:
        try:
            response = await fetch(
                pool, self._url, VM_LIST_TIMEOUT_S, MAX_VM_LIST_BYTES
            )
            self.apply(VmListReply.model_validate_json(response.content))
        except (PlatformUnreadable, ValidationError) as error:
            self._log_unreadable_once(error)

    def apply(self, reply: VmListReply) -> None:
        """Record which VMs are leaving, and pass the list to the callback."""
        self._is_unreadable = False
        leaving = {vm.name for vm in reply.vms if vm.state == "leaving"}
        self.leaving = frozenset(leaving)
        self._on_list({vm.name for vm in reply.vms} - leaving, leaving)

    def _log_unreadable_once(self, error: Exception) -> None:
        if not self._is_unreadable:
            log(VM_LIST_DOWN, error=type(error).__name__)
        self._is_unreadable = True
