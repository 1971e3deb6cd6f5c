"""Randomized soak test of the platform's drivers: overlapping faults, checked against the five rules."""
