"""Admission control beside a target: which calls run, and when."""

from papayabay_daemon._internal.admission.control import (
    AdmissionControl,
    make_admission,
)
from papayabay_daemon._internal.admission.inputs import AdmissionInputs

__all__ = ["AdmissionControl", "AdmissionInputs", "make_admission"]
