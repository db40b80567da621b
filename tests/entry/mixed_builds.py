"""Simulates VMs of this build and of an earlier commit together, on a mocked clock.

The earlier build is the package of that commit itself, loaded a second time beside this
one's. Messages between VMs pass as bytes or headers.
"""

import importlib
import sys
import tempfile
from collections.abc import AsyncIterator, Callable, Iterable, Iterator, Mapping
from contextlib import ExitStack, asynccontextmanager, contextmanager
from dataclasses import dataclass
from functools import cache
from pathlib import Path
from types import ModuleType, SimpleNamespace
from typing import Any
from unittest import mock

import cbor2

from banyanseam.entry.errors import ConnectionBroken
from banyanseam.entry.messages import to_upstream_row
from banyanseam.server.callers import AnswerAborted
from banyanseam.upstreams.errors import UpstreamTimedOut, UpstreamUnreachable
from standins.builds import PACKAGE, extract_build
from tests.entry import simulation as simulation_module
from tests.entry.simulation import ACTING_VM, Simulation, start_simulation

# The modules whose sends to upstreams and peers are replaced, where a build has them.
_SENDERS = ("relay", "values_fetcher", "start_checks", "unreached.service_checks")


@dataclass(frozen=True, slots=True)
class Build:
    """The modules of a build's package by name."""

    commit: str
    modules: Mapping[str, ModuleType]

    def __getitem__(self, name: str) -> ModuleType:
        """Return a module of the entry daemon."""
        return self.modules[f"{PACKAGE}.entry.{name}"]

    def find(self, name: str) -> ModuleType | None:
        """Return a module of the entry daemon, None if the build has none."""
        return self.modules.get(f"{PACKAGE}.entry.{name}")


def _list_loaded() -> dict[str, ModuleType]:
    return {
        name: module
        for name, module in sys.modules.items()
        if name.partition(".")[0] == PACKAGE
    }


@cache
def load_build(commit: str) -> Build:
    """Load the package of a commit; raise LookupError if the history lacks it."""
    own = _list_loaded()
    with tempfile.TemporaryDirectory() as folder:
        root = extract_build(commit, Path(folder))
        for name in own:
            del sys.modules[name]
        sys.path.insert(0, str(root))
        try:
            importlib.import_module(f"{PACKAGE}.entry.main")
            loaded = _list_loaded()
        finally:
            sys.path.remove(str(root))
            for name in _list_loaded():
                del sys.modules[name]
            sys.modules.update(own)
    strangers = [
        name
        for name, module in loaded.items()
        if not Path(module.__file__ or "").is_relative_to(root)
    ]
    if strangers:
        raise ImportError(f"build {commit}: {strangers} came from elsewhere")
    return Build(commit, loaded)


def load_own_build() -> Build:
    """Return the build under test."""
    return Build("this build", _list_loaded())


