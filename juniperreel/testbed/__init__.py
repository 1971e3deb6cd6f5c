"""The testbed runs the real programs as processes with a relay on every link, and injects faults into both.

It produces recordings that `verification` checks. It starts the programs and imports none of them.
"""
