"""The MySQL wire protocol, server side: state machines without I/O, and the front around them.

Source: MySQL's documentation of its client/server protocol ("Packets", "Connection Phase", "Command Phase").
"""