class MixedBuilds:
    """Decides which build's code a VM runs, and translates between builds."""

    def __init__(self, older: Build, older_ips: Iterable[str]) -> None:
        """Let some VMs be of an older build, all others of this one."""
        self.own = load_own_build()
        self.older = older
        self.older_ips = set(older_ips)

    def find(self, ip: str) -> Build:
        """Return the build of a VM."""
        return self.older if ip in self.older_ips else self.own

    def make_entry(self, settings: Any, store: Any, reload_settings: Any) -> Any:
        """Return a daemon of the VM's build."""
        build = self.find(settings.ip)
        entry = build["main"].make_entry(settings, store, reload_settings)
        if build is self.own:
            return entry
        if not hasattr(entry, "service_checks"):
            entry.service_checks = SimpleNamespace()
        adopt = entry.values.adopt_upstreams
        entry.values.adopt_upstreams = lambda upstreams, *args, **kwargs: adopt(
            self.convert_upstreams(upstreams), *args, **kwargs
        )
        return entry

    def convert_upstreams(self, upstreams: Iterable[Any]) -> list[Any]:
        """Return upstreams as the older build's; it has made some of them itself."""
        found = list(upstreams)
        if all(type(each) is self.older["models"].Upstream for each in found):
            return found
        rows = [to_upstream_row(each) for each in found]
        names = [each.software for each in found]
        row = (names, list(range(len(names))))
        return self.older["messages"].from_upstream_rows(rows, row)

    def make_app(self, kind: str, frontend: Any) -> Any:
        """Return the application of a port of the VM that a frontend belongs to."""
        own = self.own["frontend"]
        if type(frontend) is own.Frontend:
            return getattr(own, kind)(frontend)
        app = getattr(self.older["frontend"], kind)(frontend)
        aborted = self.older.modules[f"{PACKAGE}.server.callers"].AnswerAborted

        async def translated(scope: Any, receive: Any, send: Any) -> None:
            try:
                await app(scope, receive, send)
            except aborted as error:
                raise AnswerAborted(*error.args) from error

        return translated

    def encode_gossip(self, gossip: Any) -> bytes:
        """Return the datagram of a heartbeat, by the build that composed it."""
        is_own = type(gossip) is self.own["messages"].Gossip
        build = self.own if is_own else self.older
        return build["messages"].encode_gossip(gossip)

    def decode_gossip(self, data: bytes) -> Any:
        """Return the heartbeat of a datagram as the receiving VM's build reads it."""
        return self.find(ACTING_VM.get())["messages"].decode_gossip(data)

    @contextmanager
    def translate_failures(self) -> Iterator[None]:
        """Raise failures of sends as the older build's."""
        kinds = {
            ConnectionBroken: self.older["errors"].ConnectionBroken,
            UpstreamTimedOut: self.older["sending"].UpstreamTimedOut,
            UpstreamUnreachable: self.older["sending"].UpstreamUnreachable,
        }
        try:
            yield
        except tuple(kinds) as error:
            raise kinds[type(error)](error.detail) from error.__cause__

    def make_send(self, simulation: Simulation) -> Callable[..., Any]:
        """Return what replaces `sending.send` of the older build."""
        answer_kind = self.older["sending"].IncomingAnswer
        slower = self.older["errors"].SlowerThanOthers

        async def translate_body(body: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
            with self.translate_failures():
                async for part in body:
                    yield part

        @asynccontextmanager
        async def send(
            outgoing: Any,
            before_write: Callable[[], None],
            wait_for_better: Callable[[], Any] | None = None,
            connections: Any = None,
        ) -> AsyncIterator[Any]:
            async def wait() -> Any:
                # The first older build's wait returns no reason.
                return await wait_for_better() or slower(outgoing.address)

            with self.translate_failures():
                async with simulation.send(
                    outgoing,
                    before_write,
                    None if wait_for_better is None else wait,
                    connections,
                ) as incoming:
                    body = translate_body(incoming.body)
                    yield answer_kind(incoming.status, incoming.headers, body)

        return send

    def make_log(self, simulation: Simulation) -> Callable[..., None]:
        """Return what replaces `log` of the older build's request applications."""
        failure = self.older.modules[f"{PACKAGE}.observe.events"].INTERNAL_FAILURE

        def log(event: Any, **fields: Any) -> None:
            if event is failure:
                simulation.internal_failures.append(fields["error"])

        return log


@asynccontextmanager
async def start_mixed_simulation(
    commit: str, older_ips: Iterable[str]
) -> AsyncIterator[tuple[Simulation, MixedBuilds]]:
    """Start the simulation with some VMs of an older commit."""
    builds = MixedBuilds(load_build(commit), older_ips)
    with ExitStack() as stack:
        for name, replacement in (
            ("make_entry", builds.make_entry),
            ("make_callers_app", lambda f: builds.make_app("make_callers_app", f)),
            ("make_peers_app", lambda f: builds.make_app("make_peers_app", f)),
            ("encode_gossip", builds.encode_gossip),
            ("decode_gossip", builds.decode_gossip),
        ):
            stack.enter_context(mock.patch.object(simulation_module, name, replacement))
        # The simulation starts its VMs before it can be handed out.
        start = Simulation.start

        def start_with_older_sends(simulation: Simulation) -> None:
            for name in _SENDERS:
                module = builds.older.find(name)
                if module is not None:
                    send = builds.make_send(simulation)
                    stack.enter_context(mock.patch.object(module, "send", send))
            log = builds.make_log(simulation)
            stack.enter_context(mock.patch.object(builds.older["frontend"], "log", log))
            start(simulation)

        stack.enter_context(
            mock.patch.object(Simulation, "start", start_with_older_sends)
        )
        async with start_simulation() as simulation:
            yield simulation, builds


def copy_values(builds: MixedBuilds, sender: Any, ip: str) -> Any:
    """Return a VM's values as the build of the VM at an address reads them."""
    body = cbor2.dumps(sender.values.to_message().model_dump())
    return builds.find(ip)["messages"].ValuesMessage.model_validate(cbor2.loads(body))
