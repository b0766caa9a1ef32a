"""The load balancer process (node): runs one Balancer on TCP sockets."""
