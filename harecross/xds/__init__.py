"""The control service: what the decision module thinks of servers, handed to other proxies over xDS v3.

`publish` (what to say of each server), `cache` (resources, versions, order) and `streams` (one proxy's
subscription, both variants) are free of I/O; `resources` builds messages; `server` is the gRPC front.
"""
