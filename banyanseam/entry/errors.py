"""Errors of the entry daemon."""

from banyanseam.config.errors import ConfigServiceUnavailable
from banyanseam.errors import BanyanseamError
from banyanseam.upstreams.errors import UpstreamFailed, UpstreamTimedOut


class HistoryForgotten(ConfigServiceUnavailable):
    """The platform no longer has the requested changes; a full read is needed."""

    code = "config.history_forgotten"
    event = 1105
    title = "The platform has discarded its change history"


class RegionsFull(BanyanseamError):
    """No permitted upstream could start the request in time."""

    code = "entry.regions_full"
    event = 1920
    status = 503
    title = "No upstream can start this request in time"
    not_run = True


class NoUpstreamKnown(BanyanseamError):
    """No permitted upstream is registered and usable."""

    code = "entry.no_upstream"
    event = 1921
    status = 503
    title = "No upstream may serve this request now"
    not_run = True


class UpstreamReplaced(BanyanseamError):
    """Another incarnation uses the address, or the upstream no longer exists."""

    code = "entry.upstream_replaced"
    event = 1922
    status = 503
    title = "The upstream was replaced"
    not_run = True


class CrashSuspected(BanyanseamError):
    """The request was running on too many upstreams when they crashed."""

    code = "entry.crash_suspected"
    event = 1923
    status = 503
    title = "This request was running on upstreams when they crashed"
    not_run = True


class AnswerUnproven(BanyanseamError):
    """The answer lacks the proof that it is complete and comes from the upstream."""

    code = "entry.answer_unproven"
    event = 1924
    status = 502
    title = "The upstream's answer cannot be trusted"


class PeerUntrusted(BanyanseamError):
    """A forwarded request came from an address that belongs to no known peer."""

    code = "entry.peer_untrusted"
    event = 1925
    status = 503
    title = "The sender is not a known VM of this fleet"
    not_run = True


class EntryLeaving(BanyanseamError):
    """The process is stopping and accepts no request, or none that might outlast it."""

    code = "entry.leaving"
    event = 1926
    status = 503
    title = "This VM is leaving; use another one"
    not_run = True


class SlowerThanOthers(UpstreamTimedOut):
    """The upstream is slow or has stalled, and another would answer sooner."""

    code = "entry.slower_than_others"
    event = 1927
    title = "Another upstream would start sooner"


class ConnectionBroken(UpstreamFailed):
    """The connection ended while the request may have been running."""

    code = "entry.connection_broken"
    event = 1928
    title = "The upstream's connection broke"


class UpstreamsUnreached(BanyanseamError):
    """Upstreams are registered, and this VM and those it may use reach none of them."""

    code = "entry.upstreams_unreached"
    event = 1931
    status = 503
    title = "No upstream of this service can be reached now"
    not_run = True


class StreamOriginUnknown(BanyanseamError):
    """No process knows which software version began the stream that is to go on."""

    code = "entry.stream_origin_unknown"
    event = 1929
    status = 503
    title = "The software version that began this stream is not known"
    not_run = True


class StreamVersionGone(BanyanseamError):
    """No upstream of the version, or service, that began the stream may serve it."""

    code = "entry.stream_version_gone"
    event = 1930
    status = 503
    title = "The software version that began this stream no longer serves"
    not_run = True
