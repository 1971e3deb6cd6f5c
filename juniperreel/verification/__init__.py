"""Records of what crossed the sockets, and checkers that judge the program from them alone."""
