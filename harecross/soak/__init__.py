"""Soak test: real nodes on loopback under seeded faults, checked by records of servers, clients and discoveries."""
