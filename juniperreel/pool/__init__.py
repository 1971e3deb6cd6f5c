"""Connection pools for MySQL endpoints: connections, session state and endpoint status."""
