"""Key-value store of the users' platform, to list and watch, with faults."""

import base64
import json
from dataclasses import dataclass, field
from typing import Any

import anyio

from standins.serving import Request

PAGE_SIZE = 50
MAX_WAIT_S = 30.0


@dataclass(slots=True)
class Item:
    """A value, or the tombstone of a deleted value."""

    value: bytes | None
    revision: int


@dataclass(slots=True)
class PlatformStore:
    """Values by key, the revisions of their changes, and the current fault."""

    items: dict[str, Item] = field(default_factory=dict)
    revision: int = 1
    # The history of changes up to this revision has been compacted.
    compacted_revision: int = 0
    changed: anyio.Event = field(default_factory=anyio.Event)
    # None, or the status to answer every call with; 0 drops the connection.
    failing: int | None = None
    calls: int = 0
    is_closing: bool = False

    def put(self, key: str, value: Any) -> None:
        """Write a value; bytes are stored unchanged, anything else as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._write(key, data)

    def delete(self, key: str) -> None:
        """Delete a value and leave a tombstone."""
        self._write(key, None)

    def compact(self) -> None:
        """Compact the history of changes; watches from before are answered with 410."""
        self.compacted_revision = self.revision

    def close(self) -> None:
        """End all watches, so that their calls return."""
        self.is_closing = True
        self.changed.set()

    async def handle(self, request: Request) -> None:
        """Answer one call."""
        self.calls += 1
        if self.failing == 0:
            request.drop()
        elif self.failing is not None:
            await request.answer(self.failing, {})
        elif request.path == "/v1/kv-range":
            await request.answer(200, self._list(request))
        elif request.path == "/v1/kv-watch":
            await self._watch(request)
        else:
            await request.answer(404, {})

    def _write(self, key: str, data: bytes | None) -> None:
        self.revision += 1
        self.items[key] = Item(data, self.revision)
        self.changed.set()
        self.changed = anyio.Event()

    def _list(self, request: Request) -> dict[str, Any]:
        prefix = request.query["path_prefix"]
        after = request.query.get("after", "")
        keys = sorted(
            key
            for key, item in self.items.items()
            if key.startswith(prefix) and key > after and item.value is not None
        )
        return {
            "items": [self._describe(key) for key in keys[:PAGE_SIZE]],
            "has_more": len(keys) > PAGE_SIZE,
            "at": self.revision,
        }

    async def _watch(self, request: Request) -> None:
        prefix = request.query["path_prefix"]
        after = request.query_int("after", 0)
        if after < self.compacted_revision:
            await request.answer(410, {})
            return
        with anyio.move_on_after(
            min(request.query_int("wait_ms", 0) / 1000, MAX_WAIT_S)
        ):
            while not self.is_closing and not self._find_changes(prefix, after):
                await self.changed.wait()
        events = [self._describe(key) for key in self._find_changes(prefix, after)]
        await request.answer(200, {"events": events, "at": self.revision})

    def _find_changes(self, prefix: str, after: int) -> list[str]:
        return [
            key
            for key, item in self.items.items()
            if key.startswith(prefix) and item.revision > after
        ]

    def _describe(self, key: str) -> dict[str, Any]:
        item = self.items[key]
        if item.value is None:
            return {"key": key, "revision": item.revision, "deleted": True}
        return {
            "key": key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "created": item.revision,
            "lease": 0,
        }
