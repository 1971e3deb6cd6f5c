"""Every tuned value of the policy, with its unit, reason and source."""

MS = 1_000  # microseconds
SEC = 1_000 * MS

SRTT_SMOOTHING = 0.7  # weight of the old srtt: the design page's alpha, as in the paper's BIND-8
LOSS_PENALTY = 1.2  # a lost response raises srtt by a fifth
INITIAL_SRTT_US = (1 * MS, 10 * MS)  # small and random: those without samples are tried early (BIND-9)
MAX_SRTT_US = 60 * SEC  # keeps repeated penalties finite
IN_FLIGHT_BOUND = 1.25  # of the mean in flight, plus one; beyond it an endpoint sits out the draw
GUARDED_SLACK_US = 100 * MS  # how far behind an endpoint that checks positions itself may be tried
LOAD_REPORT_TTL_US = 500 * MS  # an endpoint's own count of its work is believed for this long
SUCCESS_SMOOTHING = 0.85  # weight of the old success rate; a run of 5 failures halves it
SUCCESS_FADE_US = 6 * SEC  # an outcome after such a pause counts for two thirds of the rate
EVIDENCE_FADE_US = 10 * SEC  # without outcomes, failures and slowness are forgotten, as BIND-8's srtts fade
MIN_SUCCESS_RATE = 0.01  # keeps weights finite
MIN_SRTT_US = 1.0  # so does this
MIN_CAPACITY = 0.01  # keeps the load by capacity finite

TICK_US = 20 * MS  # how late a queued request or an overdue response may be noticed, while any is open
STALL_US = 150 * MS  # a timer this late means that this router's own event loop stalled
OVERDUE_FLOOR_US = 150 * MS  # shorter waits are ordinary scheduling
OVERDUE_DEVIATIONS = 5  # of a class's response time; a response this late is taken for lost
RESPONSE_TIME_SMOOTHING = 0.95  # weight of the old mean and deviation of a class's response time
REPORT_SMOOTHING = 0.95  # weight of the old mean of what endpoints report: load, and how far behind they are
INITIAL_BACKOFF_US = 250 * MS  # before an ejected endpoint is checked again
MAX_BACKOFF_US = 2 * SEC  # an endpoint that has recovered must not idle for long
PRIMARY_OVERDUE_FACTOR = 2  # times as long for what only the primary can serve: no other endpoint may try it
LOSSES_TO_EJECT = 2  # consecutive ones; a single loss is noise
PRIMARY_RETRY_BACKOFF_US = 30 * MS  # before a request's first retry after its primary failed it; doubles
MAX_RETRY_DOUBLINGS = 5
RETRY_BUDGET_RATIO = 0.3  # retries earned by each request: they add at most this part of the load
RETRY_BUDGET_BURST = 10.0  # and this many at once, for an endpoint that dies with requests in flight
ERRORS_TO_FAIL = 2  # quick errors at this many attempts are the request's own fault
MAX_QUEUED_FRACTION = 0.5  # of its time a request is queued at most: its client can do better
MIN_REMAINING_US = 10 * MS  # with less than this left no response can arrive in time
LATE_WEIGHT_FLOOR = 0.5  # responses worth no more when late are awaited to the objective only
ROLE_RESPONSE_TTL_US = 1 * SEC  # a health check's role is dated: one in a response of this age outranks it

PRESSURE_SAMPLES = 9  # responses that pressure, the mean of response time over objective, is made of
MAX_PRESSURE_SAMPLE = 4.0
PRESSURE_MIN_WEIGHT = 1.5  # of them, recent enough, make an endpoint's or a group's own pressure count
PRESSURE_PRIOR_WEIGHT = 0.5  # responses without pressure that are added to those, as few may mislead
LOST_PRESSURE = 2.0  # what a response that was lost or rejected counts for
PRESSURE_FADE_US = 6 * SEC  # without responses pressure is forgotten: knowledge ages
SHEDDING_START = 0.45  # none is shed below, all beyond SHEDDING_END, in proportion between
SHEDDING_END = 1.1
PRIORITY_GAIN = 0.02  # of the way to a request's priority, at each request
PRIORITY_RANGE = (0.4, 2.5)  # weight for the time taken, against the mean; its root moves the thresholds
OVER_QUOTA_FACTOR = 0.5  # a tenant over its share is shed at this part of the pressure
PRIMARY_READ_FACTOR = 0.5  # so is a read that falls back on a primary that writes need
OVERFLOW_MIN_WEIGHT = 4.0  # recent responses of a primary that may take a read which replicas would shed
UNOBSERVED_PRIMARY_PRESSURE = 0.4  # assumed, for such reads, at a primary without recent responses
TENANT_SMOOTHING = 0.998  # weight of the old counts of requests by tenant, at each request
QUOTA_DEVIATIONS = 3  # by which chance alone lifts a tenant over its part of the traffic, hardly ever more

SLOW_START_UTILIZATION = 0.7  # of what would overload a warming endpoint; it mostly has more
THROUGHPUT_WINDOW_US = 10 * SEC  # over which this router counts the responses of warm endpoints
THROUGHPUT_PEAK_FADE_US = 60 * SEC  # what warm endpoints could carry a minute ago they mostly still can
WARM_CAPACITY_REFRESH_US = 1 * SEC
MIN_WARM_CAPACITY = 1e-3  # keeps the rate by capacity finite

CONNECTION_REFUSED_US = 100 * MS  # refused so soon: no process listens; an unreachable host takes longer
RESTART_AFTER_US = 1 * SEC  # down for longer, a process that is back has started anew
MAX_POSITION_CHECKS = 4  # endpoints checked, one after another, for a read that finds no fresh position
BACKGROUND_CHECK_RATIO = 0.05  # checks earned by each request, spent by all: each costs as much as a request
POSITION_CHECK_US = 50 * MS  # a read is queued so long for a check's response, or for endpoints to catch up
PASSED_CHECK_TTL_US = 5 * SEC  # a passed check lets an ejected endpoint have an attempt for this long
CHECK_INTERVAL_US = 300 * MS  # an ejected endpoint says nothing new before
PRIMARY_SEARCH_INTERVALS = (2.0, 4.0)  # of those between searches for a primary: hundreds of routers search

POLL_JITTER_US = 10 * MS  # for each router: those that start together must not poll together
POLL_RETRY_US = 1 * SEC  # after a failed call, and up to two such jitters more
MAX_POLL_RETRY_US = 4_500 * MS  # of the 6 s after which what is polled for binds, 1.5 s are for the call
MAX_SESSIONS = 20_000  # remembered; older ones sink into a watermark that replicas must have passed
RESPONSE_TRANSIT_US = 50 * MS  # a response that was written counts as received after twice that, though lost
SESSION_TTL_US = 60 * SEC  # a replica that has not passed what was committed before is of no use
REMOVED_ENDPOINT_TTL_US = 60 * SEC  # an endpoint that left the list so long ago is forgotten
LOG_INTERVAL_US = 10 * SEC
