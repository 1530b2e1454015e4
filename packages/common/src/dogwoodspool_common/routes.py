"""Endpoints with JSON bodies, independent of the transport."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from pydantic import ValidationError

from .const import CODE_BAD_REQUEST
from .errors import DogwoodspoolError
from .log import log_event
from .problems import first_problem
from .trace import span


@dataclass(frozen=True, slots=True)
class JsonRequest:
    """A request whose signature, where required, has been verified.

    Attributes:
        parameters: path parameters captured by the route's template.
    """

    path: str
    query: Mapping[str, str]
    body: Any
    parameters: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class JsonResponse:
    """A response; ``text`` replaces the JSON body for plain-text pages."""

    body: Mapping[str, Any] = field(default_factory=dict)
    status: int = 200
    text: str | None = None
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Route:
    """One endpoint.

    Attributes:
        method: HTTP method.
        path: exact path, or a template whose last segment is a name in braces,
            such as ``/servers/{name}``.
        handler: called in a thread of the server.
        is_open: whether the endpoint accepts unsigned requests, as a balancer's
            readiness check needs.
    """

    method: str
    path: str
    handler: Callable[[JsonRequest], JsonResponse]
    is_open: bool = False


def error_response(status: int, code: str, message: str) -> JsonResponse:
    """Build an error response in the format that ``JsonClient`` expects."""
    return JsonResponse({"error": code, "message": message}, status)


def answer(route: Route, request: JsonRequest, traceparent: str | None) -> JsonResponse:
    """Call the handler of a route; turn its errors into error responses."""
    try:
        if traceparent is None:
            return route.handler(request)
        with span(f"http {route.path}", traceparent=traceparent):
            return route.handler(request)
    except ValidationError as error:
        return error_response(400, CODE_BAD_REQUEST, first_problem(error))
    except DogwoodspoolError as error:
        return error_response(503, type(error).__name__, str(error))
    except Exception as error:  # noqa: BLE001
        # A bug in a handler must fail only its own request, not the thread.
        log_event("handler_failed", level="ERROR", path=route.path, error=repr(error))
        return error_response(500, "internal", type(error).__name__)
