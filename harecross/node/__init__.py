"""The real node: one Balancer on real sockets."""
