"""The replicated configuration: its versions, the commands that change it, and the state machine."""
