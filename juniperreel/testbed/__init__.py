"""The testbed: real processes of the program, a relay on every link between them, and faults in both.

It leaves records that `verification` judges. It starts programs and imports none of them.
"""
