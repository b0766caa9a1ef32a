"""Stand-ins for the systems around a node: discovery, servers, DNS and xDS clients, for tests, `demo` and `replay`.

The stand-ins import none of the node's own code, so that a fault in the node cannot be hidden by the same fault in a
stand-in.
"""
