"""The HTTP/1.1 server for the platform's clients.

`HttpServer` owns what the connections of its clients share: the memory budgets, the parser of the platform's
header fields and the recent request identifiers.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from stalltiller.adapters.http_client_connection import ClientConnection
from stalltiller.adapters.http_payload import SMALL_BODY_BYTES
from stalltiller.adapters.recent_request_ids import RecentRequestIds
from stalltiller.protocol.platform import RequestFields
from stalltiller.routing.engine import Engine
from stalltiller.scheduling import Settings
from stalltiller.transport.buffers import BufferPool, MemoryBudget
from stalltiller.transport.listener import Listener


class HttpServer:
    """Serves clients over HTTP/1.1; owns the state that their connections share.

    `is_ready` returns whether the initiator is ready.  `max_unread_response_bytes` bounds the responses that
    clients have not read, `max_request_body_bytes` the request bodies above SMALL_BODY_BYTES from their first
    byte until the response starts; each limit applies to all connections together.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        engine: Engine,
        buffers: BufferPool,
        settings: Settings,
        is_ready: Callable[[], bool],
        max_unread_response_bytes: int,
        max_request_body_bytes: int,
    ) -> None:
        self.loop = loop
        self.engine = engine
        self.buffers = buffers
        self.is_ready = is_ready
        self.unread_response_budget = MemoryBudget(max_unread_response_bytes)
        self.request_body_budget = MemoryBudget(max_request_body_bytes)
        self.recent_request_ids = RecentRequestIds(0.0)
        self.stopping = False
        self.update_settings(settings)

    def update_settings(self, settings: Settings) -> None:
        """Apply new settings from the next request on."""
        self.request_fields = RequestFields(settings)
        self.max_retry_after = settings.max_retry_after if settings.may_send_retry_after else 0.0
        self.longest_deadline = max(cls.deadline for cls in settings.classes)
        self.recent_request_ids.retention_seconds = self.longest_deadline

    def can_hold_response(self) -> bool:
        """Return whether another request may be taken, whose response its client may not read.

        Guards against a budget that is exceeded by responses to requests that were taken: they would have to
        be cut off.
        """
        max_bytes = (self.engine.open_request_count + 1) * SMALL_BODY_BYTES
        return self.unread_response_budget.can_reserve(max_bytes)

    def connection(self, listener: Listener) -> ClientConnection:
        """Return the protocol object of a new connection."""
        return ClientConnection(self, listener)
