"""Hands a home's keys to a standby at a planned stop, and takes them back at start."""

from collections.abc import Callable

import anyio

from banyanseam.errors import BanyanseamError
from banyanseam.idempotency.const import (
    HAND_OVER_LIMIT_S,
    HAND_OVER_PAUSE_S,
    HAND_OVER_TIMEOUT_S,
    STANDBY_TERM_S,
    TAKE_OVER_PAUSE_S,
    TAKE_OVER_WAIT_S,
)
from banyanseam.idempotency.handover_messages import (
    FetchKeys,
    KeysFetched,
    KeysOffered,
    OfferKeys,
)
from banyanseam.idempotency.homes import Homes
from banyanseam.idempotency.messages import (
    AnswerBody,
    ClaimKey,
    ClaimTicket,
    FinishKey,
    KeyClaimed,
    KeyFinished,
    KeyPreview,
    KeyReleased,
    PreviewKey,
    ReleaseKey,
)
from banyanseam.idempotency.models import Claim, RunOutcome, Scope, Verdict
from banyanseam.idempotency.standbys import list_standbys
from banyanseam.idempotency.tickets import Ticket
from banyanseam.idempotency.transfer import Assembly, KeysSnapshot, make_page
from banyanseam.observe.events import (
    KEYS_HANDED_OVER,
    KEYS_NOT_HANDED_OVER,
    KEYS_RESTORED,
    STANDBYS_SILENT,
    log,
)
from banyanseam.peers.contract import Network
from banyanseam.peers.errors import PeerCallLost
from banyanseam.peers.messages import PeerIdentity


def serve_homes(homes: Homes, network: Network) -> None:
    """Register handlers for all idempotency messages of peers."""

    async def claim(peer: PeerIdentity, message: ClaimKey) -> KeyClaimed:
        home = homes.find(message.home)
        return _pack_verdict(
            await home.claim(_unpack_claim(peer, message), message.route)
        )

    async def claim_ticket(peer: PeerIdentity, message: ClaimTicket) -> KeyClaimed:
        home = homes.find(message.home)
        ticket = Ticket(
            message.home,
            message.incarnation,
            message.organisation,
            message.key.encode(),
            message.expires_ms,
        )
        return _pack_verdict(
            await home.claim_ticket(_unpack_claim(peer, message), ticket)
        )

    async def preview(peer: PeerIdentity, message: PreviewKey) -> KeyPreview:
        scope = Scope(message.organisation, message.key)
        home = homes.find(message.home)
        return home.preview(scope, message.route, message.fingerprint)

    async def finish(peer: PeerIdentity, message: FinishKey) -> KeyFinished:
        outcome = RunOutcome(
            message.is_known, message.answer.unpack() if message.answer else None
        )
        home = homes.find(message.home)
        return KeyFinished(noted=home.finish(message.scope, message.claim_id, outcome))

    async def release(peer: PeerIdentity, message: ReleaseKey) -> KeyReleased:
        home = homes.find(message.home)
        return KeyReleased(alone=home.release(message.scope, message.claim_id))

    async def handle_offer(peer: PeerIdentity, message: OfferKeys) -> KeysOffered:
        is_accepted = homes.add_page(message.content)
        return KeysOffered(state="taken" if is_accepted else "refused")

    async def return_keys(peer: PeerIdentity, message: FetchKeys) -> KeysFetched:
        return KeysFetched(content=homes.return_page(peer, message.page))

    network.handle_call(ClaimKey, claim)
    network.handle_call(ClaimTicket, claim_ticket)
    network.handle_call(PreviewKey, preview)
    network.handle_call(FinishKey, finish)
    network.handle_call(ReleaseKey, release)
    network.handle_call(OfferKeys, handle_offer)
    network.handle_call(FetchKeys, return_keys)


def _unpack_claim(peer: PeerIdentity, message: ClaimKey) -> Claim:
    return Claim(
        message.scope,
        message.fingerprint,
        message.claim_id,
        peer.seat,
        peer.incarnation,
        message.run_ms / 1000,
        message.age_ms / 1000,
    )


def _pack_verdict(verdict: Verdict) -> KeyClaimed:
    if verdict.granted:
        return KeyClaimed(state="granted")
    if verdict.answer is None:
        return KeyClaimed(state="running")
    return KeyClaimed(state="done", answer=AnswerBody.pack(verdict.answer))


