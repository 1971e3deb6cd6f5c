"""The real driver on the operators' platform: configuration, discovery, clients, members, signals,
descriptors.

Decides nothing on routing: that is the module's, fed by `routing.loop`.
"""
