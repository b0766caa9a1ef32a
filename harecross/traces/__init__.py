"""Public cluster traces in CSV: recognising, reading, checking and planning. Pure but for the file itself."""
