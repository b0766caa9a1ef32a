"""Merges the endpoint lists of several sources: discovery's watch, SRV names and address files."""
