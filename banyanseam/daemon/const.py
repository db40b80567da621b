"""Exit codes and time limits of the daemon."""

from typing import Final

EXIT_FAILED: Final = 1
EXIT_SETTINGS: Final = 2

# After a longer suspension, a process no longer trusts the state it held before.
SUSPENSION_TERM_S: Final = 1.5
