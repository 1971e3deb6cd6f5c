"""The commands: wiring of all rooms, no logic."""
