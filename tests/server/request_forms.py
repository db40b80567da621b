"""Generates requests in every form that a caller may use: framing, size and pieces."""

import random
from dataclasses import dataclass

from banyanseam.pipe.const import MAX_BODY_BYTES

KIB = 1024
# Both sides of the limits of the server and of its reads, and the largest body.
EDGES_BYTES = (16 * KIB, 32 * KIB, 48 * KIB, 64 * KIB, 256 * KIB, MAX_BODY_BYTES)
# More pieces than this take long and show nothing that fewer do not.
MAX_PIECES = 400
START = b"POST / HTTP/1.1\r\nhost: a\r\n"


@dataclass(frozen=True, slots=True)
class Form:
    """How a request is framed, cut and sent."""

    body_bytes: int
    # None for a body with a length.
    chunk_bytes: int | None
    extension: bytes
    trailer: bytes
    padding_bytes: int
    # The sizes of the pieces that are sent, used again and again; none if each chunk,
    # or the whole body, is a piece.
    piece_bytes: tuple[int, ...]
    # Whether the server reads each piece by itself, or as many as have arrived.
    is_slow: bool
    # How much one read of the server may return.
    read_bytes: int

    def _render_parts(self, body: bytes, start: bytes) -> list[bytes]:
        head = start
        if self.padding_bytes:
            head += b"x-padding: " + b"p" * self.padding_bytes + b"\r\n"
        if self.chunk_bytes is None:
            return [head + b"content-length: %d\r\n\r\n" % len(body), body]
        parts = [
            body[start : start + self.chunk_bytes]
            for start in range(0, len(body), self.chunk_bytes)
        ]
        lines = [
            b"%x%s\r\n%s\r\n" % (len(part), self.extension, part) for part in parts
        ]
        end = b"0\r\n" + self.trailer + b"\r\n"
        return [head + b"transfer-encoding: chunked\r\n\r\n", *lines, end]

    def cut(self, body: bytes, start: bytes = START, ahead: bytes = b"") -> list[bytes]:
        """Return the pieces in which the request is sent, and what follows it.

        `start` holds its first line, and headers.
        """
        parts = [*self._render_parts(body, start), ahead]
        if not self.piece_bytes and len(parts) <= MAX_PIECES:
            return [part for part in parts if part]
        data = b"".join(parts)
        sizes = self.piece_bytes or (len(data),)
        pieces: list[bytes] = []
        position = 0
        while position < len(data):
            size = sizes[len(pieces) % len(sizes)]
            if len(pieces) == MAX_PIECES:
                size = len(data)
            pieces.append(data[position : position + size])
            position += size
        return pieces


# Forms that were not read to their end, or whose callers' closes were not seen.
KNOWN_FORMS = (
    Form(60_000, 20_000, b"", b"", 0, (), True, 64 * KIB),
    Form(300_000, None, b"", b"", 0, (400, 256 * KIB), True, 256 * KIB),
)


def make_form(rng: random.Random) -> Form:
    """Return a form in which each dimension is drawn by itself."""
    body_bytes = rng.choice(
        (
            rng.randrange(200),
            rng.randrange(64 * KIB),
            rng.randrange(64 * KIB, 300 * KIB),
            _draw_near_edge(rng),
        )
    )
    chunk_bytes = rng.choice((20_000, _draw_near_edge(rng), rng.randrange(500, 70_000)))
    return Form(
        body_bytes=body_bytes,
        chunk_bytes=rng.choice((None, chunk_bytes)),
        extension=rng.choice((b"", b"", b";a=b", b';c="d e"')),
        trailer=rng.choice((b"", b"", b"x-sum: 1\r\n", b"x-sum: 1\r\ny: 2\r\n")),
        padding_bytes=rng.choice((0, 0, 200, 14_000)),
        piece_bytes=_draw_pieces(rng),
        is_slow=rng.random() < 0.5,
        read_bytes=rng.choice((64 * KIB, 256 * KIB)),
    )


def _draw_pieces(rng: random.Random) -> tuple[int, ...]:
    # The server works on a request's beginning when a long piece follows a short one.
    short = rng.choice((1, 2, 9, 100, 400, 1460))
    long = rng.choice((20_007, 65_483, 4 * MAX_BODY_BYTES, _draw_near_edge(rng)))
    return rng.choice(((), (short,), (long,), (short, long), (short, short, long)))


def _draw_near_edge(rng: random.Random) -> int:
    return min(rng.choice(EDGES_BYTES) + rng.randint(-3, 3), MAX_BODY_BYTES)


def make_body(size_bytes: int) -> bytes:
    """Return a body with line ends, empty lines and what looks like chunks."""
    part = b"0\r\n\r\nabc\n\n\r\r\n1\r\nx\r\n" + b"text " * 500
    return (part * (size_bytes // len(part) + 1))[:size_bytes]
