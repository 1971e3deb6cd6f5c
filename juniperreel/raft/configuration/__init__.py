"""The configuration that instances agree on: immutable versions, and the commands between them."""
