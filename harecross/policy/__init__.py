"""All decisions of harecross, without any I/O. The interface is `harecross.interface`.

A request is admitted under the adaptive concurrency limit of a gradient controller and is sent to the less
loaded of two random members of the node's subset. docs/design.md describes which parts follow their published
source and which differ, with the reasons. Times are in microseconds.
"""
