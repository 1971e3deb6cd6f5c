"""PostgreSQL's wire protocol v3, simple queries, both sides, and the operators' request form. No I/O."""
