"""Client protocols of the edge: gRPC and MySQL for requests, HTTP for metrics and health.

A front end parses and authenticates, submits a request to the proxy and encodes its answer. It decides
nothing about routing, and keeps nothing between requests but what its protocol calls a session.
"""
