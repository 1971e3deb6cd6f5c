"""Multi-process edge: a parent process accepts connections, and worker processes serve them."""
