"""The configuration in force in this process, and the newest one received.

Processes converge by one rule: the highest version that any reachable process holds
and that compiles is in force. A process that has read only a newer, invalid version
gets the last valid one from its peers; see docs/design/configuration.md.
"""

from collections.abc import Callable

from banyanseam.config.compiled import Config
from banyanseam.config.errors import InvalidConfig
from banyanseam.config.snapshot import (
    EMPTY_SNAPSHOT,
    CompileCache,
    Snapshot,
    Value,
    compile_snapshot,
)


class ConfigStore:
    """The snapshot in force, the newest one, and why the newest was rejected, if so."""

    def __init__(self) -> None:
        """Start without a configuration in force."""
        self.config: Config | None = None
        self.in_force = EMPTY_SNAPSHOT
        self.newest = EMPTY_SNAPSHOT
        self.rejection: InvalidConfig | None = None
        self._cache = CompileCache()
        self._rejected_versions: set[int] = set()
        self._adopted_callbacks: list[Callable[[Config], None]] = []
        self._changed_callbacks: list[Callable[[], None]] = []

    def on_adopted(self, callback: Callable[[Config], None]) -> None:
        """Register a callback for each configuration that comes into force."""
        self._adopted_callbacks.append(callback)

    def on_changed(self, callback: Callable[[], None]) -> None:
        """Register a callback for each newer snapshot, in force or not."""
        self._changed_callbacks.append(callback)

    def find(self, key: str, revision: int) -> Value | None:
        """Return a value from either snapshot, or None."""
        return self.newest.find(key, revision) or self.in_force.find(key, revision)

    def is_behind(self, in_force: int, newest: int) -> bool:
        """Return whether a peer that holds these versions has something newer."""
        return newest > self.newest.version or self._may_adopt(in_force)

    def try_adopt(self, snapshot: Snapshot) -> bool:
        """Put a valid snapshot in force if it is newer than that in force.

        Return whether it was put in force. A rejected snapshot still becomes the newest
        one if its version is higher.
        """
        if not self._may_adopt(snapshot.version):
            return False
        previous_versions = (self.in_force.version, self.newest.version)
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
            for adopted in self._adopted_callbacks:
                adopted(config)
        if previous_versions != (self.in_force.version, self.newest.version):
            for changed in self._changed_callbacks:
                changed()
        return config is not None

    def _may_adopt(self, version: int) -> bool:
        return (
            version > self.in_force.version and version not in self._rejected_versions
        )

    def _compile(self, snapshot: Snapshot) -> Config | None:
        try:
            return compile_snapshot(snapshot, self._cache)
        except InvalidConfig as error:
            self._rejected_versions.add(snapshot.version)
            if snapshot.version > self.newest.version:
                self.rejection = error
            return None
