"""Run the control group: state, grants, failure detection, promotion."""

from .candidates import Choice, ChoiceInput, ChoiceRefusal, choose_candidate
from .detector import DetectorSettings, FailureDetector
from .errors import ControlError, LeadershipLostError
from .grants import GrantTable
from .runtime import ControlRuntime
from .shares import ShareLedger, fair_shares
from .state import ControlState

__all__ = [
    "Choice",
    "ChoiceInput",
    "ChoiceRefusal",
    "ControlError",
    "ControlRuntime",
    "ControlState",
    "DetectorSettings",
    "FailureDetector",
    "GrantTable",
    "LeadershipLostError",
    "ShareLedger",
    "choose_candidate",
    "fair_shares",
]
