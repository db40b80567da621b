"""The published values as this process holds them, whoever brought them.

A version never goes back within one process: a value is adopted only when it is newer
than the one in force.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import anyio

from banyanseam.config.errors import InvalidConfig
from banyanseam.entry.messages import Gossip, ValuesMessage, from_upstream_row
from banyanseam.entry.models import Catalogue, Changes, Listing, Published, Upstream
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.observe.events import (
    CONFIG_ADOPTED,
    CONFIG_REJECTED,
    DATA_CENTRES_EVACUATED,
    UPSTREAM_APPEARED,
    UPSTREAM_GONE,
    UPSTREAM_LEAVING,
    log,
)


@dataclass(frozen=True, slots=True)
class Decoders:
    """How published values are read; the platform's folder provides them."""

    config_key: str
    decode_config: Callable[[bytes], Catalogue]
    decode_evacuated: Callable[[str], str | None]
    decode_upstream: Callable[[Published], Upstream | None]


class Values:
    """Configuration, evacuated data centres and registered upstreams."""

    def __init__(self, decoders: Decoders, upstreams: UpstreamList) -> None:
        """Hold nothing yet."""
        self.catalogue: Catalogue | None = None
        self.evacuation_revision = 0
        self.evacuated: frozenset[str] = frozenset()
        self.config_value = b""
        self._decoders = decoders
        self._upstreams = upstreams
        # Set once a configuration and a list of upstreams are known.
        self.complete = anyio.Event()
        self._watchers: list[Callable[[Catalogue], None]] = []

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return 0 if self.catalogue is None else self.catalogue.version

    def on_adopted(self, callback: Callable[[Catalogue], None]) -> None:
        """Call back with each configuration that comes into force."""
        self._watchers.append(callback)

    def take_listing(self, listing: Listing, now_s: float) -> None:
        """Adopt what the operators have published, read as a whole."""
        config = listing.values.get(self._decoders.config_key)
        if config is not None:
            self._take_config(config.value)
        if listing.revision >= self.evacuation_revision:
            found = (self._decoders.decode_evacuated(key) for key in listing.values)
            evacuated = frozenset(each for each in found if each is not None)
            self._set_evacuated(evacuated, listing.revision, now_s)

    def take_changes(self, changes: Changes, now_s: float) -> None:
        """Adopt what the operators have changed."""
        evacuated = set(self.evacuated)
        for key, published in changes.values:
            if key == self._decoders.config_key and published is not None:
                self._take_config(published.value)
            data_centre = self._decoders.decode_evacuated(key)
            if data_centre is None:
                continue
            if published is None:
                evacuated.discard(data_centre)
            else:
                evacuated.add(data_centre)
        self._set_evacuated(frozenset(evacuated), changes.revision, now_s)

    def take_message(self, message: ValuesMessage, now_s: float) -> None:
        """Adopt what a peer holds, where it is newer."""
        self._take_config(message.config)
        if message.evacuation_revision > self.evacuation_revision:
            evacuated = frozenset(message.evacuated)
            self._set_evacuated(evacuated, message.evacuation_revision, now_s)

    def to_message(self) -> ValuesMessage:
        """Return what a peer that is behind needs."""
        return ValuesMessage(
            config=self.config_value,
            evacuated=sorted(self.evacuated),
            evacuation_revision=self.evacuation_revision,
        )

    def read_upstreams(self, listing: Listing) -> list[Upstream]:
        """Return the upstreams of a listing, passing over what names none."""
        found = map(self._decoders.decode_upstream, listing.values.values())
        return [upstream for upstream in found if upstream is not None]

    def take_upstreams(self, gossip: Gossip, now_s: float) -> None:
        """Adopt a list of upstreams that a peer of the region has read."""
        upstreams = [from_upstream_row(row) for row in gossip.upstreams or ()]
        self.adopt_upstreams(upstreams, gossip.upstreams_revision, now_s)

    def adopt_upstreams(
        self, upstreams: Iterable[Upstream], revision: int, now_s: float
    ) -> bool:
        """Adopt a list of upstreams and log what changed."""
        before = {each.upstream_id: each for each in self._upstreams.list_upstreams()}
        is_adopted = self._upstreams.adopt(upstreams, revision, now_s)
        after = {each.upstream_id: each for each in self._upstreams.list_upstreams()}
        for upstream_id, upstream in after.items():
            old = before.get(upstream_id)
            if old is None or old.started_ms != upstream.started_ms:
                log(
                    UPSTREAM_APPEARED,
                    upstream=upstream_id,
                    service=upstream.service,
                    cold_ms=upstream.cold_ms,
                    revision=revision,
                )
            elif old.state is not upstream.state:
                log(
                    UPSTREAM_LEAVING,
                    upstream=upstream_id,
                    state=upstream.state,
                    remaining_ms=upstream.remaining_ms,
                    revision=revision,
                )
        for upstream_id in before.keys() - after.keys():
            log(UPSTREAM_GONE, upstream=upstream_id, revision=revision)
        self._note_complete()
        return is_adopted

    def _note_complete(self) -> None:
        if self.catalogue is not None and self._upstreams.revision >= 0:
            self.complete.set()

    def _take_config(self, value: bytes) -> None:
        if not value or value == self.config_value:
            return
        try:
            catalogue = self._decoders.decode_config(value)
        except InvalidConfig as error:
            log(CONFIG_REJECTED, code=error.code, detail=error.detail)
            return
        if catalogue.version <= self.version:
            return
        self.catalogue = catalogue
        self.config_value = value
        log(CONFIG_ADOPTED, version=catalogue.version)
        for watcher in self._watchers:
            watcher(catalogue)
        self._note_complete()

    def _set_evacuated(
        self, evacuated: frozenset[str], revision: int, now_s: float
    ) -> None:
        if evacuated == self.evacuated:
            return
        self.evacuated = evacuated
        self.evacuation_revision = revision
        self._upstreams.set_evacuated(evacuated, now_s)
        log(DATA_CENTRES_EVACUATED, data_centres=sorted(evacuated), revision=revision)
