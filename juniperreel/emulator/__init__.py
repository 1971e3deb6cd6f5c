"""Models of what the project runs, driven by seeds: schedules, loads, experiments."""
