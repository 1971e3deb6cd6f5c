"""Admission control: whether a request is admitted, queued or rejected, and how many are in flight. No I/O.

This package never chooses an endpoint; the router does that for every request that is admitted here.
"""

from juniperreel.admission.controller import AdmissionController
from juniperreel.admission.decisions import Admission, Arrival, Decision, Rejection, RejectionReason

__all__ = ["Admission", "AdmissionController", "Arrival", "Decision", "Rejection", "RejectionReason"]
