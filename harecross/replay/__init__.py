"""Replay of request plans against real nodes: open-loop load generation, request accounting and reports."""
