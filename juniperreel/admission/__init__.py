"""Whether a request is taken at all, how many are in hand, who waits and who is turned away. No I/O.

Must never choose a member: that is the module's, for whatever this room lets through.
"""

from juniperreel.admission.controller import Admit, Arrival, Gate, Turn, Verdict

__all__ = ["Admit", "Arrival", "Gate", "Turn", "Verdict"]
