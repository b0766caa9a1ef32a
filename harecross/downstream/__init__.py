"""Connections from clients: the listener, request reading, uploads and responses."""
