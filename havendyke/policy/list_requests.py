"""Requests the endpoint list in deployments where discovery sends it only on request."""

from math import inf

from ..interface import RequestEndpointList, Settings
from ..state.server import NEVER_MS

# A failed request is retried after this share of the request timeout.
RETRY_SHARE = 1 / 4


class EndpointListRequester:
    """Requests the endpoint list at startup, and again after each failure."""

    def __init__(self, settings: Settings) -> None:
        self._retry_ms = settings.list_request_timeout_ms * RETRY_SHARE
        self._next_request_ms = NEVER_MS if settings.list_on_request else inf

    def request_failed(self, now_ms: float) -> None:
        """Schedules a retry after a request that brought no list."""
        self._next_request_ms = now_ms + self._retry_ms

    def due(self, now_ms: float) -> list[RequestEndpointList]:
        """Returns the request if one is due now."""
        if now_ms < self._next_request_ms:
            return []
        self._next_request_ms = inf
        return [RequestEndpointList()]
