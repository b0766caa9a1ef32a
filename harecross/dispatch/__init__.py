"""Request dispatch: attempts, deadlines and the final answer of each request."""
