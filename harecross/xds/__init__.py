"""The control service: publishes the balancer's view of the servers to other proxies over xDS v3.

The modules without I/O are `publisher` (what to publish for each server), `release` (when to publish it), `cache`
(resources, their versions and the order of updates), `subscription` and the stream modules (the protocol state of one
proxy's stream, for both xDS variants). `resources` builds the protobuf messages; `stream_service` and `server` serve
them over gRPC. `publisher_loop` connects the cluster feeds to the server.
"""
