"""Clients of the nodes' admin servers: single calls to running nodes, and releases of servers over several nodes."""
