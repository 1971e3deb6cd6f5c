"""Settings of all tests: the result of a test must not depend on the load of the machine."""

from __future__ import annotations

from hypothesis import HealthCheck, settings

# Hypothesis fails a property whose examples take long to generate or to run. On a machine that also runs
# benchmarks or another test suite, that measures the machine and not the program. The properties themselves
# are checked in full.
settings.register_profile("no time limits", deadline=None, suppress_health_check=[HealthCheck.too_slow])
settings.load_profile("no time limits")
