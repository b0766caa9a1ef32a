"""State that survives kills, torn writes, a full disk and wrong bytes: kept by what it is, not by table."""
