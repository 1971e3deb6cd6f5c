"""The MySQL client/server protocol, client and server, as state machines without I/O.

    server, client         one connection: turns received bytes into events and bytes to send
    client_login           the connection phase on the client
    packets                packets, and the basic data types within them
    replies                OK and ERR packets
    columns, rows          column definitions; rows in the text and the binary protocol
    values                 single values in the text and the binary protocol
    parameters             parameters of prepared statements, query attributes
    auth                   password authentication
    constants              constants of the protocol

Source: MySQL's documentation of its client/server protocol ("Packets", "Connection Phase", "Command Phase").
"""
