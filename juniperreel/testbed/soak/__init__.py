"""A randomized soak of the platform's drivers as processes: overlapping faults, judged by the rules."""
