"""Shifts traffic step by step from a control pool to a candidate pool, and back if the candidate does harm."""
