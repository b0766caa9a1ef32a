"""HTTP/1.1 message parsing."""
