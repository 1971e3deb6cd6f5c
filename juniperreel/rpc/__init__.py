"""gRPC over HTTP/2 on trio, client and server. Independent of any database protocol.

channel, server, call      the client API, the server API, and one call on the server
connection                 one HTTP/2 connection with its tasks; writer, keepalive, arrival, abuse_guard
stream                     one HTTP/2 stream as a sequence of messages
http2                      the protocol state of a connection, without I/O; frames, header_blocks,
                           header_rules, stream_table, flow_control, http2_events
framing, metadata, status  gRPC's encoding of messages, headers and statuses
health, reflection         the standard gRPC services
"""
