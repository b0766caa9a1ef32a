"""A small durable store on SQLite: documents with their records, and leases with fencing tokens."""
