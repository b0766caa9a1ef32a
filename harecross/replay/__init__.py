"""Replay of a plan against real nodes: open-loop sending, the account of what became of it, reports."""
