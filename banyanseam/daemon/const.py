"""Constants of the daemon's composition."""

from typing import Final

EXIT_FAILED: Final = 1
EXIT_SETTINGS: Final = 2

# A process that stood still for longer trusts nothing that it knew before.
FREEZE_TERM_S: Final = 1.5
