"""A model of a fleet's nodes before one discovery, in virtual time: what all nodes do at once.

No sockets and no clock: the nodes are `discovery.subscription_schedule.SubscriptionSchedule`, as nodes run it.
"""
