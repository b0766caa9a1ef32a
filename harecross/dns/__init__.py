"""A small resolver for SRV names: lookups, lifetimes and sets as state machines free of I/O, and their sockets.

Needs the extra `dns`; the node's own line imports none of it.
"""
