"""Measure the handover of a full store of idempotency keys at a planned stop."""

import time
from dataclasses import dataclass
from itertools import pairwise

from banyanseam.idempotency.const import MEMORY_BYTES, RETENTION_S
from banyanseam.idempotency.handover_messages import OfferKeys
from banyanseam.idempotency.models import Answer, Claim, RunOutcome, Scope
from banyanseam.idempotency.record_store import RecordStore
from banyanseam.idempotency.transfer import Assembly, KeysSnapshot, make_page
from banyanseam.peers.messages import Envelope, decode, encode

ANSWER_BYTES = 300
ORGANISATIONS = 10


@dataclass(frozen=True, slots=True)
class Cost:
    """Figures of one handover."""

    keys: int
    pages: int
    sent_bytes: int
    total_s: float
    # The longest time that packing, sending or reading one page blocks the event loop.
    longest_s: float


def fill_record_store() -> RecordStore:
    """Return a record store without free capacity for another key."""
    record_store = RecordStore()
    number = 0
    while record_store.held_bytes < MEMORY_BYTES - 2 * (ANSWER_BYTES + 1000):
        scope = Scope(f"organisation-{number % ORGANISATIONS}", f"{number:036}")
        claim = Claim(scope, "f" * 64, number.to_bytes(16), "gulf-1", 1, 30.0)
        record_store.claim(claim, 0.0, stamp_s=0.0)
        answer = Answer(201, [(b"content-type", b"text/plain")], b"x" * ANSWER_BYTES)
        record_store.finish(scope, claim.claim_id, RunOutcome(True, answer), 0.0)
        number += 1
    return record_store


def measure() -> Cost:
    """Transfer a full record store as encoded messages, but without the network."""
    record_store = fill_record_store()
    records = record_store.list_records()
    snapshot = KeysSnapshot("gulf-1", 1, b"", 0.0, RETENTION_S, 0.0, {}, records)
    pages = snapshot.split()
    assembly = Assembly()
    sent_bytes, times_s = 0, [time.perf_counter()]
    for number in range(len(pages)):
        data = encode_page(snapshot, pages, number)
        times_s.append(time.perf_counter())
        assembly.add(decode(data).message.content, 0.0)
        times_s.append(time.perf_counter())
        sent_bytes += len(data)
    longest_s = max(after - before for before, after in pairwise(times_s))
    return Cost(
        len(records), len(pages), sent_bytes, times_s[-1] - times_s[0], longest_s
    )


def encode_page(snapshot: KeysSnapshot, pages: list, number: int) -> bytes:
    """Return a page as an encoded message."""
    content = make_page(snapshot, pages, number, 0.0)
    return encode(Envelope(1, False, OfferKeys(content=content)))


if __name__ == "__main__":
    for _ in range(3):
        print(measure())
