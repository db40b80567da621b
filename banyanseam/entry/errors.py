"""Refusals and failures of the entry daemon."""

from banyanseam.config.errors import ConfigServiceUnavailable
from banyanseam.errors import BanyanseamError
from banyanseam.upstreams.errors import UpstreamFailed, UpstreamTimedOut


class HistoryForgotten(ConfigServiceUnavailable):
    """The platform no longer knows what changed since; all must be read anew."""

    code = "config.history_forgotten"
    event = 1105
    title = "The platform has dropped its history of changes"


class RegionsFull(BanyanseamError):
    """No upstream that may serve the request could begin it in time."""

    code = "entry.regions_full"
    event = 1920
    status = 503
    title = "No upstream can begin this request in time"
    not_run = True


class NoUpstreamKnown(BanyanseamError):
    """No upstream that may serve the request is known and usable."""

    code = "entry.no_upstream"
    event = 1921
    status = 503
    title = "No upstream may serve this request now"
    not_run = True


class UpstreamReplaced(BanyanseamError):
    """Another incarnation answers at the address, or none that runs the request."""

    code = "entry.upstream_replaced"
    event = 1922
    status = 503
    title = "The upstream was replaced"
    not_run = True


class CrashSuspected(BanyanseamError):
    """The request was running at too many upstreams that crashed."""

    code = "entry.crash_suspected"
    event = 1923
    status = 503
    title = "This request has crashed the upstreams that ran it"
    not_run = True


class AnswerUnproven(BanyanseamError):
    """The answer does not prove that it is the upstream's own whole answer."""

    code = "entry.answer_unproven"
    event = 1924
    status = 502
    title = "The upstream's answer cannot be trusted"


class PeerUntrusted(BanyanseamError):
    """A request for another region came from an address that is no peer's."""

    code = "entry.peer_untrusted"
    event = 1925
    status = 503
    title = "The sender is not known as a VM of this fleet"
    not_run = True


class EntryLeaving(BanyanseamError):
    """This process is about to end, and the request came after its last callers."""

    code = "entry.leaving"
    event = 1926
    status = 503
    title = "This VM is leaving; use another one"
    not_run = True


class SlowerThanOthers(UpstreamTimedOut):
    """The upstream has not begun in time, and another one would begin at once."""

    code = "entry.slower_than_others"
    event = 1927
    title = "Another upstream would begin sooner"


class ConnectionBroken(UpstreamFailed):
    """The connection ended while the request may have been running."""

    code = "entry.connection_broken"
    event = 1928
    title = "The upstream's connection broke"
