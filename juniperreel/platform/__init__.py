"""The driver on the operators' platform: configuration, discovery, clients, endpoints, signals, descriptors.

Decides nothing on routing: that is the router's, fed by `routing.loop`.
"""
