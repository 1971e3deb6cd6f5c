"""Raft consensus among a few instances, and the configuration that they replicate.

Sources: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (the paper), and Ongaro's
dissertation "Consensus: Bridging Theory and Practice" (the dissertation); sections are cited where they
apply.
"""
