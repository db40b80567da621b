"""Put the daemon together from its parts and run them."""

import signal

import anyio

from banyanseam.config.compiled import Config, Seat
from banyanseam.config.errors import NotReady
from banyanseam.daemon.reader import read_configuration
from banyanseam.observe.events import CONFIG_ADOPTED, DAEMON_READY, DAEMON_STOPPED, log
from banyanseam.peers.messages import PeerIdentity
from banyanseam.peers.network import PeerNetwork
from banyanseam.pipe.attempt import attempt
from banyanseam.pipe.forward import Forwarder
from banyanseam.pipe.models import Exchange
from banyanseam.pipe.pipeline import make_pipelines
from banyanseam.pipe.serve_forwarded import ForwardServer
from banyanseam.server.callers import make_callers_app
from banyanseam.server.operators import make_operators_app
from banyanseam.server.reply import AsgiSend, send_body
from banyanseam.server.serve import make_server
from banyanseam.settings import Settings
from banyanseam.upstreams.send import Sender


class Daemon:
    """All state of one process."""

    def __init__(self, settings: Settings, incarnation: int) -> None:
        """Build the parts; nothing listens yet."""
        self.settings = settings
        self.me = PeerIdentity(settings.seat, incarnation)
        self.config: Config | None = None
        self.stopping = anyio.Event()
        self.sender = Sender()
        self.network = PeerNetwork(
            self.me,
            settings.fleet_secret.get_secret_value().encode(),
            self._find_peer_address,
            self.stopping.set,
            settings.peers_tls,
        )

    def get_config(self) -> Config:
        """Return the configuration in force; raise NotReady."""
        if self.config is None:
            raise NotReady
        return self.config

    def adopt(self, config: Config) -> None:
        """Put a newer configuration in force."""
        self.config = config
        log(CONFIG_ADOPTED, version=config.version)

    def _find_peer_address(self, seat: str) -> str | None:
        override = self.settings.peer_address_overrides.get(seat)
        if override is not None:
            return override
        found = self.config.seats.get(seat) if self.config else None
        return found.peers_address if found else None

    def _find_seats(self, region: str) -> list[Seat]:
        return self.get_config().seats_of(region)

    async def run(self) -> None:
        """Serve until told to stop."""
        async with anyio.create_task_group() as tasks:
            forwarder = Forwarder(self.network)
            self.network.watch_lost_links(forwarder.lose_seat)
            last = attempt(
                self.settings.region,
                self.get_config,
                self.sender,
                forwarder,
                self._find_seats,
            )
            pipelines = make_pipelines(self.get_config, lambda _, __: None, last)
            server = ForwardServer(
                self.network,
                tasks,
                self.settings.region,
                lambda: self.config,
                pipelines.from_peers,
            )
            self.network.watch_lost_links(server.lose_peer)
            callers = make_server(
                make_callers_app(
                    lambda: self.config is not None,
                    {"/v1/entries": self._answer_entries},
                    pipelines.from_callers,
                ),
                self.settings.callers_address,
            )
            operators = make_server(
                make_operators_app({("GET", "/health/ready"): self._answer_ready}),
                self.settings.operators_address,
            )
            peers_listening = anyio.Event()
            tasks.start_soon(
                self.network.run, self.settings.peers_address, peers_listening
            )
            tasks.start_soon(callers.serve)
            tasks.start_soon(operators.serve)
            tasks.start_soon(read_configuration, self.settings, self.adopt)
            tasks.start_soon(self._watch_signals)
            await peers_listening.wait()
            await callers.listening.wait()
            await operators.listening.wait()
            log(DAEMON_READY, incarnation=self.me.incarnation)
            await self.stopping.wait()
            callers.should_exit = operators.should_exit = True
            tasks.cancel_scope.cancel()
        log(DAEMON_STOPPED)

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                self.stopping.set()

    async def _answer_ready(self, body: bytes) -> dict[str, int]:
        return {"version": self.get_config().version}

    async def _answer_entries(self, exchange: Exchange, send: AsgiSend) -> None:
        import json

        seats = self.get_config().seats.values()
        entries = [{"seat": s.name, "address": s.callers_address} for s in seats]
        body = json.dumps({"entries": entries, "validity_ms": 5000}).encode()
        await send_body(send, 200, body, [(b"content-type", b"application/json")])
