"""Request routing without I/O: types, state, policy, and the loop that drives one router."""
