"""Limits of the HTTP server."""

from typing import Final

MAX_HEADER_BYTES: Final = 32 * 1024
MAX_HEADERS: Final = 100
MAX_URL_BYTES: Final = 8 * 1024
# All bytes of a request before its body, of its trailers, or between two chunks.
MAX_HEAD_BYTES: Final = 48 * 1024
MAX_EMPTY_LINE_BYTES: Final = 1024
# The parser gets no more than this at once, apart from bodies.
PIECE_BYTES: Final = 16 * 1024
# Bytes received after a request that is being answered, beyond which the connection
# is not read on.
MAX_HELD_BYTES: Final = 16 * 1024
# How often a connection that is not read on is checked for its caller's close.
HELD_CHECK_S: Final = 0.1
HEADER_TIMEOUT_S: Final = 10
HEADER_GRACE_S: Final = 0.25
# Time limit for the rest of a body after its request has been refused.
UNREAD_BODY_S: Final = 5
# How long a stop waits for callers that take nothing of their refusals.
UNREAD_REFUSAL_S: Final = 1
KEEP_ALIVE_S: Final = 30
MAX_CONNECTIONS: Final = 4000
# Some go on after their caller has disconnected.
MAX_REQUESTS: Final = 2 * MAX_CONNECTIONS
LISTEN_BACKLOG: Final = 1024
# The part of the sockets that callers and peers may open; upstreams, the store and
# this process's own connections to peers use the others.
CONNECTION_DESCRIPTOR_SHARE: Final = 0.75
# The part of the memory that open connections may use, at so many bytes each.
CONNECTION_MEMORY_SHARE: Final = 0.25
CONNECTION_BYTES: Final = 32 * 1024
# Bytes of all connections together that no application has read yet.
PENDING_MEMORY_SHARE: Final = 0.05
MAX_PENDING_BYTES: Final = 32 * 1024 * 1024
CLOSED_LOG_PERIOD_S: Final = 1.0
# The high-water mark of a connection's write buffer, beyond which `send` waits.
WRITE_BUFFER_BYTES: Final = 16 * 1024
CHUNK_BYTES: Final = 16 * 1024
# Memory limit of one answer: the write buffer and the chunk waiting to enter it.
STREAM_BYTES: Final = WRITE_BUFFER_BYTES + CHUNK_BYTES
# An answer is aborted if its reader is slower than this, even when memory is free.
MIN_READ_BYTES_PER_S: Final = 1024
# When memory is short, the answer with the slowest reader below this speed is aborted
# once its writes have blocked for PATIENCE_UNDER_PRESSURE_S in total.
READ_UNDER_PRESSURE_BYTES_PER_S: Final = 8 * 1024
PATIENCE_UNDER_PRESSURE_S: Final = 2.0
# Pause between two such aborts, so that the first one can release its memory.
ABORT_PAUSE_S: Final = 0.1
# Beyond this blocked time, the measured time and bytes are halved, so that a reader's
# rate follows its recent speed.
MAX_BLOCKED_S: Final = 30.0
# Request bodies may use this share of the byte budget.
BODY_SHARE: Final = 0.6
RETRY_AFTER_MS: Final = 1000
