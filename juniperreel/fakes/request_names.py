"""Request identifiers in statements, and the names of edges in the identifiers that they assign."""

from __future__ import annotations

import re

REQUEST_ID_COMMENT = re.compile(r"/\* rid ([0-9a-z.-]+) \*/")


def request_id_of(statement: str) -> str:
    """The client's request identifier in a statement, or an empty string."""
    found = REQUEST_ID_COMMENT.search(statement)
    return found[1] if found else ""


def edge_of(edge_request_id: str) -> str:
    """The name of the edge that assigned an identifier, in which it is followed by two numbers."""
    return edge_request_id.rsplit("-", 2)[0]
