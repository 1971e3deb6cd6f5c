"""SQLSTATE codes reported by this package (PostgreSQL documentation, appendix A)."""

from __future__ import annotations

PROTOCOL_VIOLATION = "08P01"
FEATURE_NOT_SUPPORTED = "0A000"
INVALID_AUTHORIZATION = "28000"
TOO_MANY_CONNECTIONS = "53300"
PROGRAM_LIMIT_EXCEEDED = "54000"
