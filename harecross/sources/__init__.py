"""Membership from several sources: the platform's watch, SRV names and address files, merged into one endpoint list."""
