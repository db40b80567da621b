"""Constants of the entry daemon."""

from typing import Final

# Membership. A peer that is silent for PEER_TERM_S, or REMOTE_PEER_TERM_S in another
# region, is considered dead. The limit for listing dead VMs to callers is several times
# as long. Source: docs/design/platform.md.
GOSSIP_PERIOD_S: Final = 0.25
REGION_GOSSIP_PERIOD_S: Final = 1.0
# Number of processes that report a region to other regions; the second one is for when
# the first is unreachable.
REGION_REPORTERS: Final = 2
JOIN_PERIOD_S: Final = 0.3
PEER_TERM_S: Final = 1.6
# In a region that is too large for a full mesh, heartbeats arrive half as often.
LARGE_REGION_PEER_TERM_S: Final = 3.0
REMOTE_PEER_TERM_S: Final = 4.0
# How long a dead VM still counts when limits are divided among the fleet.
FLEET_TERM_S: Final = 20.0
# In a region with more peers, heartbeats go to the row and the column of a process in
# the region's grid by turns.
MAX_MESH_PEERS: Final = 8
# In a large region, each process sends all rows to a random one of its data centre, or
# of another one, once in this many heartbeats, and across once in this many repairs.
# For a while after a process of the region fell silent, it does so with each heartbeat.
REPAIR_HEARTBEATS: Final = 4
FREQUENT_REPAIR_S: Final = 4.0
REPAIR_ROW_AGE_S: Final = 1.0
REPAIRS_PER_REPAIR_ACROSS: Final = 4
# Number of other processes of a small region whose rows a heartbeat relays, for peers
# that do not receive them directly.
MAX_RELAYED_PEERS: Final = 2
# How long a view of the live processes is reused, unless one joins or changes.
ALIVE_VIEW_S: Final = 0.1
# A process's row in heartbeats has all fields for this long after a change, and once in
# this many heartbeats; otherwise it is short.
FULL_ROW_S: Final = 2.5
FULL_ROW_HEARTBEATS: Final = 8
# How long a changed total of charges is reported: to other regions in two heartbeats,
# and in the own region in one or two.
RECENT_SPENDING_S: Final = 1.6
REGION_RECENT_SPENDING_S: Final = 0.8
# Rows of one heartbeat; a region of the size to design for has 114 processes.
MAX_ROWS: Final = 256
MAX_DATAGRAM_BYTES: Final = 60_000
# Interval at which an unchanged list of upstreams is sent in full.
FULL_LIST_PERIOD_S: Final = 10.0

# Published values. The process ranked first in its region reads the list of upstreams
# once per LIST_PERIOD_S. If the list is older than that by LIST_PATIENCE_S, the others
# read it too, each rank LIST_RANK_STEP_S later than the one before.
LIST_PERIOD_S: Final = 0.7
LIST_PATIENCE_S: Final = 0.7
LIST_RANK_STEP_S: Final = 0.35
# All processes from this rank on read the list at the same age, which is less than
# OUTAGE_S. Otherwise those that the store turns away would delay the others for long.
MAX_LIST_RANK: Final = 3
LIST_CHECK_S: Final = 0.1
# A process that has read the list within this time also watches for changes of it.
LIST_READER_S: Final = 2.5
# How long the store's replicas are not queried after they were found to lag: to lack a
# revision that the store had this long ago.
STALE_REPLICA_S: Final = 5.0
MAX_REPLICA_LAG_S: Final = 1.0
# How long the store holds a watch. Each call has a price, so watches of a larger fleet
# wait longer, and the fleet renews at most WATCH_RENEWALS_PER_S of them a second. A
# process whose watch hangs gets changes from its peers: the first REGION_WATCHERS of
# each region always wait for WATCH_WAIT_S only. With STORE_TIMEOUT_S and STORE_RETRY_S
# that is less than the shortest time after a disruption at which the published bounds
# hold again, 5 s.
WATCH_WAIT_S: Final = 3.0
REGION_WATCHERS: Final = 2
MAX_WATCH_WAIT_S: Final = 20.0
WATCH_RENEWALS_PER_S: Final = 12.0
STORE_TIMEOUT_S: Final = 1.2
STORE_RETRY_S: Final = 0.4
STORE_RETRY_LIMIT_S: Final = 1.5
# How long upstreams whose store entries expired during an outage of the store are kept
# after it: they register again within two seconds. Source: the operators' letter.
EXPIRED_ENTRY_GRACE_S: Final = 2.6
# How long after a return of the store from a copy evacuations are held as they were
# known: the operators write them again. That is less than the shortest time after a
# disruption at which the published bounds hold again, 5 s.
EVACUATIONS_REWRITTEN_S: Final = 4.0
# After a return, how long it takes until the entry of an upstream that is gone has
# expired again: three missed heartbeats, and the readers' delay.
COPIED_ENTRY_S: Final = 6.0
# How long is remembered what a copy, which is some seconds old, may show again.
RETURN_MEMORY_S: Final = 60.0
# In a shorter outage of the store no upstream's entry expires: that takes three missed
# heartbeats, which are 1.2 s apart. Source: the published heartbeat.
OUTAGE_S: Final = 3.0
# A process that has not run for longer was suspended.
SUSPENDED_S: Final = 1.0
# How long it then sends nothing to upstreams that may be cold until its list has been
# confirmed, and how many peers it asks for theirs.
RESUMED_PATIENCE_S: Final = 0.4
RESUMED_ASKED_PEERS: Final = 3

