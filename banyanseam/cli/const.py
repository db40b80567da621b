"""Constants of the command line."""

from typing import Final

EXIT_REFUSED: Final = 1
# Click's exit code for wrong usage.
EXIT_USAGE: Final = 2
EXIT_UNREACHABLE: Final = 3
EXIT_DIFFERENT: Final = 4

MAX_PORT: Final = 65535
REPLY_TIMEOUT_S: Final = 10.0
KEY_BYTES: Final = 32
KEY_PREFIX: Final = "by-"
PLOT_COLUMNS: Final = 40
