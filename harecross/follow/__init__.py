"""One request's way through nodes and tiers: the attempt log and its reader."""
