"""The story of one request over the logs of all VMs, in order of cause.

A VM's lines keep the order in which it wrote them, since clocks differ between VMs.
What a VM did for another stands below the line that handed the request to it.
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
    DATA_CENTRES_EVACUATED,
    DRAIN_BEGUN,
    PEER_HEARD,
    PEER_SILENT,
    REQUEST_ENDED,
    REQUEST_FAILED,
    REQUEST_HANDED_OVER,
    UPSTREAM_APPEARED,
    UPSTREAM_GONE,
    UPSTREAM_LEAVING,
)
from banyanseam.observe.log_files import LogLine, decode_line, read_event_number

# Beliefs that are kept for each VM; the oldest go first.
MAX_BELIEFS: Final = 5000
MAX_STORY_LINES: Final = 2000

_OF_PROCESS: Final = {
    DAEMON_STARTED.number,
    DAEMON_READY.number,
    DRAIN_BEGUN.number,
}
_OF_UPSTREAM: Final = {
    UPSTREAM_APPEARED.number,
    UPSTREAM_LEAVING.number,
    UPSTREAM_GONE.number,
}
_OF_PEER: Final = {PEER_HEARD.number, PEER_SILENT.number}
_OF_STORE: Final = {CONFIG_SERVICE_DOWN.number, CONFIG_SERVICE_BACK.number}
_BELIEFS: Final = (
    _OF_PROCESS
    | _OF_UPSTREAM
    | _OF_PEER
    | _OF_STORE
    | {CONFIG_ADOPTED.number, DATA_CENTRES_EVACUATED.number}
)
_ENDS: Final = {REQUEST_ENDED.number, REQUEST_FAILED.number}


@dataclass(frozen=True, slots=True)
class Belief:
    """What a VM held for true when it wrote a line, and for how long it had."""

    message: str
    age_ms: int
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Step:
    """A line of the story; `depth` counts how often the request was handed over."""

    line: LogLine
    beliefs: list[Belief]
    depth: int = 0


@dataclass(slots=True)
class _Vm:
    ip: str | None = None
    beliefs: OrderedDict[tuple[str, str], LogLine] = field(default_factory=OrderedDict)
    steps: list[Step] = field(default_factory=list)


class Story:
    """What has been found of one request so far."""

    def __init__(self, request_id: str) -> None:
        """Look for one request."""
        self._id = request_id
        self._id_bytes = request_id.encode()
        self._vms: dict[str, _Vm] = {}
        self._count = 0
        # Lines of the request beyond the bound, which are not told.
        self.left_out = 0

    def take(self, raw: bytes) -> None:
        """Take a line of any log; the lines of one VM come in their order."""
        number = read_event_number(raw)
        if number is None:
            return
        is_belief = number in _BELIEFS
        if not is_belief and self._id_bytes not in raw:
            return
        line = decode_line(raw)
        if line is None:
            return
        vm = self._vms.setdefault(line.vm, _Vm())
        if is_belief:
            self._note_belief(vm, line)
        elif line.fields.get("request_id") == self._id:
            self._note_step(vm, line)

    def tell(self) -> list[Step]:
        """Return the steps, each VM's below the line that handed over to it."""
        parts = {name: vm.steps for name, vm in self._vms.items() if vm.steps}
        names_by_ip = {vm.ip: name for name, vm in self._vms.items() if vm.ip}
        told: list[Step] = []
        while parts:
            name = min(parts, key=lambda each: _rank(parts[each]))
            self._tell_of(name, 0, parts, names_by_ip, told)
        return told

    def _tell_of(
        self,
        name: str,
        depth: int,
        parts: dict[str, list[Step]],
        names_by_ip: dict[str, str],
        told: list[Step],
    ) -> None:
        for step in parts.pop(name):
            told.append(Step(step.line, step.beliefs, depth))
            if step.line.event != REQUEST_HANDED_OVER.number:
                continue
            other = names_by_ip.get(step.line.fields.get("peer", ""))
            if other in parts:
                self._tell_of(other, depth + 1, parts, names_by_ip, told)

    def _note_belief(self, vm: _Vm, line: LogLine) -> None:
        if line.event == DAEMON_STARTED.number:
            # A process that has just started believes nothing yet.
            vm.beliefs.clear()
            vm.ip = line.fields.get("ip")
        key = _name_subject(line)
        vm.beliefs[key] = line
        vm.beliefs.move_to_end(key)
        if len(vm.beliefs) > MAX_BELIEFS:
            vm.beliefs.popitem(last=False)

    def _note_step(self, vm: _Vm, line: LogLine) -> None:
        if self._count >= MAX_STORY_LINES:
            self.left_out += 1
            return
        self._count += 1
        vm.steps.append(Step(line, _list_beliefs(vm, line)))


def _rank(steps: list[Step]) -> tuple[bool, datetime]:
    """Return what sorts the VM that the caller used before those that it asked."""
    is_forwarded = any(
        step.line.event in _ENDS and step.line.fields.get("forwarded") is True
        for step in steps
    )
    return is_forwarded, steps[0].line.at


def _name_subject(line: LogLine) -> tuple[str, str]:
    if line.event in _OF_UPSTREAM:
        return "upstream", str(line.fields.get("upstream"))
    if line.event in _OF_PEER:
        return "peer", str(line.fields.get("peer"))
    if line.event in _OF_STORE:
        return "store", str(line.fields.get("what"))
    if line.event in _OF_PROCESS:
        return "process", ""
    return "values", str(line.event)


def _list_beliefs(vm: _Vm, line: LogLine) -> list[Belief]:
    """Return the beliefs that bear on a line: the newest word on each subject."""
    wanted = [
        belief
        for (kind, subject), belief in vm.beliefs.items()
        if kind in ("values", "process")
        or (kind == "store" and belief.event == CONFIG_SERVICE_DOWN.number)
        or (kind == "peer" and belief.event == PEER_SILENT.number)
        or (kind == "peer" and subject == line.fields.get("peer"))
        or (kind == "upstream" and subject == line.fields.get("upstream"))
    ]
    return [
        Belief(each.message, _age_ms(each.at, line.at), each.fields) for each in wanted
    ]


def _age_ms(since: datetime, at: datetime) -> int:
    return round((at - since).total_seconds() * 1000)
