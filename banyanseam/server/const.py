"""Limits of the HTTP border."""

from typing import Final

MAX_HEADER_BYTES: Final = 32 * 1024
MAX_HEADERS: Final = 100
MAX_URL_BYTES: Final = 8 * 1024
HEADER_TIMEOUT_S: Final = 10
HEADER_GRACE_S: Final = 0.25
# How long the rest of a body may take whose request was refused before its end.
UNREAD_BODY_S: Final = 5
KEEP_ALIVE_S: Final = 30
MAX_CONNECTIONS: Final = 4000
LISTEN_BACKLOG: Final = 1024
# The high-water mark of a connection's write buffer, beyond which `send` waits.
WRITE_BUFFER_BYTES: Final = 16 * 1024
CHUNK_BYTES: Final = 16 * 1024
# What one answer holds at most: the buffer and the chunk that waits for it.
STREAM_BYTES: Final = WRITE_BUFFER_BYTES + CHUNK_BYTES
# A reader slower than this is ended, whatever memory is free.
MIN_READ_BYTES_PER_S: Final = 1024
# When memory is short, the slowest reader below this speed is ended, if answers
# have waited for it so long in all.
READ_UNDER_PRESSURE_BYTES_PER_S: Final = 8 * 1024
PATIENCE_UNDER_PRESSURE_S: Final = 2.0
END_PAUSE_S: Final = 0.1
RECENT_BLOCKED_S: Final = 30.0
# Bodies of requests may fill this share of the byte budget.
BODY_SHARE: Final = 0.6
RETRY_AFTER_MS: Final = 1000