async def hand_over(homes: Homes, network: Network, me: PeerIdentity) -> None:
    """Close all homes here and hand each to a standby, within a time limit."""
    mapping = homes.own.mapping
    snapshots = homes.close(me.incarnation)
    async with anyio.create_task_group() as tasks:
        for snapshot in snapshots:
            standbys = list_standbys(mapping, snapshot.home)
            candidates = [seat for seat in standbys if seat != me.seat]
            tasks.start_soon(_hand_to_standby, snapshot, candidates, network)


async def _hand_to_standby(
    snapshot: KeysSnapshot, standbys: list[str], network: Network
) -> None:
    with anyio.move_on_after(HAND_OVER_LIMIT_S):
        for standby in standbys:
            if await _offer(snapshot, standby, network):
                log(
                    KEYS_HANDED_OVER,
                    home=snapshot.home,
                    standby=standby,
                    keys=len(snapshot.records),
                )
                return
    if standbys:
        log(KEYS_NOT_HANDED_OVER, home=snapshot.home, keys=len(snapshot.records))


async def _offer(snapshot: KeysSnapshot, standby: str, network: Network) -> bool:
    """Send all pages; return False only if the standby certainly does not act.

    If a page was sent and no reply came, no other standby may be asked: the standby
    may have acted for the home and returned the keys to a successor.
    """
    parts = snapshot.split()
    may_act = False
    for page_number in range(len(parts)):
        while True:
            page = make_page(snapshot, parts, page_number, anyio.current_time())
            try:
                reply = await network.call(
                    standby, OfferKeys(content=page), KeysOffered, HAND_OVER_TIMEOUT_S
                )
            except PeerCallLost:
                may_act = True
            except BanyanseamError:
                if not may_act:
                    return False
            else:
                if reply.state == "refused":
                    return may_act
                break
            await anyio.sleep(HAND_OVER_PAUSE_S)
    return True


async def take_over(homes: Homes, network: Network) -> None:
    """Ask every standby for this seat's keys, then open; retry those without a reply.

    Until each has replied, or one has returned the keys of a home whose records were
    complete under the mapping in force, only keys made more than STANDBY_TERM_S after
    this call are accepted as new: until then, a silent standby may act for this seat.
    """
    own = homes.own
    start = homes.reset_count
    unanswered = set(list_standbys(own.mapping, own.seat))
    if unanswered:
        own.defer(STANDBY_TERM_S)

    async def ask(standby: str) -> None:
        snapshot = await _fetch_with_retries(standby, network)
        if homes.reset_count != start:
            # After a suspension, all standbys are asked again by a new call.
            return
        if snapshot is not None:
            own.restore(snapshot)
            log(KEYS_RESTORED, standby=standby, keys=len(snapshot.records))
        unanswered.discard(standby)
        if not unanswered:
            own.confirm()
            all_replied.set()

    all_replied = anyio.Event()
    with anyio.move_on_after(STANDBY_TERM_S):
        async with anyio.create_task_group() as tasks:
            for standby in sorted(unanswered):
                tasks.start_soon(ask, standby)
            if unanswered:
                with anyio.move_on_after(TAKE_OVER_WAIT_S):
                    await all_replied.wait()
            homes.is_open = True
            if unanswered:
                log(STANDBYS_SILENT, standbys=sorted(unanswered))


async def _fetch_with_retries(standby: str, network: Network) -> KeysSnapshot | None:
    while True:
        try:
            return await _fetch_records(standby, network)
        except BanyanseamError:
            await anyio.sleep(TAKE_OVER_PAUSE_S)


async def _fetch_records(standby: str, network: Network) -> KeysSnapshot | None:
    assembly = Assembly()
    snapshot = None
    while snapshot is None:
        reply = await network.call(
            standby, FetchKeys(page=assembly.pages), KeysFetched, HAND_OVER_TIMEOUT_S
        )
        if reply.content is None:
            return None
        snapshot = assembly.add(reply.content, anyio.current_time())
    return snapshot


def make_suspension_handler(
    homes: Homes, network: Network, start_soon: Callable[..., object]
) -> Callable[[object], None]:
    """Return a callback for suspensions: reset all homes and ask the standbys again."""

    def restart(_: object) -> None:
        homes.reset_after_suspension()
        start_soon(take_over, homes, network)

    return restart
