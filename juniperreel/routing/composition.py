"""Composition of one router's policy from components, each with its own state and decisions."""

from __future__ import annotations

from dataclasses import dataclass

from juniperreel.routing.estimators import Backoff, DecayingMean, MovingAverage, ResponseTimes, SuccessRate
from juniperreel.routing.policy import parameters
from juniperreel.routing.policy.endpoint_list import EndpointTracker
from juniperreel.routing.policy.freshness import Freshness
from juniperreel.routing.policy.outlier import OutlierDetector
from juniperreel.routing.policy.primary import PrimaryTracker
from juniperreel.routing.policy.retry import RetryPolicy
from juniperreel.routing.policy.shedding import LoadShedder
from juniperreel.routing.policy.slow_start import SlowStart
from juniperreel.routing.pressure import PressureTable
from juniperreel.routing.sessions import SessionTable
from juniperreel.routing.state import EstimatorFactory, RouterState
from juniperreel.routing.types import Settings


@dataclass(frozen=True, slots=True)
class Policy:
    """The policy components that selection, position checks and dispatch combine."""

    state: RouterState
    endpoints: EndpointTracker
    freshness: Freshness
    slow_start: SlowStart
    retries: RetryPolicy
    shedder: LoadShedder
    outliers: OutlierDetector
    primaries: PrimaryTracker


def build_policy(settings: Settings, seed: int) -> Policy:
    """Create the components of a router; the primary tracker takes the first random number."""
    state = build_state(settings, seed)
    endpoints = EndpointTracker(state)
    retries = RetryPolicy(state)
    outliers = OutlierDetector(state, endpoints, retries)
    pressure = PressureTable(state, parameters.PRESSURE_MIN_WEIGHT, parameters.PRESSURE_SAMPLES)
    return Policy(
        state=state,
        endpoints=endpoints,
        freshness=Freshness(state),
        slow_start=SlowStart(state),
        retries=retries,
        shedder=LoadShedder(state, retries, pressure),
        outliers=outliers,
        primaries=PrimaryTracker(state, endpoints, outliers),
    )


def build_state(settings: Settings, seed: int) -> RouterState:
    """Create the router's tables, with estimators that use the policy's parameters."""
    gain = 1 - parameters.RESPONSE_TIME_SMOOTHING
    objectives = [request_class.latency_objective_us for request_class in settings.classes]
    return RouterState(
        settings,
        seed,
        response_times=[ResponseTimes(us / 2, us / 4, gain) for us in objectives],
        mean_load=MovingAverage(0.0, 1 - parameters.REPORT_SMOOTHING),
        sessions=SessionTable(parameters.MAX_SESSIONS, parameters.SESSION_TTL_US),
        log_interval_us=parameters.LOG_INTERVAL_US,
        estimator_factory=EstimatorFactory(_new_pressure, _new_success_rate, _new_backoff),
    )


def _new_pressure() -> DecayingMean:
    return DecayingMean(
        parameters.PRESSURE_FADE_US,
        parameters.PRESSURE_SAMPLES,
        parameters.MAX_PRESSURE_SAMPLE,
        parameters.PRESSURE_PRIOR_WEIGHT,
    )


def _new_success_rate(now_us: int) -> SuccessRate:
    return SuccessRate(parameters.SUCCESS_SMOOTHING, parameters.SUCCESS_FADE_US, now_us)


def _new_backoff() -> Backoff:
    return Backoff(parameters.INITIAL_BACKOFF_US, parameters.MAX_BACKOFF_US)
