"""Admission control: decides which requests are admitted, queued or rejected. No I/O.

Endpoint selection is not part of this package: the router selects one for each admitted request.
"""

from juniperreel.admission.controller import AdmissionController
from juniperreel.admission.decisions import Admission, Arrival, Decision, Rejection, RejectionReason

__all__ = ["Admission", "AdmissionController", "Arrival", "Decision", "Rejection", "RejectionReason"]
