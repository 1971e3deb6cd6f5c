"""Seeded simulations of the project's components in virtual time: fleets, admission control, Raft groups."""
