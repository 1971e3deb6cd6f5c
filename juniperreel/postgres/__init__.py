"""PostgreSQL's wire protocol, version 3: simple queries, both sides, without I/O.

`client` speaks to servers, `server` to clients, `messages` encodes and reads what both exchange, and
`request_format` parses the two statements of the operators' platform.
"""
