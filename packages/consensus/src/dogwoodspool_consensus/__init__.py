"""Replicate a log between control processes."""

from .applier import StateMachine
from .diagnostics import ConsensusDiagnostics, PeerDiagnostics
from .errors import (
    ConsensusError,
    IdentityRefusedError,
    MembershipChangeError,
    NotConfirmedError,
    NotLeaderError,
    OutcomeUnknownError,
    PeerCallError,
    ProposalRefusedError,
    StorageCorruptError,
    StorageError,
    StorageFailedError,
)
from .models import ConsensusSettings, Leadership, Role
from .node import ConsensusNode
from .storage import FileLogStorage, LogStorage
from .transport import HttpPeerTransport, PeerTransport

__all__ = [
    "ConsensusDiagnostics",
    "ConsensusError",
    "ConsensusNode",
    "ConsensusSettings",
    "FileLogStorage",
    "HttpPeerTransport",
    "IdentityRefusedError",
    "Leadership",
    "LogStorage",
    "MembershipChangeError",
    "NotConfirmedError",
    "NotLeaderError",
    "OutcomeUnknownError",
    "PeerCallError",
    "PeerDiagnostics",
    "PeerTransport",
    "ProposalRefusedError",
    "Role",
    "StateMachine",
    "StorageCorruptError",
    "StorageError",
    "StorageFailedError",
]
