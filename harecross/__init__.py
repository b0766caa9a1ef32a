"""harecross: the decisions of a load balancer for services that call services."""

__version__ = "0.1.0"
