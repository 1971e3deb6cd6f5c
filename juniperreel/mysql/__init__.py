"""The MySQL client/server protocol, both sides, as state machines without I/O.

    server, client         one connection: bytes in, events out, bytes to send
    client_login           the client's side of the connection phase
    packets                packets, and the primitive values within them
    replies                OK and ERR packets
    columns, rows          column definitions, rows in text and in binary
    values                 single values in text and in binary
    parameters             parameters of executions, query attributes
    auth                   password authentication
    constants              numbers that the protocol's documentation names

Source: MySQL's documentation of its client/server protocol ("Packets", "Connection Phase", "Command Phase").
"""
