"""Whether a target is alive, from its bytes and from shared connections.

``evidence`` decides without I/O; ``checks`` opens the connections.
"""
