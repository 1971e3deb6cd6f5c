"""Tuning parameters of the policy, with their units, reasons and sources."""

MS = 1_000  # microseconds
SEC = 1_000 * MS

SRTT_SMOOTHING = 0.7  # weight of the previous srtt: alpha of the design page, as for BIND-8 in the paper
LOSS_PENALTY = 1.2  # factor applied to srtt for each lost response
INITIAL_SRTT_US = (1 * MS, 10 * MS)  # small and random, so that unmeasured endpoints are tried early (BIND-9)
MAX_SRTT_US = 60 * SEC  # bounds repeated penalties
IN_FLIGHT_BOUND = 1.25  # of the mean in flight, plus one; endpoints above it are excluded from the draw
GUARDED_SLACK_US = 100 * MS  # lag up to which endpoints that verify positions themselves may be tried
LOAD_REPORT_TTL_US = 500 * MS  # validity of the load that an endpoint reports
SUCCESS_SMOOTHING = 0.85  # weight of the previous success rate; 5 consecutive failures halve it
SUCCESS_FADE_US = 6 * SEC  # an outcome after a pause of this length gets two thirds of the weight
EVIDENCE_FADE_US = 10 * SEC  # decay of failures and slowness without new outcomes, like srtt in BIND-8
MIN_SUCCESS_RATE = 0.01  # keeps weights finite
MIN_SRTT_US = 1.0  # keeps weights finite
MIN_CAPACITY = 0.01  # keeps the load per unit of capacity finite

TICK_US = 20 * MS  # worst-case delay in noticing due or overdue requests while any is open
STALL_US = 150 * MS  # a timer this late means that the router's event loop stalled
OVERDUE_FLOOR_US = 150 * MS  # shorter delays are normal scheduling
OVERDUE_DEVIATIONS = 5  # of a class's response time; a later response is considered lost
RESPONSE_TIME_SMOOTHING = 0.95  # weight of the previous mean and deviation of a class's response time
REPORT_SMOOTHING = 0.95  # weight of the previous mean of reported load and of reported lag
INITIAL_BACKOFF_US = 250 * MS  # before the first check of an ejected endpoint
MAX_BACKOFF_US = 2 * SEC  # limits how long a recovered endpoint stays unused
PRIMARY_OVERDUE_FACTOR = 2  # for requests that only the primary can serve: no other endpoint may try
LOSSES_TO_EJECT = 2  # consecutive losses; a single one is noise
PRIMARY_RETRY_BACKOFF_US = 30 * MS  # before a request's first retry on a failed primary; doubles
MAX_RETRY_DOUBLINGS = 5
RETRY_BUDGET_RATIO = 0.3  # retries earned per request: they add at most this fraction of the load
RETRY_BUDGET_BURST = 10.0  # retries in a burst, for an endpoint that crashes with requests in flight
ERRORS_TO_FAIL = 2  # fast errors on this many attempts are attributed to the request itself
MAX_QUEUED_FRACTION = 0.5  # of the time to its deadline: then a retry by the client is more useful
MIN_REMAINING_US = 10 * MS  # with less time left, no response can arrive before the deadline
LATE_WEIGHT_FLOOR = 0.5  # below it, late responses are not awaited beyond the latency objective
ROLE_RESPONSE_TTL_US = 1 * SEC  # a role in a response overrides health checks, which are outdated

PRESSURE_SAMPLES = 9  # number of responses in the mean of response time over latency objective
MAX_PRESSURE_SAMPLE = 4.0
PRESSURE_MIN_WEIGHT = 1.5  # recent responses from which an endpoint's or a group's own pressure is used
PRESSURE_PRIOR_WEIGHT = 0.5  # zero-pressure responses added to the mean: few samples may mislead
LOST_PRESSURE = 2.0  # sample for a lost or rejected response
PRESSURE_FADE_US = 6 * SEC  # weight of samples decays without new responses: old ones are unreliable
SHEDDING_START = 0.45  # none is shed below it, all above SHEDDING_END, linear in between
SHEDDING_END = 1.1
PRIORITY_GAIN = 0.02  # weight of a request's priority in the mean; priority is weight over mean duration
PRIORITY_RANGE = (0.4, 2.5)  # clamps a request's priority over the mean; thresholds scale with the root
OVER_QUOTA_FACTOR = 0.5  # threshold factor for tenants that are over quota
PRIMARY_READ_FACTOR = 0.5  # threshold factor for reads that fall back to a primary, which writes need
OVERFLOW_MIN_WEIGHT = 4.0  # recent responses of a primary before reads shed by replicas may overflow to it
UNOBSERVED_PRIMARY_PRESSURE = 0.4  # assumed for such reads on a primary without recent responses
TENANT_SMOOTHING = 0.998  # weight of the previous request counts by tenant, per request
QUOTA_DEVIATIONS = 3  # standard deviations above the tenant's share; chance alone rarely exceeds them

SLOW_START_UTILIZATION = 0.7  # of what would overload a warming endpoint; it mostly has more capacity
THROUGHPUT_WINDOW_US = 10 * SEC  # window for counting responses of warm endpoints
THROUGHPUT_PEAK_FADE_US = 60 * SEC  # throughput reached a minute ago is usually still possible
WARM_CAPACITY_REFRESH_US = 1 * SEC
MIN_WARM_CAPACITY = 1e-3  # keeps the rate per unit of capacity finite

CONNECTION_REFUSED_US = 100 * MS  # a faster refusal: no process listens; an unreachable host takes longer
RESTART_AFTER_US = 1 * SEC  # a process that was down for longer has restarted
MAX_POSITION_CHECKS = 4  # sequential checks for a read without a known fresh replica
BACKGROUND_CHECK_RATIO = 0.05  # checks earned per request; each one costs as much as a request
POSITION_CHECK_US = 50 * MS  # time a read is queued for a check's response or for replicas to catch up
PASSED_CHECK_TTL_US = 5 * SEC  # for this long, a passed check permits an attempt on an ejected endpoint
CHECK_INTERVAL_US = 300 * MS  # an earlier check of an ejected endpoint gives no new information
PRIMARY_SEARCH_INTERVALS = (2.0, 4.0)  # random multiple of CHECK_INTERVAL_US: hundreds of routers search

POLL_JITTER_US = 10 * MS  # per router in the fleet: routers that start together must not poll together
POLL_RETRY_US = 1 * SEC  # after a failed call, plus up to twice the jitter
MAX_POLL_RETRY_US = 4_500 * MS  # polled updates take effect after 6 s, of which 1.5 s are for the call
MAX_SESSIONS = 20_000  # sessions kept; evicted ones raise a watermark that replicas must have passed
RESPONSE_TRANSIT_US = 50 * MS  # a written response counts as received after twice this time, even if lost
SESSION_TTL_US = 60 * SEC  # a replica that has not applied older commits is unusable anyway
REMOVED_ENDPOINT_TTL_US = 60 * SEC  # after that, endpoints that left the list are dropped
LOG_INTERVAL_US = 10 * SEC
