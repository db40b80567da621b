"""Which configuration is in force in this process, and the newest one known.

The rule that makes processes agree: in force is the highest version that anybody in
reach holds and that compiles. A process that reads only a newer, invalid version
takes the last good one from its peers; see docs/design/configuration.md.
"""

from collections.abc import Callable

from banyanseam.config.compiled import Config
from banyanseam.config.errors import InvalidConfig
from banyanseam.config.snapshot import EMPTY, Memo, Snapshot, Value, compile_snapshot


class Store:
    """The snapshot in force, the newest one, and why that was rejected if so."""

    def __init__(self) -> None:
        """Start with nothing in force."""
        self.config: Config | None = None
        self.in_force = EMPTY
        self.newest = EMPTY
        self.rejection: InvalidConfig | None = None
        self._memo = Memo()
        self._rejected_versions: set[int] = set()
        self._adopted: list[Callable[[Config], None]] = []
        self._changed: list[Callable[[], None]] = []

    def on_adopted(self, callback: Callable[[Config], None]) -> None:
        """Call back with each configuration that comes into force."""
        self._adopted.append(callback)

    def on_changed(self, callback: Callable[[], None]) -> None:
        """Call back when a newer snapshot is held, in force or not."""
        self._changed.append(callback)

    def find(self, key: str, revision: int) -> Value | None:
        """Return a value held in either snapshot, or None."""
        return self.newest.find(key, revision) or self.in_force.find(key, revision)

    def wants(self, in_force: int, newest: int) -> bool:
        """Say whether somebody who holds these versions has anything new."""
        return newest > self.newest.version or self._may_adopt(in_force)

    def offer(self, snapshot: Snapshot) -> bool:
        """Adopt a snapshot if it is newer than the one in force and compiles."""
        if not self._may_adopt(snapshot.version):
            return False
        known = (self.in_force.version, self.newest.version)
        config = self._compile(snapshot)
        if snapshot.version > self.newest.version:
            self.newest = snapshot
        if config is not None:
            self.config = config
            self.in_force = snapshot
            self._rejected_versions = {
                version
                for version in self._rejected_versions
                if version > snapshot.version
            }
            if snapshot is self.newest:
                self.rejection = None
            for adopted in self._adopted:
                adopted(config)
        if known != (self.in_force.version, self.newest.version):
            for changed in self._changed:
                changed()
        return config is not None

    def _may_adopt(self, version: int) -> bool:
        return (
            version > self.in_force.version and version not in self._rejected_versions
        )

    def _compile(self, snapshot: Snapshot) -> Config | None:
        try:
            return compile_snapshot(snapshot, self._memo)
        except InvalidConfig as error:
            self._rejected_versions.add(snapshot.version)
            if snapshot.version > self.newest.version:
                self.rejection = error
            return None
