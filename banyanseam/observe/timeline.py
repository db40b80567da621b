"""Reconstructs the timeline of one request from the logs of all VMs, in causal order.

The lines of one VM keep the order in which it wrote them, since clocks differ between
VMs. The lines of a VM that the request was forwarded to follow the line that records
the forwarding.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any, Final

from banyanseam.observe.events import (
    CONFIG_ADOPTED,
    CONFIG_SERVICE_BACK,
    CONFIG_SERVICE_DOWN,
    DAEMON_READY,
    DAEMON_STARTED,
    DRAIN_STARTED,
    EVACUATION_CHANGED,
    PEER_ALIVE,
    PEER_SILENT,
    REQUEST_ENDED,
    REQUEST_FAILED,
    REQUEST_FORWARDED,
    UPSTREAM_DEREGISTERED,
    UPSTREAM_REGISTERED,
    UPSTREAM_STATE_CHANGED,
)
from banyanseam.observe.log_files import LogLine, decode_line, read_event_number

# Known states retained per VM; the least recently updated is evicted first.
MAX_KNOWN_STATES: Final = 5000
MAX_TIMELINE_STEPS: Final = 2000

_PROCESS_EVENTS: Final = {
    DAEMON_STARTED.number,
    DAEMON_READY.number,
    DRAIN_STARTED.number,
}
_UPSTREAM_EVENTS: Final = {
    UPSTREAM_REGISTERED.number,
    UPSTREAM_STATE_CHANGED.number,
    UPSTREAM_DEREGISTERED.number,
}
_PEER_EVENTS: Final = {PEER_ALIVE.number, PEER_SILENT.number}
_CONFIG_SERVICE_EVENTS: Final = {CONFIG_SERVICE_DOWN.number, CONFIG_SERVICE_BACK.number}
_STATE_EVENTS: Final = (
    _PROCESS_EVENTS
    | _UPSTREAM_EVENTS
    | _PEER_EVENTS
    | _CONFIG_SERVICE_EVENTS
    | {CONFIG_ADOPTED.number, EVACUATION_CHANGED.number}
)
_END_EVENTS: Final = {REQUEST_ENDED.number, REQUEST_FAILED.number}


@dataclass(frozen=True, slots=True)
class KnownState:
    """The state of a subject, such as a peer, that a VM last logged before a step.

    `age_ms` is the time from that log line to the step.
    """

    message: str
    age_ms: int
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Step:
    """A line of the timeline; `depth` counts how often the request was forwarded."""

    line: LogLine
    known_states: list[KnownState]
    depth: int = 0


@dataclass(slots=True)
class _Vm:
    ip: str | None = None
    known_states: OrderedDict[tuple[str, str], LogLine] = field(
        default_factory=OrderedDict
    )
    steps: list[Step] = field(default_factory=list)


class RequestTimeline:
    """Collects the log lines of one request and orders them."""

    def __init__(self, request_id: str) -> None:
        """Collect lines with this request id."""
        self._id = request_id
        self._id_bytes = request_id.encode()
        self._vms: dict[str, _Vm] = {}
        self._count = 0
        # Number of the request's lines dropped beyond MAX_TIMELINE_STEPS.
        self.left_out = 0

    def add_line(self, raw: bytes) -> None:
        """Add a line of any log; lines of one VM must be added in the order written."""
        number = read_event_number(raw)
        if number is None:
            return
        is_state_event = number in _STATE_EVENTS
        if not is_state_event and self._id_bytes not in raw:
            return
        line = decode_line(raw)
        if line is None:
            return
        vm = self._vms.setdefault(line.vm, _Vm())
        if is_state_event:
            self._record_state(vm, line)
        elif line.fields.get("request_id") == self._id:
            self._add_step(vm, line)

    def list_steps(self) -> list[Step]:
        """Return the steps; each VM's follow the line that forwarded to it."""
        pending = {name: vm.steps for name, vm in self._vms.items() if vm.steps}
        names_by_ip = {vm.ip: name for name, vm in self._vms.items() if vm.ip}
        ordered: list[Step] = []
        while pending:
            name = min(pending, key=lambda each: _make_sort_key(pending[each]))
            self._append_steps(name, 0, pending, names_by_ip, ordered)
        return ordered

    def _append_steps(
        self,
        name: str,
        depth: int,
        pending: dict[str, list[Step]],
        names_by_ip: dict[str, str],
        ordered: list[Step],
    ) -> None:
        for step in pending.pop(name):
            ordered.append(Step(step.line, step.known_states, depth))
            if step.line.event != REQUEST_FORWARDED.number:
                continue
            other = names_by_ip.get(step.line.fields.get("peer", ""))
            if other in pending:
                self._append_steps(other, depth + 1, pending, names_by_ip, ordered)

    def _record_state(self, vm: _Vm, line: LogLine) -> None:
        if line.event == DAEMON_STARTED.number:
            # A new process does not have the state of the previous one.
            vm.known_states.clear()
            vm.ip = line.fields.get("ip")
        key = _get_subject(line)
        vm.known_states[key] = line
        vm.known_states.move_to_end(key)
        if len(vm.known_states) > MAX_KNOWN_STATES:
            vm.known_states.popitem(last=False)

    def _add_step(self, vm: _Vm, line: LogLine) -> None:
        if self._count >= MAX_TIMELINE_STEPS:
            self.left_out += 1
            return
        self._count += 1
        vm.steps.append(Step(line, _list_known_states(vm, line)))


def _make_sort_key(steps: list[Step]) -> tuple[bool, datetime]:
    """Return a sort key that puts the VM first that the caller sent the request to."""
    is_forwarded = any(
        step.line.event in _END_EVENTS and step.line.fields.get("forwarded") is True
        for step in steps
    )
    return is_forwarded, steps[0].line.at


def _get_subject(line: LogLine) -> tuple[str, str]:
    if line.event in _UPSTREAM_EVENTS:
        return "upstream", str(line.fields.get("upstream"))
    if line.event in _PEER_EVENTS:
        return "peer", str(line.fields.get("peer"))
    if line.event in _CONFIG_SERVICE_EVENTS:
        return "store", str(line.fields.get("what"))
    if line.event in _PROCESS_EVENTS:
        return "process", ""
    return "values", str(line.event)


def _list_known_states(vm: _Vm, line: LogLine) -> list[KnownState]:
    """Return the latest known state of each subject that is relevant to a line."""
    relevant = [
        known_state
        for (kind, subject), known_state in vm.known_states.items()
        if kind in ("values", "process")
        or (kind == "store" and known_state.event == CONFIG_SERVICE_DOWN.number)
        or (kind == "peer" and known_state.event == PEER_SILENT.number)
        or (kind == "peer" and subject == line.fields.get("peer"))
        or (kind == "upstream" and subject == line.fields.get("upstream"))
    ]
    return [
        KnownState(each.message, _age_ms(each.at, line.at), each.fields)
        for each in relevant
    ]


def _age_ms(since: datetime, at: datetime) -> int:
    return round((at - since).total_seconds() * 1000)
