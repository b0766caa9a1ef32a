"""Traffic shifted step by step from a control pool to a candidate pool, and back where the candidate does harm."""
