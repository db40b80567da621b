"""A plain service that counts how often each request ran."""

import hashlib
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any

import anyio
import click

from standins.serving import Freezer, Request, run_process, serve_forever

MAX_RECORDS = 100_000
DROPS = ("before_run", "after_run")


@dataclass(slots=True)
class PlainService:
    """Bookings and echoes, with the faults of such a service."""

    slow_ms: int = 0
    drop_next: str | None = None
    freezer: Freezer = field(default_factory=Freezer)
    runs_by_request_id: Counter[str] = field(default_factory=Counter)
    runs_by_body: Counter[str] = field(default_factory=Counter)
    records: deque[dict[str, Any]] = field(
        default_factory=lambda: deque(maxlen=MAX_RECORDS)
    )

    def set_faults(self, **changes: Any) -> None:
        """Change the faults that are named and leave the others."""
        for name, value in changes.items():
            if name not in ("slow_ms", "drop_next", "frozen"):
                raise ValueError(f"no fault {name}")
            if name == "drop_next" and value not in (None, *DROPS):
                raise ValueError(f"drop_next is null or one of {DROPS}")
            if name == "frozen":
                self.freezer.set(bool(value))
            else:
                setattr(self, name, value)

    async def handle(self, request: Request) -> None:
        """Answer one request; a POST runs, anything else echoes."""
        if request.path.startswith("/control"):
            await self._handle_control(request)
            return
        await self.freezer.wait_thawed()
        if self._drops("before_run"):
            request.drop()
            return
        run = self._count(request)
        await anyio.sleep(self.slow_ms / 1000)
        await self.freezer.wait_thawed()
        if self._drops("after_run"):
            request.drop()
            return
        await request.answer(
            200 if request.method != "POST" else 201,
            {
                "method": request.method,
                "path": request.path,
                "run": run,
                "bytes": len(request.body),
                "sha256": hashlib.sha256(request.body).hexdigest(),
            },
            {"x-request-id": request.headers.get("x-request-id", "")},
        )

    def _drops(self, when: str) -> bool:
        if self.drop_next != when:
            return False
        self.drop_next = None
        return True

    def _count(self, request: Request) -> int:
        request_id = request.headers.get("x-request-id", "")
        body_sha256 = hashlib.sha256(request.body).hexdigest()
        self.runs_by_request_id[request_id] += 1
        if request.method == "POST":
            self.runs_by_body[body_sha256] += 1
        self.records.append(
            {
                "request_id": request_id,
                "method": request.method,
                "path": request.path,
                "body_sha256": body_sha256,
                "seen_headers": sorted(request.headers),
                "organisation": request.headers.get("x-organisation"),
                "at_s": anyio.current_time(),
            }
        )
        return self.runs_by_request_id[request_id]

    async def _handle_control(self, request: Request) -> None:
        if request.path == "/control/runs":
            await request.answer(
                200,
                {
                    "by_request_id": self.runs_by_request_id,
                    "by_body": self.runs_by_body,
                    "records": list(self.records),
                },
            )
            return
        if request.method == "PUT":
            self.set_faults(**request.read_json())
        await request.answer(
            200,
            {
                "slow_ms": self.slow_ms,
                "drop_next": self.drop_next,
                "frozen": self.freezer.is_frozen,
                "runs": len(self.records),
            },
        )


@click.command()
@click.option("--port", default=0)
@click.option("--name", default="service")
@click.option("--slow-ms", default=0)
def main(port: int, name: str, slow_ms: int) -> None:
    """Run a plain service."""
    service = PlainService(slow_ms=slow_ms)
    run_process(serve_forever, name, service.handle, port)


if __name__ == "__main__":
    main()
