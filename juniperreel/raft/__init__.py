"""Raft among a few instances, and the configuration they agree on.

Source: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (the paper), and Ongaro's
dissertation "Consensus: Bridging Theory and Practice" (the dissertation); sections are cited where they
apply.
"""
