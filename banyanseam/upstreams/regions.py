"""Summaries of regions' upstreams, exchanged in the heartbeats between regions."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import cbor2
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from banyanseam.upstreams.choose import RegionSummary
from banyanseam.upstreams.const import MAX_SECTION_BYTES, REGION_TERM_S
from banyanseam.upstreams.errors import InvalidSection
from banyanseam.upstreams.models import PoolRow


class SectionRow(BaseModel):
    """Capacity for one model or service in the region that sends the section."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    serves: str = Field(max_length=64)
    free_tokens: int = Field(ge=0)
    largest_free_tokens: int = Field(ge=0)
    wait_ms: int = Field(ge=0)
    prefill_tokens_per_s: float = Field(gt=0)
    usable: int = Field(ge=0)


@dataclass(slots=True)
class ReceivedRow:
    """A region's last row for one model or service.

    `reporting_since_s` is when the first row arrived, or the first after a gap of
    more than REGION_TERM_S.
    """

    row: SectionRow
    received_s: float
    reporting_since_s: float


class RegionSummaries:
    """Summaries received from other regions; times are on this daemon's clock."""

    def __init__(self) -> None:
        """Start without summaries."""
        self._received: dict[tuple[str, str], ReceivedRow] = {}

    def apply(self, region: str, section: bytes, now_s: float) -> None:
        """Apply a section that a daemon of another region sent.

        Raise InvalidSection when it does not validate.
        """
        try:
            rows = [_unpack(fields) for fields in cbor2.loads(section)]
        except (cbor2.CBORDecodeError, ValidationError, TypeError, ValueError) as error:
            raise InvalidSection(region) from error
        for row in rows:
            previous = self._received.get((region, row.serves))
            since_s = now_s
            if previous is not None and now_s - previous.received_s <= REGION_TERM_S:
                since_s = previous.reporting_since_s
            self._received[region, row.serves] = ReceivedRow(row, now_s, since_s)

    def list_summaries(self, serves: str, now_s: float) -> list[RegionSummary]:
        """Return the regions that reported within REGION_TERM_S to serve `serves`."""
        return [
            RegionSummary(
                region=region,
                free_tokens=received.row.free_tokens,
                largest_free_tokens=received.row.largest_free_tokens,
                wait_ms=received.row.wait_ms,
                prefill_tokens_per_s=received.row.prefill_tokens_per_s,
                reachable_since_s=received.reporting_since_s,
            )
            for (region, name), received in self._received.items()
            if name == serves
            and received.row.usable
            and now_s - received.received_s <= REGION_TERM_S
        ]


def make_section_writer(
    list_rows: Callable[[], Sequence[PoolRow]],
    list_served: Callable[[str], frozenset[str]],
) -> Callable[[], bytes]:
    """Return a function that writes this region's section for heartbeats.

    If the rows do not all fit in MAX_SECTION_BYTES, successive calls write them in
    rotation.
    """
    next_start = 0

    def write_section() -> bytes:
        nonlocal next_start
        rows = _merge_rows(list_rows(), list_served)
        if not rows:
            return cbor2.dumps([])
        start = next_start % len(rows)
        section: list[list[Any]] = []
        for row in rows[start:] + rows[:start]:
            section.append(_pack(row))
            if len(cbor2.dumps(section)) > MAX_SECTION_BYTES:
                section.pop()
                break
        next_start = start + len(section)
        return cbor2.dumps(section)

    return write_section


def _merge_rows(
    rows: Sequence[PoolRow], list_served: Callable[[str], frozenset[str]]
) -> list[SectionRow]:
    """Merge pools by what they serve: add up capacity, take the shortest wait."""
    by_name: dict[str, list[PoolRow]] = {}
    for row in rows:
        for name in list_served(row.pool):
            by_name.setdefault(name, []).append(row)
    return [
        SectionRow(
            serves=name,
            free_tokens=sum(row.free_tokens for row in pool_rows),
            largest_free_tokens=max(row.largest_free_tokens for row in pool_rows),
            wait_ms=min(row.wait_ms for row in pool_rows),
            prefill_tokens_per_s=max(
                1.0, *(row.prefill_tokens_per_s for row in pool_rows)
            ),
            usable=sum(row.usable for row in pool_rows),
        )
        for name, pool_rows in sorted(by_name.items())
    ]


def _pack(row: SectionRow) -> list[Any]:
    return list(row.model_dump().values())


def _unpack(fields: list[Any]) -> SectionRow:
    return SectionRow(**dict(zip(SectionRow.model_fields, fields, strict=True)))
