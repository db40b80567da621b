"""The home of keys: it grants each key's run once and remembers how it ended."""

import time
from collections.abc import Callable

import anyio

from banyanseam.idempotency.const import POLL_S, RETENTION_S, SWEEP_INTERVAL_S
from banyanseam.idempotency.errors import OutcomeUnknown, TicketExpired
from banyanseam.idempotency.knowledge import Knowledge
from banyanseam.idempotency.mapping import Mapping, find_home
from banyanseam.idempotency.memory import Memory
from banyanseam.idempotency.messages import (
    AnswerBody,
    ClaimKey,
    FinishKey,
    KeyClaimed,
    KeyFinished,
    KeyReleased,
    KeySeen,
    LookAtKey,
    ReleaseKey,
)
from banyanseam.idempotency.models import Claim, End, Scope, State, Verdict
from banyanseam.idempotency.tickets import Ticket
from banyanseam.peers.contract import Network
from banyanseam.peers.messages import PeerIdentity


class Home:
    """Answers claims of this process and of its peers from one memory."""

    def __init__(
        self,
        seat: str,
        memory: Memory | None = None,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Begin with no knowledge; `adopt` puts the first mapping in force."""
        self.memory = memory or Memory()
        self._knowledge = Knowledge(seat)
        self._wall_clock = wall_clock
        self._changed: dict[Scope, anyio.Event] = {}

    def serve(self, network: Network) -> None:
        """Answer the claims and reports of peers."""
        network.handle_call(ClaimKey, self._on_claim)
        network.handle_call(FinishKey, self._on_finish)
        network.handle_call(ReleaseKey, self._on_release)
        network.handle_call(LookAtKey, self._on_look)

    def adopt(self, mapping: Mapping) -> None:
        """Put a mapping in force."""
        self._knowledge.adopt(mapping, anyio.current_time(), self._wall_clock())

    def begin_anew(self) -> None:
        """Take no key from before now as new; call it after a freeze."""
        self._knowledge.begin_anew(anyio.current_time(), self._wall_clock())

    def find_home(self, scope: Scope, route: str) -> str:
        """Return the home seat of a key under the mapping in force."""
        return find_home(self._knowledge.mapping, scope, route)

    async def run(self) -> None:
        """Forget what has passed its retention, for ever."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            self.memory.sweep(anyio.current_time(), self._wall_clock())
            for scope in list(self._changed):
                if self.memory.find(scope) is None:
                    self._wake(scope)

    def lose_process(self, seat: str, incarnation: int) -> None:
        """Stop waiting for runs of a process that is known to be gone."""
        for scope in self.memory.abandon(seat, incarnation, anyio.current_time()):
            self._wake(scope)

    async def claim(self, claim: Claim, route: str) -> Verdict:
        """Grant a key, or say what became of it, waiting POLL_S for a running one."""
        return await self._wait(claim, lambda: self._claim_once(claim, route))

    async def claim_ticket(self, claim: Claim, ticket: Ticket) -> Verdict:
        """Grant a ticket that this process issued, as `claim` grants a key."""
        return await self._wait(claim, lambda: self._claim_ticket_once(claim, ticket))

    def finish(self, scope: Scope, claim_id: bytes, end: End) -> bool:
        """Note how a run ended; say whether the key is still remembered."""
        noted = self.memory.finish(scope, claim_id, end, anyio.current_time())
        self._wake(scope)
        return noted

    def release(self, scope: Scope, claim_id: bytes) -> bool:
        """Free a key that did not run; say whether nobody else asked for it."""
        alone = self.memory.release(scope, claim_id, anyio.current_time())
        self._wake(scope)
        return alone

    def look(self, scope: Scope, route: str, fingerprint: str | None) -> KeySeen:
        """Return what a claim would find; nothing is claimed.

        Raise what a claim would be refused with.
        """
        now_s = anyio.current_time()
        state = self.memory.look(scope, fingerprint, now_s)
        if state is not None:
            return KeySeen(state=state.value)
        wall_s = self._wall_clock()
        stamp_s = self._knowledge.check(scope, route, now_s, wall_s)
        self.memory.check_stamp(stamp_s, wall_s)
        return KeySeen(state="new")

    async def _wait(self, claim: Claim, ask: Callable[[], Verdict]) -> Verdict:
        until_s = anyio.current_time() + POLL_S
        while True:
            verdict = ask()
            if verdict.granted or verdict.state is State.DONE:
                return verdict
            changed = self._changed.setdefault(claim.scope, anyio.Event())
            with anyio.CancelScope(deadline=until_s):
                await changed.wait()
            if anyio.current_time() >= until_s:
                return verdict

    def _claim_once(self, claim: Claim, route: str) -> Verdict:
        now_s = anyio.current_time()
        if self.memory.find(claim.scope) is not None:
            return self.memory.claim(claim, now_s)
        wall_s = self._wall_clock()
        self.memory.raise_floor(wall_s)
        stamp_s = self._knowledge.check(claim.scope, route, now_s, wall_s)
        return self.memory.claim(claim, now_s, stamp_s=stamp_s)

    def _claim_ticket_once(self, claim: Claim, ticket: Ticket) -> Verdict:
        now_s = anyio.current_time()
        expires_s = ticket.expires_ms / 1000
        if now_s < expires_s or self.memory.find(claim.scope) is not None:
            return self.memory.claim(claim, now_s, keep_until_s=expires_s + RETENTION_S)
        if now_s < expires_s + RETENTION_S:
            # Had the ticket run, its record would still be here.
            raise TicketExpired
        raise OutcomeUnknown

    def _wake(self, scope: Scope) -> None:
        changed = self._changed.pop(scope, None)
        if changed is not None:
            changed.set()

    async def _on_claim(self, peer: PeerIdentity, message: ClaimKey) -> KeyClaimed:
        claim = Claim(
            message.scope,
            message.fingerprint,
            message.claim_id,
            peer.seat,
            peer.incarnation,
            message.run_ms / 1000,
            message.age_ms / 1000,
        )
        verdict = await self.claim(claim, message.route)
        if verdict.granted:
            return KeyClaimed(state="granted")
        if verdict.answer is None:
            return KeyClaimed(state="running")
        return KeyClaimed(state="done", answer=AnswerBody.pack(verdict.answer))

    async def _on_look(self, peer: PeerIdentity, message: LookAtKey) -> KeySeen:
        scope = Scope(message.organisation, message.key)
        return self.look(scope, message.route, message.fingerprint)

    async def _on_finish(self, peer: PeerIdentity, message: FinishKey) -> KeyFinished:
        answer = message.answer.unpack() if message.answer else None
        end = End(message.is_known, answer)
        noted = self.finish(message.scope, message.claim_id, end)
        return KeyFinished(noted=noted)

    async def _on_release(self, peer: PeerIdentity, message: ReleaseKey) -> KeyReleased:
        alone = self.release(message.scope, message.claim_id)
        return KeyReleased(alone=alone)
