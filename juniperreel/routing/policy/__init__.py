"""Every routing decision and every tuned value."""
