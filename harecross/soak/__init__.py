"""A soak: real nodes on loopback under seeded faults, judged by what servers, clients and discoveries saw."""
