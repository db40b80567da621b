"""Checks of the eleven promises to users, made on the records of one run.

Each check returns one text for each violation.
"""

import hashlib
from collections.abc import Callable
from itertools import pairwise

from standins.batching import BYTES_PER_TOKEN
from tests.faults.records import Attempt, Records
from tests.faults.scenario import (
    HOME_REGION,
    LIMITED_BURST_TOKENS,
    LIMITED_RATE_TOKENS_PER_S,
    PARTITION_GRACE_S,
    PROPAGATION_LIMIT_S,
)

Check = Callable[[Records], list[str]]


def prompt_digest(body: str) -> str:
    """Return the digest under which engines record a prompt."""
    return hashlib.sha256(body.encode()).hexdigest()


def count_bookings(records: Records, body: str) -> int:
    """Return how often a booking ran, over all services."""
    digest = prompt_digest(body)
    return sum(runs["by_body"].get(digest, 0) for runs in records.service_runs.values())


def check_residency(records: Records) -> list[str]:
    """Check that requests bound to the home region ran in no other."""
    bound = {
        prompt_digest(attempt.body)
        for attempt in records.attempts
        if attempt.purpose == "homed"
    }
    return [
        f"{name} ran {run['request_id']}"
        for name, runs in records.engine_runs.items()
        if not name.startswith(HOME_REGION)
        for run in runs
        if run["prompt_sha256"] in bound
    ]


def check_loops(records: Records) -> list[str]:
    """Check that no request ran more often than a single retry allows, or looped."""
    counts: dict[str, int] = {}
    for runs in records.engine_runs.values():
        for run in runs:
            counts[run["request_id"]] = counts.get(run["request_id"], 0) + 1
    looped = [a.request_id for a in records.attempts if a.code == "request.loop"]
    return [f"{name}: {count} runs" for name, count in counts.items() if count > 2] + [
        f"{name} was refused as a loop" for name in looped
    ]


def check_partitioned_region(records: Records) -> list[str]:
    """Check that a region that is partitioned from the others keeps serving."""
    excusing_kinds = {"kill", "freeze", "stop", "restart", "engine"}
    return [
        f"{attempt.seat} {attempt.purpose} {attempt.code or attempt.status}"
        for attempt in records.attempts
        if attempt.purpose in ("chat", "lookup")
        and records.has_active_fault(
            "cut", attempt.region, attempt.sent_s, PARTITION_GRACE_S
        )
        and not records.has_fault_between(
            excusing_kinds, attempt.sent_s - 10, attempt.ended_s
        )
        and not attempt.is_whole
    ]


def check_keys(records: Records) -> list[str]:
    """Check that no upstream receives a caller's key and withdrawn keys are refused."""
    leaked = [
        f"{name} received {header}"
        for name, header in _list_seen_headers(records)
        if header in ("authorization", "x-api-key", "cookie")
    ]
    if records.key_withdrawn_s is None:
        return leaked
    late_s = records.key_withdrawn_s + PROPAGATION_LIMIT_S
    excusing_kinds = {"cut", "service", "freeze"}
    return leaked + [
        f"{attempt.seat} accepted a withdrawn key"
        for attempt in records.attempts
        if attempt.purpose == "withdrawn"
        and attempt.sent_s > late_s
        and attempt.status == 200
        and not records.has_fault_between(
            excusing_kinds, records.key_withdrawn_s - 1, attempt.sent_s
        )
    ]


def _list_seen_headers(records: Records) -> list[tuple[str, str]]:
    pairs = [
        (name, header.lower())
        for name, runs in records.engine_runs.items()
        for run in runs
        for header in run["seen_headers"]
    ]
    return pairs + [
        (name, header.lower())
        for name, runs in records.service_runs.items()
        for run in runs["records"]
        for header in run["seen_headers"]
    ]


