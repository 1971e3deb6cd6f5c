"""Names of requests as endpoints find them: the client's in the statement, the edge's beside it."""

from __future__ import annotations

import re

REQUEST_ID_COMMENT = re.compile(r"/\* rid ([0-9a-z.-]+) \*/")


def request_id_of(statement: str) -> str:
    """The client's name of the request that a statement belongs to; empty where it has none."""
    found = REQUEST_ID_COMMENT.search(statement)
    return found[1] if found else ""


def edge_of(edge_request_id: str) -> str:
    """The edge that named a request: its name is followed by two numbers."""
    return edge_request_id.rsplit("-", 2)[0]
