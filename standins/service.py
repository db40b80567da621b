"""A plain service that counts how often each request ran."""

import hashlib
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any

import anyio
import click

from standins.serving import Request, Suspension, run_process, serve_forever

MAX_RECORDS = 100_000
DROP_POINTS = ("before_run", "after_run")


@dataclass(slots=True)
class PlainService:
    """Runs bookings and echoes requests, with faults to inject."""

    slow_ms: int = 0
    drop_next: str | None = None
    suspension: Suspension = field(default_factory=Suspension)
    runs_by_request_id: Counter[str] = field(default_factory=Counter)
    runs_by_body: Counter[str] = field(default_factory=Counter)
    records: deque[dict[str, Any]] = field(
        default_factory=lambda: deque(maxlen=MAX_RECORDS)
    )

    def set_faults(self, **changes: Any) -> None:
        """Set the given faults and leave the others unchanged."""
        for name, value in changes.items():
            if name not in ("slow_ms", "drop_next", "frozen"):
                raise ValueError(f"unknown fault {name}")
            if name == "drop_next" and value not in (None, *DROP_POINTS):
                raise ValueError(f"drop_next must be null or one of {DROP_POINTS}")
            if name == "frozen":
                self.suspension.set(bool(value))
            else:
                setattr(self, name, value)

    async def handle(self, request: Request) -> None:
        """Answer one request: a POST is a booking, anything else an echo."""
        if request.path.startswith("/control"):
            await self._handle_control(request)
            return
        await self.suspension.wait_resumed()
        if self._consume_drop("before_run"):
            request.drop()
            return
        run = self._record_run(request)
        await anyio.sleep(self.slow_ms / 1000)
        await self.suspension.wait_resumed()
        if self._consume_drop("after_run"):
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

    def _consume_drop(self, point: str) -> bool:
        if self.drop_next != point:
            return False
        self.drop_next = None
        return True

    def _record_run(self, request: Request) -> int:
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
                "frozen": self.suspension.is_suspended,
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
