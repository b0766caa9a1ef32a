"""Public cluster traces in CSV: format recognition, row parsing and validation, and conversion to requests."""
