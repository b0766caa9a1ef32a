"""Every decision of harecross, free of I/O. The interface (types, events, actions) is in harecross/interface.py.

A copy's calls pass one gradient controller (limit on calls in flight, refusal at the limit) and then go
to the less busy of two random members of a bounded random subset of the servers. docs/design.md tells
what was kept of the source, what was changed and why. Times are integer microseconds.
"""
