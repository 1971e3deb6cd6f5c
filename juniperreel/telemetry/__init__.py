"""The program's log, metrics and traces. Imports nothing of ours, decides nothing.

Nothing is imported here: a program that only logs must not pay for metrics and traces.
"""
