"""Record an answer while it is sent to the caller, and replay it."""

from banyanseam.idempotency.const import MAX_ANSWER_BYTES, REPLAYED_HEADER
from banyanseam.idempotency.models import Answer, RunOutcome
from banyanseam.pipe.models import Headers, ReplySink


class RecordingSink:
    """Relays an answer and records a copy of up to MAX_ANSWER_BYTES.

    Recording continues after the caller disconnects: such a caller is the most
    likely to send the same key again.
    """

    def __init__(self, inner: ReplySink) -> None:
        """Wrap `inner`, which sends to the caller."""
        self.failure: Exception | None = None
        self._inner = inner
        self._status = 0
        self._headers: Headers = []
        self._body: bytearray | None = bytearray()

    @property
    def started(self) -> bool:
        """Return whether the status was passed to the inner sink."""
        return self._inner.started

    @property
    def first_sent_s(self) -> float | None:
        """Return when the first chunk was passed to the inner sink."""
        return self._inner.first_sent_s

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status and headers."""
        self._status = status
        self._headers = list(headers)
        try:
            await self._inner.start(status, headers)
        except Exception as error:
            self.failure = error

    async def send(self, data: bytes) -> None:
        """Send a chunk of the body."""
        if self._body is not None:
            self._body += data
            if len(self._body) > MAX_ANSWER_BYTES:
                self._body = None
        if self.failure is not None:
            return
        try:
            await self._inner.send(data)
        except Exception as error:
            self.failure = error

    def make_outcome(self) -> RunOutcome:
        """Return the outcome of a run whose whole answer was relayed."""
        if self._body is None:
            return RunOutcome(True)
        return RunOutcome(True, Answer(self._status, self._headers, bytes(self._body)))


async def replay(answer: Answer, reply: ReplySink) -> None:
    """Send a recorded answer, marked as a replay."""
    await reply.start(answer.status, [*answer.headers, (REPLAYED_HEADER, b"true")])
    if answer.body:
        await reply.send(answer.body)
