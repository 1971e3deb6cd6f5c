"""Protocol definitions (`*.proto`) and the code generated from them by `make proto`."""
