"""Every tuned value of the policy, with its unit and reason."""

MS = 1_000  # microseconds
SEC = 1_000 * MS

# The draw (design page; the paper's BIND-8 and BIND-9).
ALPHA = 0.7  # weight of the old srtt
LOST_PENALTY = 1.2  # a lost answer raises srtt by a fifth
FIRST_SRTT_US = (1 * MS, 10 * MS)  # small and random, so that unheard members are tried early
SRTT_CAP_US = 60 * SEC  # keeps repeated penalties finite
BOUNDED_LOAD = 1.25  # of the usual work in hand, plus one; beyond it a member sits out the draw
GUARD_SLACK_US = 100 * MS  # how far behind a member that checks reads itself may be tried
REPORT_US = 500 * MS  # a member's own count of its work is news for this long
OK_MEMORY = 0.85  # weight of the old share of good answers; a run of 5 failures halves it
FADE_US = 10 * SEC  # unheard, what speaks against a member is believed so long, as BIND-8's srtts fade

# Waiting and trying again.
TICK_US = 20 * MS  # how late a held request or an overdue answer may be noticed, while any is open
STALL_US = 150 * MS  # a tick this late means that this router itself stood still
OVERDUE_FLOOR_US = 150 * MS  # shorter waits are ordinary scheduling
OVERDUE_DEVIATIONS = 5  # of a class's response time; an answer this late is taken for lost
STATS_MEMORY = 0.95  # weight of the old mean and deviation of a class's response time
BACKOFF_US = 250 * MS  # first pause before a failing member is looked at again
BACKOFF_CAP_US = 2 * SEC  # a member that is back must not idle for long
PRIMARY_PATIENCE = 2  # times as long for what only the primary can answer: no other member may try it
LOST_IN_A_ROW = 2  # answers, with none in between, put a member in doubt; one alone is chance
PAUSE_US = 30 * MS  # first pause of a request after an error of its primary; doubles
RETRY_SHARE = 0.3  # further attempts earned by each request: retries add at most this part of load
RETRY_BURST = 10.0  # and this many at once, for a member that dies with work in hand
ERRORS_ELSEWHERE = 2  # quick errors at this many attempts are the request's own fault
HOLD_PART = 0.5  # of its time a request waits at most for a member that may take it: its client can do better
LAST_TRY_US = 10 * MS  # with less than this left no answer can arrive in time
LATE_WORTH = 0.5  # answers worth no more when late are awaited to the aim only: longer queues make all late

# Finding the primary.
ROLE_REPORT_US = 1 * SEC  # a probe's role is dated: an answer's role of this age outranks it

# Shedding: pressure is response time over the class's aim, for a group's replicas and its primary.
PRESSURE_ANSWERS = 9  # answers that pressure is a mean of
PRESSURE_TOLD = 1.5  # of them, still fresh, make a member's or a group's own pressure count
PRESSURE_DOUBT = 0.5  # answers without pressure that are added to those, as few may mislead
LOST_PRESSURE = 2.0  # what an answer that was lost or turned away counts for
PRESSURE_FADE_US = 6 * SEC  # without answers pressure is forgotten: knowledge ages
SHED_FROM = 0.45  # shed none below, all beyond SHED_ALL, in proportion between
SHED_ALL = 1.1
VALUE_STEP = 0.02  # of the way to a request's value, at each request
VALUE_RANGE = (0.4, 2.5)  # worth for the time taken, against the usual; its root moves the thresholds
OVER_SHARE_FACTOR = 0.5  # a tenant over its share is shed at this part of the pressure
PRIMARY_READ_FACTOR = 0.5  # so is a read that falls back on a primary that writes need
OVERFLOW_TOLD = 4.0  # its answers of late, for a read that replicas would shed to go to a primary
PRIMARY_UNHEARD = 0.4  # pressure taken for granted, for such reads, at a primary not heard of late
TENANT_MEMORY = 0.998  # weight of the old counts of requests by tenant, at each request
SHARE_DEVIATIONS = 3  # by which chance alone lifts a tenant over its part of the traffic, hardly ever more

COLD_USE = 0.7  # of what would push a cold member over; it mostly has more than the surest ramp says
CARRY_US = 10 * SEC  # over which this router counts what warm members carry for it
PEAK_MEMORY_US = 60 * SEC  # what warm members could carry a minute ago they mostly still can

# Probes.
REFUSED_US = 100 * MS  # a connection refused so soon: no process listens; silence takes longer
LOOKS = 4  # members probed, one after another, for a read that finds no position it may go by
BESIDE_SHARE = 0.05  # looks earned by each request, spent by all: dear as a request, they would add so much
LOOK_US = 50 * MS  # a read is held this long for a probe's answer, or for members to have news
PASSED_US = 5 * SEC  # a passed probe vouches for a suspect member for this long
PROBE_AGAIN_US = 300 * MS  # a member in doubt says nothing new before
SEARCH = (2.0, 4.0)  # times that between a router's rounds in search of a primary: hundreds search at once

# Lists and memory.
ASK_SPREAD_US = 10 * MS  # for each driver: those that start together must not ask together
ASK_AGAIN_US = 1 * SEC  # after a failed call, and up to two such spreads more
SESSIONS = 20_000  # remembered; older ones sink into a floor that their group must have passed
ON_THE_WAY_US = 50 * MS  # an answer that was written counts as had after twice that, though it be lost
SESSION_US = 60 * SEC  # so does what was committed before: a replica that has not passed it is of no use
GONE_US = 60 * SEC  # a member that is gone for so long is forgotten
LOG_EVERY_US = 10 * SEC
