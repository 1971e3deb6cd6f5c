"""Logging, metrics and traces. This package imports no other package of the project.

Submodules are not imported here: a process that only logs must not pay for importing metrics and traces.
"""
