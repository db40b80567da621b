"""A caller that finds entry VMs by the directory, as the platform's callers do."""

import asyncio
import json
import random
import uuid
from collections.abc import Callable, Sequence
from typing import Final

from standins.kept_caller import Attempt, ask

DIRECTORY_TIMEOUT_S: Final = 1.0
CONNECT_TIMEOUT_S: Final = 1.0
# How many times as long as an answer of the directory allows some callers use it.
OLD_LIST_FACTOR: Final = 3
PAUSE_S: Final = 0.1

_Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class DirectoryCaller:
    """Sends one request after the other, on a kept connection where there is one."""

    def __init__(
        self,
        directories: Sequence[str],
        target: str,
        headers: dict[str, str],
        seed: str,
    ) -> None:
        """Store the directories' addresses, the nearest first, and the headers."""
        self.attempts: list[Attempt] = []
        # Attempts that found no VM to connect to, by the time in s and the address.
        self.unconnected: list[tuple[float, str]] = []
        self._directories = directories
        self._target = target
        self._headers = headers
        self._rng = random.Random(seed)
        self._keeps_old_list = self._rng.random() < 0.5
        self._addresses: list[str] = []
        self._valid_until_s = 0.0
        self._failed: set[str] = set()
        self._connection: tuple[str, _Connection] | None = None

    async def run(
        self, choose_path: Callable[[], str], is_ended: Callable[[], bool]
    ) -> None:
        """Send requests until `is_ended`."""
        try:
            while not is_ended():
                await self._update_list()
                connection = await self._connect()
                if connection is not None:
                    await self._ask(connection, choose_path())
                await asyncio.sleep(self._rng.uniform(0, PAUSE_S))
        finally:
            self._close()

    async def _update_list(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s < self._valid_until_s:
            return
        for address in self._directories:
            found = await self._look_up(address)
            if found is None:
                continue
            addresses, ttl_s = found
            factor = OLD_LIST_FACTOR if self._keeps_old_list else 1
            self._valid_until_s = now_s + ttl_s * factor
            self._addresses = addresses
            self._failed.clear()
            if self._connection is not None and self._connection[0] not in addresses:
                self._close()
            return

    async def _look_up(self, address: str) -> tuple[list[str], float] | None:
        host, port = address.rsplit(":", 1)
        request = f"GET {self._target} HTTP/1.1\r\nhost: {address}\r\n"
        try:
            async with asyncio.timeout(DIRECTORY_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(f"{request}connection: close\r\n\r\n".encode())
                answer = await reader.read()
                writer.close()
        except (OSError, TimeoutError):
            return None
        _, _, body = answer.partition(b"\r\n\r\n")
        if not answer.startswith(b"HTTP/1.1 200"):
            return None
        value = json.loads(body)
        return value["addresses"], value["ttl_s"]

    async def _connect(self) -> _Connection | None:
        if self._connection is not None:
            return self._connection[1]
        untried = [each for each in self._addresses if each not in self._failed]
        address = self._rng.choice(untried or self._addresses or [""])
        try:
            host, port = address.rsplit(":", 1)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError, ValueError):
            now_s = asyncio.get_running_loop().time()
            self.unconnected.append((now_s, address))
            self._failed.add(address)
            return None
        self._connection = address, connection
        return connection

    def _close(self) -> None:
        if self._connection is not None:
            self._connection[1][1].transport.abort()
        self._connection = None

    async def _ask(self, connection: _Connection, path: str) -> None:
        address = self._connection[0]
        attempt = Attempt(uuid.uuid4().hex[:16], address, path, 0.0)
        self.attempts.append(attempt)
        is_whole = await ask(connection, attempt, self._headers)
        if not is_whole or attempt.headers.get("connection") == "close":
            self._close()
