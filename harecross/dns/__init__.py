"""A small resolver for SRV names: lookups, cached sets and their answers as state machines free of I/O, and sockets.

Needs the extra `dns`; a node without SRV names imports none of it.
"""
