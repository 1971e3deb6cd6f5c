"""The platform's driver process: configuration, discovery, client and endpoint connections, and signals.

Routing decisions are made by the router, which `routing.loop` feeds with events.
"""
