"""Upstream connections: the connection pool, connects, exchanges and health checks."""
