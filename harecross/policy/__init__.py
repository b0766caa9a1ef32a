"""Every decision of harecross, free of I/O; its interface is harecross/interface.py. Times are microseconds.

A request passes the concurrency limit of a gradient controller and goes to the less loaded of two random
members of the node's subset. docs/design.md tells what was kept of the source, what was changed and why.
"""
