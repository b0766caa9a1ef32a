"""The control service: what the decision module finds of servers, for other proxies, over xDS v3.

`publisher` (what to publish of each server), `release` (when), `cache` (resources, versions, order), `subscription` and
the streams (one proxy's stream, both variants) are free of I/O; `resources` builds messages; `stream_service` and
`server` serve them over gRPC. `publisher_loop` connects cluster feeds and the server.
"""
