"""Sans-I/O implementation of the PostgreSQL wire protocol, version 3, for simple queries.

`client` and `server` are the state machines of the two sides, `messages` encodes and parses messages, and
`request_format` parses the two statements of the operators' platform.
"""
