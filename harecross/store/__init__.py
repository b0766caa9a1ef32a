"""A small durable store on SQLite: documents with records of their changes, and leases with fencing tokens."""
