"""Encodes the calls of the discovery watch and decodes their answers (the `Codec` of `transport.watch`).

Owns the version of the target list that is known; a list that was read goes to its callback.
"""

from __future__ import annotations

from collections.abc import Callable

from stalltiller.protocol import discovery, http

# Status codes by which discovery answers a call that starts from a version which it does not know.
UNKNOWN_VERSION_STATUSES = (400, 404, 410, 416)


class WatchCodec:
    """Encodes each call from the version known, or for the whole list at first.

    `on_list` is called with each list or change; `poll_wait` is the time in seconds for which discovery may
    hold a call back until something changes; `index` is the version known from before.

    Guards against a stampede: whole lists for all initiators that restart at once overload discovery.  From
    a known version the first call does not wait, so that it is soon clear whether the list known is still
    valid; with `first_waits` it does.
    """

    def __init__(
        self,
        host: str,
        on_list: Callable[[discovery.TargetList], None],
        poll_wait: float,
        index: int | None = None,
        first_waits: bool = False,
    ) -> None:
        self._host = host
        self._on_list = on_list
        self._poll_wait_ms = round(poll_wait * 1000)
        self._reader = http.Reader(response=True, limit=http.MAX_ANSWER)
        self._index = index
        self._may_wait = first_waits  # once there was an answer, or if none is needed soon

    def call(self, waits: bool = True) -> bytes:
        """Return the next call.

        One that follows a call without an answer does not wait: it shows soon whether discovery is back.
        """
        self._reader.reset()
        wait_ms = self._poll_wait_ms if self._may_wait and waits else 0
        path = discovery.list_path(self._index, wait_ms)
        return http.encode_request("GET", path, {"Host": self._host}, b"")

    def feed(self, data: memoryview) -> int:
        """Parse bytes of an answer and return how many were consumed; raises ValueError if malformed."""
        try:
            return self._reader.feed(data)
        except http.HttpError as error:
            raise ValueError(str(error)) from error

    def finish(self) -> bool | None:
        """Process an answer if it is complete.

        Returns whether the connection stays open, None while the answer is incomplete; raises ValueError if
        the answer is no list or does not follow the version known.
        """
        if not self._reader.done:
            return None
        head = self._reader.head
        assert head is not None
        if head.status in UNKNOWN_VERSION_STATUSES:
            self._index = None
        if head.status != 200:
            raise ValueError(f"status {head.status}")
        try:
            listing = discovery.parse_target_list(bytes(self._reader.body))
        except discovery.DiscoveryError as error:
            raise ValueError(str(error)) from error
        if not listing.is_full and (self._index is None or listing.version < self._index):
            self._index = None  # its versions are not those known: only the whole list helps
            raise ValueError("changes came that do not follow the list known")
        self._index = listing.version
        self._may_wait = True
        self._on_list(listing)
        return head.keeps_alive()
