"""What the program tells of itself: log, metrics, traces. Imports nothing of ours, decides nothing.

Nothing is imported here: a program that only logs must not pay for metrics and traces.
"""
