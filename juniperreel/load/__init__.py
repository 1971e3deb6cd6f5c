"""The load generator: plans, clients, results and reports. Knows the protocol, not the edge's code."""
