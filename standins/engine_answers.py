"""Sending an engine's answers, with the faults that answers can have."""

from dataclasses import dataclass, field
from typing import Any

import anyio

from standins.batching import Run
from standins.engine_messages import describe_answer, format_end, format_event
from standins.serving import Freezer, Request

SETTABLE = (
    "leaving",
    "reports_leaving",
    "frozen",
    "drop_next",
    "crossed",
    "truncate",
)
DROPS = ("before_headers", "mid_stream")


@dataclass(slots=True)
class Faults:
    """What the engine does wrong at present."""

    leaving: bool = False
    # Says that it is leaving, and takes new work all the same.
    reports_leaving: bool = False
    drop_next: str | None = None
    crossed: bool = False
    truncate: bool = False
    is_dead: bool = False
    freezer: Freezer = field(default_factory=Freezer)

    def set(self, name: str, value: Any) -> None:
        """Change one fault; raise ValueError when there is none of this name."""
        if name not in SETTABLE:
            raise ValueError(f"no fault {name}")
        if name == "drop_next" and value not in (None, *DROPS):
            raise ValueError(f"drop_next is null or one of {DROPS}")
        if name == "frozen":
            self.freezer.set(bool(value))
            return
        setattr(self, name, value)

    def describe(self) -> dict[str, Any]:
        """Return the faults as JSON."""
        named = {name: getattr(self, name) for name in SETTABLE if name != "frozen"}
        return named | {"frozen": self.freezer.is_frozen}

    def take_drop(self, when: str) -> bool:
        """Say whether this connection is the one to drop, once."""
        if self.drop_next != when:
            return False
        self.drop_next = None
        return True

    def take_shown_id(self, request_id: str) -> str:
        """Return the id that the answer bears: another one, once, when crossed."""
        shown_id = f"crossed-{request_id}" if self.crossed else request_id
        self.crossed = False
        return shown_id


async def send_answer(
    request: Request, run: Run, faults: Faults, after: int, *, is_stream: bool
) -> None:
    """Send the answer from an event on, until its end or until the reader goes."""
    run.readers += 1
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_stop_when_closed, request, tasks.cancel_scope)
            if is_stream:
                await _stream(request, run, faults, after)
            else:
                await _answer_whole(request, run, faults)
            tasks.cancel_scope.cancel()
    finally:
        run.readers -= 1
        run.unread_since_s = anyio.current_time()


async def _stop_when_closed(request: Request, scope: anyio.CancelScope) -> None:
    await request.wait_closed()
    request.is_dropped = True
    scope.cancel()


async def _stream(request: Request, run: Run, faults: Faults, after: int) -> None:
    shown_id = faults.take_shown_id(run.request_id)
    await request.start(
        200,
        {
            "content-type": "text/event-stream",
            "cache-control": "no-store",
            "x-request-id": shown_id,
        },
    )
    sent = after
    while not request.is_dropped:
        ready = run.generated_tokens
        events = [
            format_event(number, shown_id, {"content": f"w{number} "}, None)
            for number in range(sent + 1, ready + 1)
        ]
        if events:
            await request.write(b"".join(events))
            sent = ready
        if _breaks(request, faults, sent):
            return
        if run.finished_s is not None or faults.is_dead:
            break
        await faults.freezer.wait_thawed()
        if run.generated_tokens == sent and run.finished_s is None:
            await run.progress.wait()
    if run.is_cancelled or faults.is_dead:
        request.drop()
        return
    await request.write(format_end(run, shown_id), more=False)


async def _answer_whole(request: Request, run: Run, faults: Faults) -> None:
    while run.finished_s is None and not run.is_cancelled:
        await run.progress.wait()
    if request.is_dropped or run.is_cancelled:
        request.drop()
        return
    shown_id = faults.take_shown_id(run.request_id)
    if _breaks(request, faults, 1):
        return
    await request.answer(
        200, describe_answer(run, shown_id), {"x-request-id": shown_id}
    )


def _breaks(request: Request, faults: Faults, sent: int) -> bool:
    """Break the connection if a fault says so and something was sent."""
    if sent == 0:
        return False
    if faults.take_drop("mid_stream"):
        request.drop()
        return True
    if faults.truncate:
        faults.truncate = False
        request.transport.close()
        request.is_dropped = True
        return True
    return False
