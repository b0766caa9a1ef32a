"""Membership: the subscription to discovery, the records of server processes, and the endpoint registry."""