# How long a forwarded request waits for the configuration of the VM that sent it, also
# as a share of its remaining time: another VM can then still serve it.
CATCH_UP_S: Final = 0.6
CATCH_UP_SHARE: Final = 0.25

# Directory.
LIST_VALIDITY_S: Final = 2
# The same if it names only VMs that are leaving.
LEAVING_LIST_VALIDITY_S: Final = 1

# Upstreams.
CONNECT_TIMEOUT_S: Final = 0.5
# This many processes of a region share the request rate of a cold upstream, which is
# reduced by the margin. Without a published rate, each of them sends one request per
# pause to a suspect upstream.
COLD_SENDERS: Final = 2
COLD_MARGIN: Final = 1.1
SUSPECT_PAUSE_S: Final = 0.5
# How long an upstream counts as cold after its data centre returned to use, unless a
# newer registration says otherwise.
RETURN_COLD_S: Final = 3.0
FAILURES_TO_SUSPECT: Final = 3
# How long an upstream that said in an answer that it is leaving gets no new requests.
# Incarnations without a start time can't be told apart, so this must end.
LEAVING_MEMORY_S: Final = 600.0
# How long the usage of an upstream is kept after it was deregistered.
FORMER_USAGE_S: Final = 60.0
# The longest pause that an upstream may ask for.
MAX_PAUSE_S: Final = 3600.0
# Recent requests to an upstream that are logged when it is found to have started again.
RECENT_SENDS_S: Final = 1.0
MAX_RECENT_SENDS: Final = 32
# How long heartbeats report that an incarnation of an upstream has been replaced.
REPLACED_REPORT_S: Final = 2.0
SUSPECT_S: Final = 1.5
# How long a restart goes unnoticed at most while the list is up to date: a heartbeat of
# the upstream and the readers' delay.
UNNOTICED_RESTART_S: Final = 2.0
# Checks of the start of an upstream that can't be reached. The processes that may send
# to it while it is cold repeat them; the others if those report nothing for a while.
START_CHECK_TIMEOUT_S: Final = 0.5
START_CHECK_PERIOD_S: Final = 0.2
START_REPORT_PATIENCE_S: Final = 1.0
# An upstream that may be warm again is checked this long before, as it may have started
# once more while few requests went to it.
START_CHECK_LEAD_S: Final = 0.1
# How long heartbeats report what a check has found.
START_REPORT_S: Final = 2.0
MAX_REPORTED_STARTS: Final = 64
# All processes that had requests running at an upstream notice its crash at once. Their
# reports are spread over this for each process of the region, and most are not needed.
START_ANNOUNCE_SPREAD_S: Final = 0.0005

