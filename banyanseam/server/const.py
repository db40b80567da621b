"""Limits of the HTTP border."""

from typing import Final

MAX_HEADER_BYTES: Final = 32 * 1024
MAX_HEADERS: Final = 100
MAX_URL_BYTES: Final = 8 * 1024
HEADER_TIMEOUT_S: Final = 10
KEEP_ALIVE_S: Final = 30
MAX_CONNECTIONS: Final = 4000
LISTEN_BACKLOG: Final = 1024
