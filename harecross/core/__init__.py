"""What every front shares: the request table, attempts, connections to servers, the watch on discovery.

Fronts import it; it imports decisions alone.
"""
