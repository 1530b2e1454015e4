"""Join the control group and register this process's failure domain."""

from dogwoodspool_api import JoinRequest
from dogwoodspool_api.const import PATH_JOIN
from dogwoodspool_common import (
    Address,
    Clock,
    HttpError,
    JsonClient,
    JsonRequest,
    JsonResponse,
    PeerRefusedError,
    Route,
    log_event,
)
from dogwoodspool_consensus import ConsensusNode, MembershipChangeError, NotLeaderError
from dogwoodspool_control.const import CODE_CONFLICT
from dogwoodspool_control.errors import CommandRejectedError, LeadershipLostError
from dogwoodspool_control.http.support import with_error_responses
from dogwoodspool_control.node import ControlNode
from dogwoodspool_following import AddressSource, ControlPeers, Coordinator

from .const import (
    JOIN_CHECK_SECONDS,
    JOIN_RETRY_SECONDS,
    JOIN_TIMEOUT,
    MEMBER_CHANGE_TIMEOUT,
)


class JoinCoordinator(Coordinator):
    """Request membership of the control group until this process is a member.

    A process with an empty disk joins as a learner: it may have been a voter before,
    and the votes it cast then are lost with its disk. The processes that it knows may
    have been replaced meanwhile: where one does not answer, the configured addresses
    are read anew.
    """

    def __init__(
        self,
        request: JoinRequest,
        node: ConsensusNode,
        peers: ControlPeers,
        addresses: AddressSource,
        client: JsonClient,
        clock: Clock,
    ) -> None:
        super().__init__("join", clock)
        self._addresses = addresses
        self._request = request
        self._node = node
        self._peers = peers
        self._client = client

    def step(self) -> float:
        """Send a join request unless this process is listed with its failure domain."""
        if self._is_known():
            return JOIN_CHECK_SECONDS
        address = self._peers.leader_or_next()
        try:
            self._client.post(
                address, PATH_JOIN, self._request.model_dump(mode="json"), JOIN_TIMEOUT
            )
        except PeerRefusedError as error:
            log_event("join_refused", address=address, reason=error)
            self._peers.record_refusal(address, error)
        except HttpError as error:
            log_event("join_failed", address=address, reason=error)
            self._peers.record_failure(address)
            self._peers.configure(self._addresses.read())
        else:
            log_event("joined", address=address, node=self._request.node)
            self._peers.record_leader_answer(address)
        return JOIN_RETRY_SECONDS

    def _is_known(self) -> bool:
        return any(
            one.node_id == self._request.node
            and one.failure_domain == self._request.failure_domain
            for one in self._node.diagnostics().members
        )


class JoinApi:
    """Add processes to the control group as learners."""

    def __init__(self, consensus: ConsensusNode, node: ControlNode) -> None:
        self._consensus = consensus
        self._node = node

    def routes(self) -> list[Route]:
        """Return the endpoint."""
        return [Route("POST", PATH_JOIN, with_error_responses(self._join))]

    def _join(self, request: JsonRequest) -> JsonResponse:
        message = JoinRequest.model_validate(request.body)
        try:
            self._consensus.add_learner(
                message.node,
                Address.parse(message.address),
                message.failure_domain,
                MEMBER_CHANGE_TIMEOUT,
            )
        except NotLeaderError as error:
            raise LeadershipLostError(self._node.leader) from error
        except MembershipChangeError as error:
            raise CommandRejectedError(CODE_CONFLICT, str(error)) from error
        return JsonResponse()
