"""Operations of the control processes that operators use, with typed answers."""

from typing import Any, TypeVar

from dogwoodspool_api import (
    PromoteRequest,
    SettingsChangeRequest,
    SettingsChangeResponse,
    const,
)
from pydantic import BaseModel, ValidationError

from .const import HISTORY_LIMIT, QUERY_LIMIT, VOTER_CHANGE_TIMEOUT
from .control_client import ControlClient
from .errors import ConflictError, RejectedError
from .models import (
    EffectiveAnswer,
    HistoryAnswer,
    StatusAnswer,
    TreeAnswer,
    VotersAnswer,
    VotersRequest,
)

ModelT = TypeVar("ModelT", bound=BaseModel)


class Control:
    """Read control's state and send it changes; errors as for ``ControlClient``."""

    def __init__(self, client: ControlClient) -> None:
        self._client = client

    def tree(self) -> TreeAnswer:
        """Return all settings nodes, secrets redacted."""
        return _parse(TreeAnswer, self._client.get(const.PATH_SETTINGS_TREE))

    def effective(self, path: str) -> EffectiveAnswer:
        """Return the values in force at a node."""
        query = {const.QUERY_PATH: path}
        answer = self._client.get(const.PATH_SETTINGS_EFFECTIVE, query)
        return _parse(EffectiveAnswer, answer)

    def history(self, path: str | None) -> HistoryAnswer:
        """Return the accepted changes of one node, or of all."""
        query = {QUERY_LIMIT: str(HISTORY_LIMIT)}
        if path:
            query[const.QUERY_PATH] = path
        answer = self._client.get(const.PATH_SETTINGS_HISTORY, query)
        return _parse(HistoryAnswer, answer)

    def change(self, request: SettingsChangeRequest) -> SettingsChangeResponse:
        """Send one change; a conflict or rejection names its node."""
        body = request.model_dump(mode="json")
        details = {"path": request.path, "expected_version": request.expected_version}
        try:
            answer = self._client.post(const.PATH_SETTINGS_CHANGE, body)
        except (ConflictError, RejectedError) as error:
            error.details.update(details)
            raise
        return _parse(SettingsChangeResponse, answer)

    def status(self) -> StatusAnswer:
        """Return the state of the system as the leader knows it."""
        answer = self._client.get_from_leader(const.PATH_STATUS)
        return _parse(StatusAnswer, answer)

    def status_of_any(self) -> StatusAnswer:
        """Return the state as any voter knows it, with or without a leader."""
        return _parse(StatusAnswer, self._client.get(const.PATH_STATUS))

    def promote(self, request: PromoteRequest) -> dict[str, Any]:
        """Request a switchover of a group's primary."""
        return self._client.post(const.PATH_PROMOTE, request.model_dump(mode="json"))

    def voters(self) -> VotersAnswer:
        """Return the voters."""
        return _parse(VotersAnswer, self._client.get(const.PATH_VOTERS))

    def forget_proxy(self, name: str) -> dict[str, Any]:
        """Remove a proxy that will not come back."""
        return self._client.post(const.PATH_FORGET_PROXY, {"proxy": name})

    def change_voters(self, request: VotersRequest) -> dict[str, Any]:
        """Add or remove a voter."""
        body = request.model_dump(mode="json", exclude_none=True)
        # Control answers only after a new voter has caught up: until then it does not
        # count as a voter.
        return self._client.post(const.PATH_VOTERS, body, VOTER_CHANGE_TIMEOUT)


def _parse(model: type[ModelT], answer: dict[str, Any]) -> ModelT:
    try:
        return model.model_validate(answer)
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        where = ".".join(str(part) for part in first["loc"])
        raise RejectedError(
            f"invalid answer from control: {where}: {first['msg']}"
        ) from error
