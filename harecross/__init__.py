"""harecross: a load balancer for services that call other services."""

__version__ = "0.1.0"
