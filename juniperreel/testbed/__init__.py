"""The rig: real processes of the program, a relay on every link between them, faults in both, and records
that `proof` judges. Starts programs and imports none of them; off in ordinary runs."""
