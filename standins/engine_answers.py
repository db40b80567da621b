"""Send an engine's answers and inject faults into them."""

from dataclasses import dataclass, field
from typing import Any

import anyio

from standins.batching import Run
from standins.engine_messages import describe_answer, format_end, format_event
from standins.serving import Request, Suspension

SETTABLE_FAULTS = (
    "leaving",
    "reports_leaving",
    "frozen",
    "drop_next",
    "crossed",
    "truncate",
)
DROP_POINTS = ("before_headers", "mid_stream")


@dataclass(slots=True)
class Faults:
    """The faults that the engine currently injects."""

    leaving: bool = False
    # Reports that it is leaving but still accepts new requests.
    reports_leaving: bool = False
    drop_next: str | None = None
    crossed: bool = False
    truncate: bool = False
    is_dead: bool = False
    suspension: Suspension = field(default_factory=Suspension)

    def set(self, name: str, value: Any) -> None:
        """Set one fault; raise ValueError for an unknown name or drop point."""
        if name not in SETTABLE_FAULTS:
            raise ValueError(f"unknown fault {name}")
        if name == "drop_next" and value not in (None, *DROP_POINTS):
            raise ValueError(f"drop_next must be null or one of {DROP_POINTS}")
        if name == "frozen":
            self.suspension.set(bool(value))
            return
        setattr(self, name, value)

    def describe(self) -> dict[str, Any]:
        """Return the faults as JSON."""
        named = {
            name: getattr(self, name) for name in SETTABLE_FAULTS if name != "frozen"
        }
        return named | {"frozen": self.suspension.is_suspended}

    def consume_drop(self, point: str) -> bool:
        """Return whether to drop the connection at this point, and clear the fault."""
        if self.drop_next != point:
            return False
        self.drop_next = None
        return True

    def consume_answer_id(self, request_id: str) -> str:
        """Return the id to answer with: if crossed, a wrong one for one answer."""
        answer_id = f"crossed-{request_id}" if self.crossed else request_id
        self.crossed = False
        return answer_id


async def send_answer(
    request: Request, run: Run, faults: Faults, after: int, *, is_stream: bool
) -> None:
    """Send the events after number `after` until the end or a disconnection."""
    run.readers += 1
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_stop_when_closed, request, tasks.cancel_scope)
            if is_stream:
                await _stream(request, run, faults, after)
            else:
                await _answer_unstreamed(request, run, faults)
            tasks.cancel_scope.cancel()
    finally:
        run.readers -= 1
        run.unread_since_s = anyio.current_time()


async def _stop_when_closed(request: Request, scope: anyio.CancelScope) -> None:
    await request.wait_closed()
    request.is_dropped = True
    scope.cancel()


async def _stream(request: Request, run: Run, faults: Faults, after: int) -> None:
    answer_id = faults.consume_answer_id(run.request_id)
    await request.start(
        200,
        {
            "content-type": "text/event-stream",
            "cache-control": "no-store",
            "x-request-id": answer_id,
        },
    )
    sent = after
    while not request.is_dropped:
        ready = run.generated_tokens
        events = [
            format_event(number, answer_id, {"content": f"w{number} "}, None)
            for number in range(sent + 1, ready + 1)
        ]
        if events:
            await request.write(b"".join(events))
            sent = ready
        if _break_if_faulty(request, faults, sent):
            return
        if run.finished_s is not None or faults.is_dead:
            break
        await faults.suspension.wait_resumed()
        if run.generated_tokens == sent and run.finished_s is None:
            await run.progress.wait()
    if run.is_cancelled or faults.is_dead:
        request.drop()
        return
    await request.write(format_end(run, answer_id), more=False)


async def _answer_unstreamed(request: Request, run: Run, faults: Faults) -> None:
    while run.finished_s is None and not run.is_cancelled:
        await run.progress.wait()
    if request.is_dropped or run.is_cancelled:
        request.drop()
        return
    answer_id = faults.consume_answer_id(run.request_id)
    if _break_if_faulty(request, faults, 1):
        return
    await request.answer(
        200, describe_answer(run, answer_id), {"x-request-id": answer_id}
    )


def _break_if_faulty(request: Request, faults: Faults, sent: int) -> bool:
    """Break the connection if a fault asks for it and something was sent."""
    if sent == 0:
        return False
    if faults.consume_drop("mid_stream"):
        request.drop()
        return True
    if faults.truncate:
        faults.truncate = False
        request.transport.close()
        request.is_dropped = True
        return True
    return False
