"""Simulations of a fleet in virtual time: what happens if all nodes act at the same moment.

Simulated nodes decide with the classes and functions that real nodes use, such as
`discovery.subscription_schedule.SubscriptionSchedule`.
"""
