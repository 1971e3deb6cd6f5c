"""What holds for all tests: a busy machine changes no verdict."""

from __future__ import annotations

from hypothesis import HealthCheck, settings

# Hypothesis fails a property by how long examples take to draw or to run: that judges the machine, beside a
# bench or another suite, and not the program. What the properties say is untouched.
settings.register_profile("any machine", deadline=None, suppress_health_check=[HealthCheck.too_slow])
settings.load_profile("any machine")
