"""Members, host list and clients that play the world outside the edges, with faults by a script."""
