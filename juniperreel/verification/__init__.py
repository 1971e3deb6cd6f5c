"""Records of socket traffic, and checkers that verify the program from these records alone."""
