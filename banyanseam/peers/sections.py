"""What other concerns attach to heartbeats: small parts, each with an owner."""

from collections.abc import Callable

from banyanseam.observe.events import HEARTBEAT_SECTION_DROPPED, log
from banyanseam.peers.const import SECTION_BYTES, SECTIONS_BYTES
from banyanseam.peers.messages import PeerIdentity

Supply = Callable[[], bytes]
# Raise InvalidPeerMessage for content that does not validate.
Handle = Callable[[PeerIdentity, bytes], None]


class Sections:
    """The registered suppliers and handlers by name.

    Sections reach the neighbours only. What must reach every seat of a large region
    is merged by its handler and supplied again, like the suspects of poison, or goes
    to a seat elected for it.
    """

    def __init__(self) -> None:
        """Start with none."""
        self._suppliers: dict[str, Supply] = {}
        self._handlers: dict[str, Handle] = {}
        self._dropped: set[str] = set()

    def register(self, name: str, supply: Supply, handle: Handle) -> None:
        """Let a concern supply up to SECTION_BYTES and take those of neighbours.

        An empty supply is left out.
        """
        if name in self._handlers:
            raise ValueError(f"section {name} is registered")
        self._suppliers[name] = supply
        self._handlers[name] = handle

    def collect(self) -> dict[str, bytes]:
        """Return what to send now, within the limits."""
        sections = {}
        room_bytes = SECTIONS_BYTES
        for name, supply in self._suppliers.items():
            content = supply()
            if not content:
                continue
            if len(content) > min(SECTION_BYTES, room_bytes):
                self._note_dropped(name, len(content))
                continue
            room_bytes -= len(content)
            sections[name] = content
        return sections

    def deliver(self, peer: PeerIdentity, sections: dict[str, bytes]) -> None:
        """Hand each section to its handler; a newer peer's unknown ones are ignored."""
        for name, content in sections.items():
            handle = self._handlers.get(name)
            if handle is not None:
                handle(peer, content)

    def _note_dropped(self, name: str, size_bytes: int) -> None:
        if name not in self._dropped:
            self._dropped.add(name)
            log(HEARTBEAT_SECTION_DROPPED, section=name, size_bytes=size_bytes)
