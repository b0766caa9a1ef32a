"""HTTP/1.1: parsers of requests and responses, and the buffer of streamed request bodies."""
