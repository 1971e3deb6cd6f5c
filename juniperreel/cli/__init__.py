"""The command line: wires the packages together and holds no logic of its own."""
