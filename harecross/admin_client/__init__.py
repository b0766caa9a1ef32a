"""The operators' side of the admin server: calls to running nodes, and a release of servers as one call."""
