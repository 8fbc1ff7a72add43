"""Encodes the polls of the discovery watch and decodes the responses (a `Codec` of `transport.watch`).

Tracks the known version of the target list and passes each received list to a callback.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from stalltiller.protocol import discovery, http

# Status codes with which discovery rejects a poll from a version that it does not know.
UNKNOWN_VERSION_STATUSES = (400, 404, 410, 416)


@dataclass(slots=True)
class _WatchState:
    """What the codecs of one watch share.

    `known_version` is None if no version is known; `list_count` counts the lists that were applied.
    """

    known_version: int | None
    may_wait: bool  # whether the next poll may wait: after the first response, or if none is needed soon
    list_count: int = 0


class WatchCodec:
    """Polls for changes since the known version, or for the full list if no version is known.

    `on_list` is called with each list or change.  `poll_wait` is how many seconds discovery may hold a poll
    until something changes.  `known_version` is the version of a target list known from before the start.

    Guards against a thundering herd: full lists for many initiators that restart at the same time overload
    discovery.  The first poll from a known version does not wait, which soon shows whether the known list is
    still valid; with `first_poll_may_wait` it does wait.
    """

    def __init__(
        self,
        host: str,
        on_list: Callable[[discovery.TargetList], None],
        poll_wait: float,
        known_version: int | None = None,
        first_poll_may_wait: bool = False,
    ) -> None:
        self._host = host
        self._on_list = on_list
        self._poll_wait = poll_wait
        self._state = _WatchState(known_version, first_poll_may_wait)
        self._reader = http.Reader(response=True, max_body_bytes=http.MAX_DISCOVERY_RESPONSE_BYTES)
        self._list_count_at_poll = 0

    def for_connection(self) -> WatchCodec:
        """Return a codec of the same watch for a connection of its own."""
        codec = WatchCodec(self._host, self._on_list, self._poll_wait)
        codec._state = self._state
        return codec

    def encode_poll(self, may_wait: bool = True) -> bytes:
        """Return the next poll.

        A poll with `may_wait` False, made after a poll that timed out, soon shows whether discovery is back.
        """
        self._reader.reset()
        self._list_count_at_poll = self._state.list_count
        wait_ms = round(self._poll_wait * 1000) if self._state.may_wait and may_wait else 0
        path = discovery.target_list_path(self._state.known_version, wait_ms)
        return http.encode_request("GET", path, {"Host": self._host}, b"")

    def feed(self, data: memoryview) -> int:
        """Parse bytes of a response and return how many were consumed; raises ValueError if malformed."""
        try:
            return self._reader.feed(data)
        except http.HttpError as error:
            raise ValueError(str(error)) from error

    def finish(self) -> bool | None:
        """Process a response if it is complete.

        Returns whether the connection stays open, None while the response is incomplete; raises ValueError if
        the response is not a target list or its changes do not apply to the known version.
        """
        if not self._reader.is_complete:
            return None
        head = self._reader.head
        assert head is not None
        if head.status in UNKNOWN_VERSION_STATUSES:
            self._state.known_version = None
        if head.status != 200:
            raise ValueError(f"discovery responded with status {head.status}")
        try:
            target_list = discovery.parse_target_list(bytes(self._reader.body))
        except discovery.DiscoveryError as error:
            raise ValueError(str(error)) from error
        if not self._is_superseded(target_list):
            self._apply(target_list)
        return head.keeps_alive()

    def _is_superseded(self, target_list: discovery.TargetList) -> bool:
        """Return whether the response to a later poll came first and is as new."""
        known_version = self._state.known_version
        has_other_list = self._state.list_count != self._list_count_at_poll
        return has_other_list and known_version is not None and target_list.version <= known_version

    def _apply(self, target_list: discovery.TargetList) -> None:
        state = self._state
        if not target_list.is_full and (
            state.known_version is None or target_list.version < state.known_version
        ):
            state.known_version = None  # the versions are not comparable: poll for the full list
            raise ValueError("target list changes do not apply to the known version")
        state.known_version = target_list.version
        state.may_wait = True
        state.list_count += 1
        self._on_list(target_list)
