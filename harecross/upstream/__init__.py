"""Connections to servers: the pool, connects, exchanges and health checks."""