def check_quota(records: Records) -> list[str]:
    """Check that in no window more tokens ran than rate x length + burst."""
    prompt_tokens = {
        prompt_digest(attempt.body): -(-len(attempt.body) // BYTES_PER_TOKEN)
        for attempt in records.attempts
        if attempt.purpose == "limited"
    }
    used = sorted(
        (run["started"], run["tokens"] + prompt_tokens[run["prompt_sha256"]])
        for runs in records.engine_runs.values()
        for run in runs
        if run["prompt_sha256"] in prompt_tokens
    )
    level_tokens = 0.0
    last_s = used[0][0] if used else 0.0
    worst_tokens = 0.0
    for at_s, tokens in used:
        refill_tokens = (at_s - last_s) * LIMITED_RATE_TOKENS_PER_S
        level_tokens = max(0.0, level_tokens - refill_tokens) + tokens
        last_s = at_s
        worst_tokens = max(worst_tokens, level_tokens - LIMITED_BURST_TOKENS)
    return [f"{worst_tokens:.0f} tokens over the limit"] if worst_tokens > 0 else []


def check_whole_answers(records: Records) -> list[str]:
    """Check that each answer is the caller's own and complete, or visibly broken."""
    faults = []
    for attempt in records.attempts:
        if attempt.status != 200 or attempt.purpose in ("lookup", "booking"):
            continue
        if not attempt.is_whole and not attempt.is_broken:
            faults.append(f"{attempt.request_id} ended early without an error")
        if attempt.chunk_ids - {attempt.request_id}:
            faults.append(f"{attempt.request_id} got {attempt.chunk_ids}")
    return faults


def check_not_run(records: Records) -> list[str]:
    """Check that no request that was reported as not run did run."""
    digests = {
        run["prompt_sha256"] for runs in records.engine_runs.values() for run in runs
    }
    return [
        f"{attempt.request_id} {attempt.purpose} {attempt.code}"
        for attempt in records.attempts
        if attempt.not_run
        and (
            count_bookings(records, attempt.body)
            if attempt.purpose == "booking"
            else prompt_digest(attempt.body) in digests
        )
        # A booking that was only resent later may have run on that later attempt.
        and not _ran_later(records, attempt)
    ]


def _ran_later(records: Records, refused: Attempt) -> bool:
    return any(
        attempt.body == refused.body and attempt.sent_s > refused.ended_s
        for attempt in records.attempts
        if attempt is not refused
    ) and not any(
        attempt.body == refused.body and attempt.sent_s < refused.sent_s
        for attempt in records.attempts
    )


def check_at_most_once(records: Records) -> list[str]:
    """Check that no booking ran twice and that each confirmed one ran."""
    faults = []
    for body in {a.body for a in records.attempts if a.purpose == "booking"}:
        runs = count_bookings(records, body)
        if runs > 1:
            faults.append(f"{body} ran {runs} times")
        confirmed = any(a.body == body and a.status == 201 for a in records.attempts)
        if confirmed and runs == 0:
            faults.append(f"{body} was confirmed and never ran")
    return faults


def check_leaving(records: Records) -> list[str]:
    """Check that a leaving upstream starts no request after the propagation limit."""
    excusing_kinds = {"cut", "service", "freeze", "kill", "restart"}
    return [
        f"{name} started {run['request_id']} {run['started'] - marked_s:.1f} s late"
        for name, marked_s in records.leaving_since_s.items()
        for run in records.engine_runs.get(name, [])
        if run["started"] > marked_s + PROPAGATION_LIMIT_S
        and not records.has_fault_between(excusing_kinds, marked_s - 1, run["started"])
    ]


def check_planned_stops(records: Records) -> list[str]:
    """Check that planned stops exit with 0 and break no request."""
    exits = [f"{seat} ended with {code}" for seat, code in records.exit_codes.items()]
    faults = [text for text in exits if not text.endswith(" 0")]
    excusing_kinds = {"kill", "freeze", "cut", "engine", "restart"}
    for fault in records.faults:
        if fault.kind != "stop":
            continue
        faults += [
            f"{fault.target} broke {attempt.purpose} {attempt.request_id}"
            for attempt in records.attempts
            if attempt.seat == fault.target
            and attempt.sent_s < fault.end_s
            and attempt.ended_s >= fault.start_s
            and attempt.is_broken
            and not records.has_fault_between(
                excusing_kinds, attempt.sent_s - 5, attempt.ended_s
            )
        ]
    return faults


def check_versions(records: Records) -> list[str]:
    """Check that no process ever reverts to an older configuration."""
    by_process: dict[tuple[str, int], list[int]] = {}
    for seen in sorted(records.observations, key=lambda seen: seen.at_s):
        by_process.setdefault((seen.seat, seen.pid), []).append(seen.version)
    return [
        f"{seat} went from {first} to {second}"
        for (seat, _), versions in by_process.items()
        for first, second in pairwise(versions)
        if second < first
    ]


CHECKS: dict[str, Check] = {
    "residency": check_residency,
    "loops": check_loops,
    "cut_off_region": check_partitioned_region,
    "keys": check_keys,
    "quota": check_quota,
    "whole_answers": check_whole_answers,
    "not_run": check_not_run,
    "at_most_once": check_at_most_once,
    "leaving": check_leaving,
    "planned_stops": check_planned_stops,
    "versions": check_versions,
}


def find_violations(records: Records) -> dict[str, list[str]]:
    """Return the violations of each promise that was broken."""
    found = {name: check(records) for name, check in CHECKS.items()}
    return {name: faults for name, faults in found.items() if faults}
