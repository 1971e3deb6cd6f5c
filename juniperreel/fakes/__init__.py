"""Fakes of the environment of edges: endpoints, the endpoint list and clients, with scripted faults."""
