"""Membership from several sources: who says what of each box, and one rule where they disagree. Free of I/O."""
