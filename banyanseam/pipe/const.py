"""Constants of the request pipe."""

from typing import Final

VIA_NAME: Final = "banyanseam"
# The prompt estimate is an upper one: few tokenizers go below three bytes a token.
BYTES_PER_TOKEN: Final = 3
TOKENS_PER_MESSAGE: Final = 8
DEFAULT_OUTPUT_TOKENS: Final = 1024
MAX_OUTPUT_TOKENS: Final = 1_000_000
MAX_BODY_BYTES: Final = 2 * 1024 * 1024
BODY_TIMEOUT_S: Final = 20.0
FORWARD_WINDOW_BYTES: Final = 64 * 1024
# Headers that belong to one connection and are never passed on (RFC 9110).
HOP_HEADERS: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"host",
        b"content-length",
        b"expect",
    }
)
CREDENTIAL_HEADERS: Final = frozenset(
    {b"authorization", b"x-api-key", b"proxy-authorization", b"cookie"}
)
# The pipe's own deadline comes first; this only bounds a read that it misses.
READ_SLACK_S: Final = 5.0
# How many daemons of a region are tried while nothing was sent.
FORWARD_TRIES: Final = 3
