"""Parsing of HTTP/1.1 messages, free of I/O."""
