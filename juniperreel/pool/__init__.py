"""Connection pools for MySQL endpoints: connections, their session state, and what servers report on them."""
