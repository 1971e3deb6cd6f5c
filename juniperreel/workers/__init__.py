"""One edge on several cores: a parent process that accepts connections, and workers that serve them."""
