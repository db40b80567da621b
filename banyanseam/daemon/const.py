"""Exit codes and time limits of the daemon."""

from typing import Final

EXIT_FAILED: Final = 1
EXIT_SETTINGS: Final = 2

# After a longer suspension, a process no longer trusts the state it held before.
SUSPENSION_TERM_S: Final = 1.5
# How long a request waits while a resumed process checks its configuration. It usually
# takes one call to a peer.
CATCH_UP_PATIENCE_S: Final = 1.0
