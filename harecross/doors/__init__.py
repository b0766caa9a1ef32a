"""The operators' side of the door: calls to running nodes, and a release of servers as one call."""
