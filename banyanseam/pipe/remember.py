"""A reply that is remembered whole while it goes to the caller."""

from banyanseam.idempotency.const import MAX_ANSWER_BYTES, REPLAYED_HEADER
from banyanseam.idempotency.models import Answer, End
from banyanseam.pipe.models import Headers, ReplySink


class RememberingSink:
    """Passes an answer on and keeps a copy, up to MAX_ANSWER_BYTES.

    A caller that goes away does not end the copy: it is the one most likely to
    send the same key again.
    """

    def __init__(self, inner: ReplySink) -> None:
        """Pass on to `inner`."""
        self.failure: Exception | None = None
        self._inner = inner
        self._status = 0
        self._headers: Headers = []
        self._body: bytearray | None = bytearray()

    @property
    def started(self) -> bool:
        """Say whether the status was handed on."""
        return self._inner.started

    @property
    def first_sent_s(self) -> float | None:
        """Return when the first part of the body was handed on."""
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
        """Send a part of the body."""
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

    def make_end(self) -> End:
        """Return the known end of a run whose whole answer passed."""
        if self._body is None:
            return End(True)
        return End(True, Answer(self._status, self._headers, bytes(self._body)))


async def replay(answer: Answer, reply: ReplySink) -> None:
    """Send a remembered answer, marked as such."""
    await reply.start(answer.status, [*answer.headers, (REPLAYED_HEADER, b"true")])
    if answer.body:
        await reply.send(answer.body)
