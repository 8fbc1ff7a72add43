"""Discovery's list of targets, for either front."""

from __future__ import annotations

from collections.abc import Callable

from stalltiller import interface as api
from stalltiller.protocol import discovery, http
from stalltiller.routing.engine import Engine
from stalltiller.routing.ports import Place

WAIT_MS = 5000  # that a watch call may wait: short enough to notice soon that discovery is silent
WATCH_TIMEOUT = WAIT_MS / 1000 + 1.0  # s


class Directory:
    """Turns discovery's list into the engine's."""

    def __init__(self, engine: Engine, zones: list[str], kinds: list[str]) -> None:
        self._engine, self._zones, self._kinds = engine, zones, kinds

    def place(self, target: discovery.Target) -> Place:
        zone = self._zones.index(target.zone) if target.zone in self._zones else len(self._zones)
        kind = self._kinds.index(target.kind) if target.kind in self._kinds else len(self._kinds)
        return Place(api.NodeEntry(target.name, zone, kind, target.cell, target.state, target.weight,
                                   self._engine.since(target.since)), target.host, target.port)

    def listed(self, kind: api.ListKind, listing: discovery.Listing) -> None:
        self._engine.listed(kind, [self.place(target) for target in listing.targets])


class WatchCodec:
    """Words the watch's calls: first for the whole list, then for what is newer."""

    def __init__(self, host: str, took: Callable[[discovery.Listing], None]) -> None:
        self._host, self._took = host, took
        self._reader = http.Reader(response=True, limit=http.MAX_ANSWER)
        self._index: int | None = None

    def call(self) -> bytes:
        self._reader.reset()
        path = discovery.list_path(self._index, WAIT_MS)
        return http.encode_request("GET", path, {"Host": self._host}, b"")

    def feed(self, data: memoryview) -> int:
        try:
            return self._reader.feed(data)
        except http.HttpError as error:
            raise ValueError(str(error)) from error

    def finish(self) -> bool | None:
        if not self._reader.done:
            return None
        head = self._reader.head
        if head.status != 200:
            raise ValueError(f"status {head.status}")
        try:
            listing = discovery.parse_listing(bytes(self._reader.body))
        except discovery.DiscoveryError as error:
            raise ValueError(str(error)) from error
        if self._index is None and not listing.whole:
            raise ValueError("changes came where the whole list was asked for")
        self._index = listing.index
        self._took(listing)
        return head.keeps_alive()
