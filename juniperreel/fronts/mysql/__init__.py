"""The MySQL wire protocol, server side, free of I/O. No front listens for it yet.

Source: MySQL's documentation of its client/server protocol ("Packets", "Connection Phase", "Command Phase").
"""