# Cost of prefilling a shared prefix again, on top of the time that it takes, expressed
# as waiting time. Source: the operators' prices, a third of the value of a summary.
REPEATED_PREFILL_MS_PER_TOKEN: Final = 0.035
# Cost of an engine that neither has the prefix cached nor is preferred for it.
NON_PREFERRED_ENGINE_MS: Final = 60.0
# Share of an engine's memory that is assumed to be available for shared prefixes.
PREFIX_CACHE_MEMORY_SHARE: Final = 0.6
# Several processes choose by the same load reports, which are up to 0.25 s old. The
# jitter makes them choose differently; it is about the wait that their own requests add
# within that time.
COST_JITTER_MS: Final = 30.0
# Output tokens above this do not count for placement: few answers are longer.
MAX_COUNTED_OUTPUT_TOKENS: Final = 120
# Assumed prefill time of a forwarded request that no load report includes yet.
FORWARDED_PREFILL_MS: Final = 12.0
# A prompt with a longer prefill time is held back while its engine prefills others, so
# that short prompts never wait behind several long ones.
LONG_PREFILL_MS: Final = 120.0
# Largest prefill backlog of an engine at which the next long prompt is sent, and by how
# much this limit grows for each millisecond that the prompt has waited.
LONG_PREFILL_BACKLOG_MS: Final = 80.0
LONG_PREFILL_BACKLOG_GROWTH: Final = 0.4
QUEUE_PERIOD_S: Final = 0.03
# How long a request waits until an upstream is registered or has enough memory, as a
# share of its remaining time.
NO_CAPACITY_WAIT_SHARE: Final = 0.15
# The same for a stream that may go on at a part of the upstreams only.
VERSION_CAPACITY_WAIT_SHARE: Final = 0.4
# How long requests to a newly started process wait for its configuration.
START_WAIT_S: Final = 1.0
# Shorter prefixes do not affect placement: prefilling them again costs less than
# choosing an engine by them.
MIN_SHARED_TOKENS: Final = 512
# Round trip to another region. Source: the operators' sheets, 55 ms one way.
ROUND_TRIP_MS: Final = 112.0
# Cost of a KiB sent to another region, expressed as waiting time.
TRANSFER_MS_PER_KIB: Final = 4.0
# Share of the caller's remaining time that the wait for the first byte may take.
MAX_WAIT_SHARE: Final = 0.8
# Share of a route's time limit that the rest of a stream after its first event is
# assumed to take at most.
MAX_REST_SHARE: Final = 0.5
# A short request whose estimated wait exceeds this share of its target latency is
# refused instead of queued: under overload, a longer queue serves no more requests and
# makes all of them late.
ADMIT_TARGET_SHARE: Final = 1.0
# An estimated wait up to this share of the caller's remaining time is accepted even if
# it exceeds the permitted share of the target latency.
ADMIT_LEFT_SHARE: Final = 0.25
# Long prompts may wait longer, since more is lost when they are refused.
ADMIT_LONG_TARGET_SHARE: Final = 2.5
# Share of an engine's memory, and of an upstream's connections, that requests may use.
MEMORY_SHARE: Final = 0.92

# How long a process of another region is skipped after a failed connection, and how
# many such processes make the whole region count as unreachable.
PEER_SUSPECT_S: Final = 1.0
UNREACHABLE_REGION_PEERS: Final = 2

# Retries. The share is the part of the published retry budget that is used.
RETRY_BUDGET_SHARE: Final = 0.7
# How long an idempotent request that may still be sent elsewhere waits for a first
# byte, as a share of its remaining time.
FIRST_BYTE_WAIT_SHARE: Final = 0.45
# A request without a first byte after this share of its target latency moves to an
# upstream that would start it much sooner.
MOVE_TARGET_SHARE: Final = 0.45
MOVE_PERIOD_S: Final = 0.1
# A stream that has sent no data for this many of its route's longest pauses moves to an
# upstream that would continue it within one of them.
SILENT_PAUSES_TO_MOVE: Final = 2
# How long the other upstream may take to bring the next event. Both may work on the
# request until then: the operators allow 400 ms.
MAX_TOGETHER_S: Final = 0.35
MIN_RETRY_LEFT_MS: Final = 50.0

# Refusals.
MIN_RETRY_AFTER_MS: Final = 150
MAX_RETRY_AFTER_MS: Final = 2500
# After a failure of one upstream or peer, others may serve the next request.
FAILURE_RETRY_AFTER_MS: Final = 300.0
# After a refusal because no VM reaches an upstream: that lasts for seconds.
UNREACHED_RETRY_MS: Final = 1000.0
# After a refusal by the last VM of a region that is leaving: another one is starting.
LEAVING_RETRY_MS: Final = 1000

# Buffering. An answer's head, with the interim answers before it, is at most this long:
# the operators' limit for heads of requests.
MAX_HEAD_BYTES: Final = 16 * 1024
MAX_BUFFERED_ANSWER_BYTES: Final = 256 * 1024
# Parts of the VM's memory for the bodies of requests and for buffered answers.
BODY_MEMORY_SHARE: Final = 0.3
ANSWER_MEMORY_SHARE: Final = 0.2

