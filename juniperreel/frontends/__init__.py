"""Client protocols of the edge: gRPC and MySQL for requests, HTTP for metrics and health.

A front end authenticates clients, parses requests, submits them to the proxy and encodes the answers. It
makes no routing decisions, and keeps no state between requests except for the sessions of its protocol.
"""
