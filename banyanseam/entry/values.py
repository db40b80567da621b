"""The published values in force, whether read from the store or received from peers.

Versions never go back within one process: a value is adopted only if it is newer than
the one in force.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

import anyio

from banyanseam.config.errors import InvalidConfig
from banyanseam.entry.evacuations import Evacuations
from banyanseam.entry.listed_upstream import ListedUpstream
from banyanseam.entry.messages import Gossip, ValuesMessage, from_upstream_rows
from banyanseam.entry.models import (
    Catalogue,
    Listing,
    PublishedValue,
    StorePosition,
    Upstream,
    ValueChanges,
)
from banyanseam.entry.upstream_list import UpstreamList
from banyanseam.observe.events import (
    CONFIG_ADOPTED,
    CONFIG_REJECTED,
    EVACUATION_CHANGED,
    STORE_RESTORED,
    UPSTREAM_DEREGISTERED,
    UPSTREAM_REGISTERED,
    UPSTREAM_RESTARTED,
    UPSTREAM_STATE_CHANGED,
    log,
)

# In logs, the source of a value that did not come from a peer.
STORE: Final = "store"


@dataclass(frozen=True, slots=True)
class Decoders:
    """Decoders of published values, provided by the platform package."""

    config_key: str
    decode_config: Callable[[bytes], Catalogue]
    decode_evacuated: Callable[[str], str | None]
    decode_upstream: Callable[[PublishedValue], Upstream | None]


class PublishedValues:
    """Configuration, evacuated data centres and registered upstreams."""

    def __init__(self, decoders: Decoders, upstreams: UpstreamList) -> None:
        """Start without values."""
        self.catalogue: Catalogue | None = None
        # The latest position of the store that this process knows of.
        self.store_position = StorePosition(-1, -1)
        # The era that peers mean if they don't name one, as the release before.
        self._first_era: int | None = None
        self.evacuations = Evacuations()
        self.config_value = b""
        self._decoders = decoders
        self._upstreams = upstreams
        upstreams.on_restarted.append(self._log_restart)
        # Set once a configuration and a list of upstreams have been adopted.
        self.complete = anyio.Event()
        self._callbacks: list[Callable[[Catalogue], None]] = []

    @property
    def version(self) -> int:
        """Return the configuration version in force, or 0 before the first."""
        return 0 if self.catalogue is None else self.catalogue.version

    @property
    def evacuated(self) -> frozenset[str]:
        """Return the data centres that are evacuated."""
        return self.evacuations.in_force

    @property
    def confirmed_evacuation_position(self) -> StorePosition:
        """Return the store's position up to which the evacuations are known."""
        return self.evacuations.confirmed_position

    def on_adopted(self, callback: Callable[[Catalogue], None]) -> None:
        """Register a callback for each configuration that comes into force."""
        self._callbacks.append(callback)

    def record_position(self, position: StorePosition, now_s: float) -> None:
        """Record a position that the store has reached, also that it was restored."""
        before = self.store_position
        if position <= before:
            return
        self.store_position = position
        if self._first_era is None:
            self._first_era = position.era
        if before.era in (-1, position.era):
            return
        log(
            STORE_RESTORED,
            era=position.era,
            era_before=before.era,
            revision=position.revision,
            revision_before=before.revision,
        )
        self.evacuations.record_return(now_s)

    def update_evacuations(self, now_s: float) -> None:
        """End what was held after a return of the store; call this regularly."""
        self._set_evacuated(lambda: self.evacuations.update(now_s), now_s)

    def apply_listing(self, listing: Listing, now_s: float) -> None:
        """Adopt a full listing of the operators' values."""
        config = listing.values.get(self._decoders.config_key)
        if config is not None:
            self._apply_config(config.value, STORE)
        if listing.position >= self.confirmed_evacuation_position:
            evacuated = {
                data_centre: published.revision
                for key, published in listing.values.items()
                if (data_centre := self._decoders.decode_evacuated(key)) is not None
            }
            self._adopt_evacuated(evacuated, listing.position, now_s)

    def apply_changes(self, changes: ValueChanges, now_s: float) -> None:
        """Adopt changes of the operators' values."""
        evacuated = dict(self.evacuations.listed)
        written = []
        for key, published in changes.values:
            if key == self._decoders.config_key and published is not None:
                self._apply_config(published.value, STORE)
            data_centre = self._decoders.decode_evacuated(key)
            if data_centre is None:
                continue
            written.append(data_centre)
            if published is None:
                evacuated.pop(data_centre, None)
            else:
                evacuated[data_centre] = published.revision
        if changes.position >= self.confirmed_evacuation_position:
            self._adopt_evacuated(evacuated, changes.position, now_s, written)

    def apply_message(self, message: ValuesMessage, peer: str, now_s: float) -> None:
        """Adopt the values of the peer at an address where they are newer."""
        self._apply_config(message.config, peer)
        position = self.locate(message.evacuation_era, message.evacuation_revision)
        if message.evacuation_era is not None:
            self.record_position(position, now_s)
        if position > self.confirmed_evacuation_position:
            evacuated = {
                each: message.evacuated_at.get(each, position.revision)
                for each in message.evacuated
            }
            self._adopt_evacuated(evacuated, position, now_s)

    def locate(self, era: int | None, revision: int) -> StorePosition:
        """Return the position that a peer means by a revision.

        Without a revision it knows of no evacuation, also of none that has ended.
        """
        if era is None and revision <= 0:
            return StorePosition(0, revision)
        return StorePosition((self._first_era or 0) if era is None else era, revision)

    def to_message(self) -> ValuesMessage:
        """Return the values for a peer that has older ones."""
        return ValuesMessage(
            config=self.config_value,
            evacuated=sorted(self.evacuations.listed),
            evacuation_revision=self.evacuations.position.revision,
            evacuation_era=self.evacuations.era,
            evacuated_at=self.evacuations.listed,
        )

    def decode_upstreams(self, listing: Listing) -> list[Upstream]:
        """Return the upstreams of a listing, skipping invalid values."""
        found = map(self._decoders.decode_upstream, listing.values.values())
        return [upstream for upstream in found if upstream is not None]

    def apply_gossip(self, gossip: Gossip, now_s: float) -> None:
        """Adopt a list of upstreams that a peer of the region has sent."""
        upstreams = from_upstream_rows(
            gossip.upstreams or [], gossip.upstreams_software
        )
        position = self.locate(gossip.upstreams_era, gossip.upstreams_revision)
        if gossip.upstreams_era is not None:
            self.record_position(position, now_s)
        if position.era < self.store_position.era:
            return
        self.adopt_upstreams(upstreams, position.revision, now_s, era=position.era)

    def adopt_upstreams(
        self,
        upstreams: Iterable[Upstream],
        revision: int,
        now_s: float,
        *,
        era: int = 0,
    ) -> bool:
        """Adopt a list of upstreams and log changes; return False if it is stale."""
        before = self._index_upstreams()
        is_adopted = self._upstreams.adopt(upstreams, revision, now_s, era=era)
        self._log_changes(before, revision)
        self._update_complete()
        return is_adopted

    def confirm_upstreams(self, position: StorePosition, now_s: float) -> None:
        """Record that a peer has found the list of upstreams unchanged."""
        if position.era < self.store_position.era:
            return
        before = self._index_upstreams()
        self._upstreams.confirm(position, now_s)
        self._log_changes(before, position.revision)

    def _index_upstreams(self) -> dict[str, Upstream]:
        return {each.upstream_id: each for each in self._upstreams.list_upstreams()}

    def _log_changes(self, before: dict[str, Upstream], revision: int) -> None:
        after = self._index_upstreams()
        for upstream_id, upstream in after.items():
            old = before.get(upstream_id)
            if old is None:
                log(
                    UPSTREAM_REGISTERED,
                    upstream=upstream_id,
                    service=upstream.service,
                    cold_ms=upstream.cold_ms,
                    revision=revision,
                )
            elif old.state is not upstream.state:
                log(
                    UPSTREAM_STATE_CHANGED,
                    upstream=upstream_id,
                    state=upstream.state,
                    remaining_ms=upstream.remaining_ms,
                    revision=revision,
                )
        for upstream_id in before.keys() - after.keys():
            log(UPSTREAM_DEREGISTERED, upstream=upstream_id, revision=revision)

    def _log_restart(self, before: ListedUpstream, after: ListedUpstream) -> None:
        """Log a restart, and what this process did until it was known."""
        now_s = anyio.current_time()
        upstream = after.upstream
        failed_s = before.usage.failed_s
        log(
            UPSTREAM_RESTARTED,
            upstream=upstream.upstream_id,
            started_ms=upstream.started_ms,
            previous_start_ms=before.upstream.started_ms,
            cold_ms=upstream.cold_ms,
            recent_requests=before.usage.count_recent_sends(now_s),
            failed_ms_ago=round((now_s - failed_s) * 1000) if failed_s > 0 else None,
        )

    def _update_complete(self) -> None:
        if self.catalogue is not None and self._upstreams.revision >= 0:
            self.complete.set()

    def _apply_config(self, value: bytes, source: str) -> None:
        if not value or value == self.config_value:
            return
        try:
            catalogue = self._decoders.decode_config(value)
        except InvalidConfig as error:
            log(CONFIG_REJECTED, code=error.code, detail=error.detail, source=source)
            return
        if catalogue.version <= self.version:
            return
        self.catalogue = catalogue
        self.config_value = value
        log(CONFIG_ADOPTED, version=catalogue.version, source=source)
        for callback in self._callbacks:
            callback(catalogue)
        self._update_complete()

    def _adopt_evacuated(
        self,
        evacuated: dict[str, int],
        position: StorePosition,
        now_s: float,
        written: Iterable[str] = (),
    ) -> None:
        self._set_evacuated(
            lambda: self.evacuations.adopt(evacuated, position, now_s, written=written),
            now_s,
        )

    def _set_evacuated(self, update: Callable[[], None], now_s: float) -> None:
        before = self.evacuated
        update()
        if self.evacuated == before:
            return
        self._upstreams.set_evacuated(self.evacuated, now_s)
        position = self.confirmed_evacuation_position
        log(
            EVACUATION_CHANGED,
            data_centres=sorted(self.evacuated),
            era=position.era,
            revision=position.revision,
        )
