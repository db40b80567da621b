"""What regions tell one another of their upstreams, in the heartbeats between them."""

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
    """One model or service of the region that sends the section."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    serves: str = Field(max_length=64)
    free_tokens: int = Field(ge=0)
    largest_free_tokens: int = Field(ge=0)
    wait_ms: int = Field(ge=0)
    prefill_tokens_per_s: float = Field(gt=0)
    usable: int = Field(ge=0)


@dataclass(slots=True)
class Heard:
    """The last row for one model of one region, and since when it is heard."""

    row: SectionRow
    seen_s: float
    heard_since_s: float


class Regions:
    """Summaries of the other regions; times are on this daemon's clock."""

    def __init__(self) -> None:
        """Know of no region yet."""
        self._heard: dict[tuple[str, str], Heard] = {}

    def apply(self, region: str, section: bytes, now_s: float) -> None:
        """Take a section that a daemon of another region sent.

        Raise InvalidSection when it does not validate.
        """
        try:
            rows = [_unpack(fields) for fields in cbor2.loads(section)]
        except (cbor2.CBORDecodeError, ValidationError, TypeError, ValueError) as error:
            raise InvalidSection(region) from error
        for row in rows:
            known = self._heard.get((region, row.serves))
            since_s = now_s
            if known is not None and now_s - known.seen_s <= REGION_TERM_S:
                since_s = known.heard_since_s
            self._heard[region, row.serves] = Heard(row, now_s, since_s)

    def list_summaries(self, serves: str, now_s: float) -> list[RegionSummary]:
        """Return the regions that lately said that they can serve this."""
        return [
            RegionSummary(
                region=region,
                free_tokens=heard.row.free_tokens,
                largest_free_tokens=heard.row.largest_free_tokens,
                wait_ms=heard.row.wait_ms,
                prefill_tokens_per_s=heard.row.prefill_tokens_per_s,
                heard_since_s=heard.heard_since_s,
            )
            for (region, name), heard in self._heard.items()
            if name == serves
            and heard.row.usable
            and now_s - heard.seen_s <= REGION_TERM_S
        ]


def make_section_writer(
    list_rows: Callable[[], Sequence[PoolRow]],
    serves_of: Callable[[str], frozenset[str]],
) -> Callable[[], bytes]:
    """Return a function that writes this region's section, of at most 4 KB.

    When the rows do not fit, successive calls take turns with them.
    """
    turn = 0

    def write_section() -> bytes:
        nonlocal turn
        rows = _join_rows(list_rows(), serves_of)
        if not rows:
            return cbor2.dumps([])
        start = turn % len(rows)
        section: list[list[Any]] = []
        for row in rows[start:] + rows[:start]:
            section.append(_pack(row))
            if len(cbor2.dumps(section)) > MAX_SECTION_BYTES:
                section.pop()
                break
        turn = start + len(section)
        return cbor2.dumps(section)

    return write_section


def _join_rows(
    rows: Sequence[PoolRow], serves_of: Callable[[str], frozenset[str]]
) -> list[SectionRow]:
    """Join the pools that serve the same: room adds up, the shortest wait counts."""
    by_name: dict[str, list[PoolRow]] = {}
    for row in rows:
        for name in serves_of(row.pool):
            by_name.setdefault(name, []).append(row)
    return [
        SectionRow(
            serves=name,
            free_tokens=sum(row.free_tokens for row in alike),
            largest_free_tokens=max(row.largest_free_tokens for row in alike),
            wait_ms=min(row.wait_ms for row in alike),
            prefill_tokens_per_s=max(1.0, *(row.prefill_tokens_per_s for row in alike)),
            usable=sum(row.usable for row in alike),
        )
        for name, alike in sorted(by_name.items())
    ]


def _pack(row: SectionRow) -> list[Any]:
    return list(row.model_dump().values())


def _unpack(fields: list[Any]) -> SectionRow:
    return SectionRow(**dict(zip(SectionRow.model_fields, fields, strict=True)))
