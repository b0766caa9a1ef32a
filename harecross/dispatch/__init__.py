"""The request table: attempts, deadlines and the one final answer of each request."""
