"""Typed calls to peers."""

from collections.abc import Mapping
from typing import Any, TypeVar

from dogwoodspool_common import log_event
from dogwoodspool_common.const import CODE_BAD_REQUEST
from pydantic import ValidationError

from .const import CODE_SOURCE_REFUSED, CODE_TARGET_MISMATCH, UNPINNED
from .errors import PeerCallError
from .messages import PeerRequest, PeerResponse
from .state import NodeState
from .transport import PeerTransport

ResponseT = TypeVar("ResponseT", bound=PeerResponse)


class PeerCaller:
    """Send requests to members of the configuration and validate their responses."""

    def __init__(self, state: NodeState, transport: PeerTransport) -> None:
        self._state = state
        self._transport = transport
        self._mismatched_peers: set[str] = set()
        self._earlier_builds: set[str] = set()

    def is_earlier_build(self, peer: str) -> bool:
        """Return whether a peer rejects fields that its build does not know."""
        return peer in self._earlier_builds

    def header(self, peer: str, term: int) -> Mapping[str, Any]:
        """Return the fields common to all requests.

        The caller holds the lock.
        """
        state = self._state
        member = state.configuration.members.get(peer)
        return {
            "source": state.node_id,
            "source_incarnation": state.identity.incarnation,
            "target": peer,
            "target_incarnation": member.incarnation if member else UNPINNED,
            "term": term,
        }

    def call(
        self,
        peer: str,
        path: str,
        request: PeerRequest,
        response_type: type[ResponseT],
        timeout: float | None = None,
    ) -> ResponseT | None:
        """Return the peer's response; None if there is no valid one.

        A peer only answers a request that names its own incarnation or none, see
        ``check_request``.

        The caller does not hold the lock, so that a slow peer does not block the
        other threads.
        """
        state = self._state
        with state.changed:
            member = state.configuration.members.get(peer)
        if member is None:
            return None
        seconds = state.settings.rpc_timeout if timeout is None else timeout
        try:
            content = self._transport.call(
                member.address, path, request.model_dump(mode="json"), seconds
            )
            return response_type.model_validate(content)
        except PeerCallError as error:
            self._handle_refusal(peer, error)
            return None
        except ValidationError as error:
            log_event("bad_peer_answer", level="WARNING", peer=peer, error=error)
            return None

    def _handle_refusal(self, peer: str, error: PeerCallError) -> None:
        if error.code is None:
            # It may come back as a newer build.
            self._earlier_builds.discard(peer)
        elif error.code == CODE_BAD_REQUEST:
            self._mark_earlier_build(peer, error)
        elif error.code == CODE_SOURCE_REFUSED:
            self._mark_refused(peer)
        elif error.code == CODE_TARGET_MISMATCH:
            self._log_mismatch(peer)
            with self._state.changed:
                self._state.record_process_ended(peer)

    def _mark_earlier_build(self, peer: str, error: PeerCallError) -> None:
        if peer in self._earlier_builds:
            return
        self._earlier_builds.add(peer)
        log_event("peer_earlier_build", peer=peer, reason=error)

    def _log_mismatch(self, peer: str) -> None:
        if peer in self._mismatched_peers:
            return
        self._mismatched_peers.add(peer)
        log_event(
            "peer_identity_mismatch",
            level="ERROR",
            peer=peer,
            advice="remove this voter and add it under a new id",
        )

    def _mark_refused(self, peer: str) -> None:
        state = self._state
        with state.changed:
            if state.is_refused:
                return
            state.is_refused = True
            log_event(
                "identity_refused",
                level="ERROR",
                node=state.node_id,
                peer=peer,
                advice="start with an empty data folder under a new id, then add it",
            )
            state.become_follower(state.term)
