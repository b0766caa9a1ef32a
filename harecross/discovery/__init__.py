"""Cluster membership: the discovery subscription, server process records and the endpoint registry."""
