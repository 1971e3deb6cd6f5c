"""The routing decisions: types, state, policy, and the loop that feeds one router. Does no I/O."""
