"""Fakes of what surrounds the edges: endpoints, their list and clients, with faults by a script."""
