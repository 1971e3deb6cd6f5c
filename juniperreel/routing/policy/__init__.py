"""The routing policy: every routing decision and every tuning parameter."""
