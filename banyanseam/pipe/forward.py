"""The forwarding side: send a request to a daemon of another region."""

import math
from itertools import count

import anyio

from banyanseam.peers.contract import Network
from banyanseam.peers.errors import PeerCallLost, PeerUnreachable
from banyanseam.peers.forward_messages import (
    ForwardCancel,
    ForwardCredit,
    ForwardData,
    ForwardEnd,
    ForwardHead,
    ForwardOpen,
)
from banyanseam.peers.messages import Message, PeerIdentity
from banyanseam.pipe.const import FORWARD_WINDOW_BYTES
from banyanseam.pipe.errors import ForwardFailed, ForwardLost
from banyanseam.pipe.models import Exchange, Usage


class IncomingAnswer:
    """Buffers the answer of one forwarded stream as it arrives."""

    def __init__(self, seat: str) -> None:
        """Create an empty buffer for the answer of the daemon at a seat."""
        self.seat = seat
        # Flow-control credit bounds the buffered data, so the buffer needs no limit.
        self.send, self.receive = anyio.create_memory_object_stream[Message](math.inf)


class Forwarder:
    """Forwards requests as streams and relays their answers."""

    def __init__(self, network: Network) -> None:
        """Register the handlers of the answers' messages."""
        self._network = network
        self._numbers = count(1)
        self._streams: dict[int, IncomingAnswer] = {}
        for message_type in (ForwardHead, ForwardData, ForwardEnd):
            network.handle_cast(message_type, self._receive)

    def end_streams_from(self, peer: PeerIdentity) -> None:
        """End every stream that a lost process was serving."""
        for incoming in self._streams.values():
            if incoming.seat == peer.seat:
                incoming.send.close()

    def _receive(self, peer: PeerIdentity, message: Message) -> None:
        incoming = self._streams.get(message.stream)
        # A message that arrives after its stream ended is dropped.
        if incoming is not None and incoming.seat == peer.seat:
            incoming.send.send_nowait(message)

    async def forward(self, exchange: Exchange, seat: str) -> None:
        """Have the daemon at `seat` answer the exchange.

        Raise PeerUnreachable if nothing was sent, ForwardLost if the daemon was lost
        afterwards, ForwardFailed with that daemon's error if it could not answer.
        """
        number = next(self._numbers)
        incoming = self._streams[number] = IncomingAnswer(seat)
        opened = False
        ended = False
        # An earlier attempt may have started; this one's result must not reset that.
        was_started = exchange.upstream_started
        try:
            exchange.upstream_started = True
            try:
                await self._network.cast(seat, _make_open(exchange, number))
            except PeerUnreachable:
                exchange.upstream_started = was_started
                raise
            except PeerCallLost as error:
                raise ForwardLost(seat) from error
            opened = True
            await self._relay(exchange, incoming, number, was_started)
            ended = True
        except ForwardFailed:
            ended = True
            raise
        finally:
            del self._streams[number]
            incoming.send.close()
            incoming.receive.close()
            if opened and not ended:
                await self._cancel(seat, number)

    async def _relay(
        self,
        exchange: Exchange,
        incoming: IncomingAnswer,
        number: int,
        was_started: bool,
    ) -> None:
        unacknowledged_bytes = 0
        async for message in incoming.receive:
            if isinstance(message, ForwardHead):
                await exchange.reply.start(message.status, message.headers)
            elif isinstance(message, ForwardData):
                await exchange.reply.send(message.data)
                unacknowledged_bytes += len(message.data)
                if unacknowledged_bytes >= FORWARD_WINDOW_BYTES // 2:
                    await self._send_credit(incoming.seat, number, unacknowledged_bytes)
                    unacknowledged_bytes = 0
            else:
                _finish(exchange, message, was_started)
                return
        raise ForwardLost(incoming.seat)

    async def _send_credit(self, seat: str, number: int, credit_bytes: int) -> None:
        try:
            credit = ForwardCredit(stream=number, credit_bytes=credit_bytes)
            await self._network.cast(seat, credit)
        except (PeerUnreachable, PeerCallLost) as error:
            raise ForwardLost(seat) from error

    async def _cancel(self, seat: str, number: int) -> None:
        with anyio.move_on_after(1, shield=True):
            try:
                await self._network.cast(seat, ForwardCancel(stream=number))
            except (PeerUnreachable, PeerCallLost):
                # The serving daemon detects the lost link and cancels by itself.
                return


def _make_open(exchange: Exchange, number: int) -> ForwardOpen:
    remaining_s = exchange.deadline_s - anyio.current_time()
    regions = None if exchange.regions is None else sorted(exchange.regions)
    return ForwardOpen(
        stream=number,
        request_id=exchange.request_id,
        method=exchange.method,
        path=exchange.path,
        raw_path=exchange.raw_path,
        query=exchange.query,
        headers=exchange.headers,
        body=exchange.body,
        key_digest=exchange.key_digest,
        organisation=exchange.organisation.name if exchange.organisation else None,
        route=exchange.route.name,
        regions=regions,
        remaining_ms=max(0, int(remaining_s * 1000)),
        may_have_run=exchange.may_have_run,
        is_granted=exchange.is_granted,
        credit_bytes=FORWARD_WINDOW_BYTES,
        config_version=exchange.config_version,
    )


def _finish(exchange: Exchange, end: ForwardEnd, was_started: bool) -> None:
    exchange.upstream_started = was_started or end.upstream_started
    exchange.upstream = end.upstream
    exchange.usage = Usage(end.prompt_tokens, end.output_tokens, end.cached_tokens)
    if end.outcome == "failed":
        # The serving daemon has determined whether an earlier send of the key ran.
        exchange.may_have_run = not end.not_run
        raise ForwardFailed(
            end.code,
            end.detail,
            end.status,
            not_run=end.not_run,
            retry_after_ms=end.retry_after_ms,
        )