# Requests that crash upstreams.
CRASHES_TO_REFUSE: Final = 2
CRASH_MEMORY_S: Final = 60.0
# A request that was answered in full within SOUND_MEMORY_S probably ran beside crashes
# of another cause.
CRASHES_TO_REFUSE_ANSWERED: Final = 4
# Pauses before the first trial of a refused request, before the second and so on; after
# the last it is refused for good, unless it was ever answered in full.
TRIAL_PAUSES_S: Final = (2.0, 5.0, 60.0)
# The operators allow three runs after the third crash. Two VMs may make a trial at the
# same time, so one trial fewer is made if it took no trial to reach the third crash.
CRASHES_BEFORE_LIMIT: Final = 3
# Trials become due one region after the other, and within a region spread over this.
TRIAL_REGION_STEP_S: Final = 2.0
TRIAL_SPREAD_S: Final = 1.0
# Where a fleet that has just started infers earlier crashes, one crash is enough, and
# the only trial is as late as the last one otherwise.
CRASHES_TO_REFUSE_AFTER_LOSS: Final = 1
TRIAL_PAUSES_AFTER_LOSS_S: Final = TRIAL_PAUSES_S[-1:]
SEGMENT_CRASHES_TO_REFUSE_AFTER_LOSS: Final = 2
MAX_SOUND_REQUESTS: Final = 4096
# Suspected and sound requests that one heartbeat reports; others follow in the next.
MAX_REPORTED_SUSPECTS: Final = 16
# The full state of the largest fleet must still fit into one datagram.
MAX_SUSPECTS_IN_FULL_STATE: Final = 128
# A prompt segment is refused after this many crashes of engines that were about to
# answer with it, for as long as requests with it come and a while after the last one.
# Source of the limit of five: the operators' rules.
SEGMENT_CRASHES_TO_REFUSE: Final = 3
REFUSAL_MEMORY_S: Final = 600.0
# How long a whole answer proves that the segments of its prompt are sound, and makes it
# likely that the request is.
SOUND_MEMORY_S: Final = 60.0
MAX_SOUND_SEGMENTS: Final = 4096
# Suspected and sound segments that a heartbeat reports, and crashes of each of them.
MAX_REPORTED_SEGMENTS: Final = 32
MAX_REPORTED_CRASHES: Final = 8
# An engine that broke off after more events of an answer did not crash because of it.
MAX_EVENTS_BEFORE_CRASH: Final = 1
# An upstream that disappears within this time of a run that it did not finish crashed
# under it: three missed heartbeats of 1.2 s and the readers' delay, with as much again.
UNFINISHED_MEMORY_S: Final = 10.0
MAX_UNFINISHED_RUNS: Final = 64
# How long heartbeats report a crash.
CRASH_REPORT_S: Final = 5.0
MAX_CRASH_RECORDS: Final = 1000
# Crashes that are remembered of one request, the latest.
MAX_CRASHES_OF_REQUEST: Final = 16

# The shortest time for which an idle connection of the callers' port is kept: callers
# may go by a published limit that this VM doesn't know yet, or no longer.
MIN_KEEP_ALIVE_S: Final = 60.0

# Metrics are served on this port too, since the platform's own ports differ between
# deployments. deploy/system.toml names it.
METRICS_PORT: Final = 9464

# Life cycle.
SETTINGS_PERIOD_S: Final = 2.0
# How long a leaving process still accepts requests. After that callers have a newer
# list of VMs; the few that still use an older list are refused at once.
LEAVE_S: Final = LIST_VALIDITY_S + 0.3
# The same after another one has begun to serve a region that had no other. Some callers
# use a list three times as long as it is valid. Source: the platform's documentation.
LAST_LEAVE_S: Final = 3 * LEAVING_LIST_VALIDITY_S + 0.3
# The part of the grace period after which it accepts none in any case. Beyond LEAVE_S,
# it accepts only requests whose own deadline is before its end.
MAX_LEAVE_SHARE: Final = 0.625
LEAVE_CHECK_S: Final = 0.1
# Processes that began to leave within this time of each other, as far as others can
# tell, count as leaving at the same time.
SAME_LEAVE_S: Final = 1.0
# Part of the grace period that is reserved for the exit of the process itself, and its
# largest share: requests may run for five sixths. Source: the platform's documentation.
STOP_MARGIN_S: Final = 0.6
MAX_STOP_MARGIN_SHARE: Final = 1 / 8
