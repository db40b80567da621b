"""Constants of the request pipeline."""

from typing import Final

VIA_NAME: Final = "banyanseam"
# Makes the prompt estimate an upper bound: few tokenizers average fewer than three
# bytes per token.
BYTES_PER_TOKEN: Final = 3
TOKENS_PER_MESSAGE: Final = 8
DEFAULT_OUTPUT_TOKENS: Final = 1024
MAX_OUTPUT_TOKENS: Final = 1_000_000
MAX_BODY_BYTES: Final = 2 * 1024 * 1024
BODY_TIMEOUT_S: Final = 20.0
FORWARD_WINDOW_BYTES: Final = 64 * 1024
# Headers of one connection (RFC 9110) or that are set anew for the next one; not
# forwarded, except the Content-Length of an answer.
HOP_BY_HOP_HEADERS: Final = frozenset(
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
# The pipeline's own deadline normally ends a read first; this margin bounds a read
# that the deadline does not end.
READ_TIMEOUT_MARGIN_S: Final = 5.0
# How long a forwarded request waits until the configuration by which it was admitted is
# in force here too, also as a share of its remaining time.
VERSION_WAIT_S: Final = 0.6
VERSION_WAIT_SHARE: Final = 0.25
# Maximum number of daemons of a region that are tried, while nothing was sent to any.
MAX_FORWARD_ATTEMPTS: Final = 3
