"""Sections: small payloads that other features attach to heartbeats."""

from collections.abc import Callable

from banyanseam.observe.events import HEARTBEAT_SECTION_DROPPED, log
from banyanseam.peers.const import SECTION_BYTES, SECTIONS_BYTES
from banyanseam.peers.messages import PeerIdentity

SectionSupplier = Callable[[], bytes]
# Raises InvalidPeerMessage for content that does not validate.
SectionHandler = Callable[[PeerIdentity, bytes], None]


class Sections:
    """Registry of section suppliers and handlers by name.

    Sections are sent to direct neighbours only. To reach every seat of a large region,
    a handler must merge received data into what its supplier returns, as for the list
    of requests suspected of crashing upstreams, or the data must be sent to a seat that
    is elected for it.
    """

    def __init__(self) -> None:
        """Start without sections."""
        self._suppliers: dict[str, SectionSupplier] = {}
        self._handlers: dict[str, SectionHandler] = {}
        self._logged_names: set[str] = set()

    def register(
        self, name: str, supply: SectionSupplier, handle: SectionHandler
    ) -> None:
        """Register a supplier of up to SECTION_BYTES and a handler of received content.

        Empty sections are not sent.
        """
        if name in self._handlers:
            raise ValueError(f"section {name} is already registered")
        self._suppliers[name] = supply
        self._handlers[name] = handle

    def collect(self) -> dict[str, bytes]:
        """Return the sections for the next heartbeat; drop those over the limits."""
        sections = {}
        free_bytes = SECTIONS_BYTES
        for name, supply in self._suppliers.items():
            content = supply()
            if not content:
                continue
            if len(content) > min(SECTION_BYTES, free_bytes):
                self._log_dropped_once(name, len(content))
                continue
            free_bytes -= len(content)
            sections[name] = content
        return sections

    def deliver(self, peer: PeerIdentity, sections: dict[str, bytes]) -> None:
        """Pass sections to their handlers; ignore unknown ones, as newer peers send."""
        for name, content in sections.items():
            handle = self._handlers.get(name)
            if handle is not None:
                handle(peer, content)

    def _log_dropped_once(self, name: str, size_bytes: int) -> None:
        if name not in self._logged_names:
            self._logged_names.add(name)
            log(HEARTBEAT_SECTION_DROPPED, section=name, size_bytes=size_bytes)
