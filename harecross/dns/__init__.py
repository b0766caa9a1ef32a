"""A stub resolver for SRV names.

Lookups, SRV resolutions and cached names are state machines without I/O; `client` and `connections` hold the sockets.
The package needs the extra `dns`; a node without SRV names imports none of it.
"""
