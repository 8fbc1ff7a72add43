"""Discovery's list of targets, for either front."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace

from stalltiller.protocol import discovery, http
from stalltiller.routing.engine import Engine
from stalltiller.routing.ports import TargetEndpoint
from stalltiller.scheduling import Target, TargetListKind, TargetStatus

UNKNOWN_VERSION = (400, 404, 410, 416)  # answers to a call from a version that discovery does not know


class TargetDirectory:
    """Turns discovery's list into the engine's.

    A target taken out by hand drains for the engine, whatever discovery says, until it is put back.  It was
    restarted meanwhile, so it counts as started then unless discovery tells a start since it was taken out.
    """

    def __init__(self, engine: Engine, zones: list[str], kinds: list[str]) -> None:
        self._engine, self._zones, self._kinds = engine, zones, kinds
        self._listed: dict[str, TargetEndpoint] = {}  # as discovery last told
        self.detached: dict[str, float] = {}  # taken out: when (Unix time)
        self._back: dict[str, tuple[float, float]] = {}  # put back: when taken out and when put back
        self._withheld: frozenset[str] = frozenset()  # on the word of peers, as are later starts (Unix time)
        self._starts: dict[str, float] = {}

    def to_endpoint(self, target: discovery.TargetRecord) -> TargetEndpoint:
        zone = self._zones.index(target.zone) if target.zone in self._zones else len(self._zones)
        kind = self._kinds.index(target.kind) if target.kind in self._kinds else len(self._kinds)
        return TargetEndpoint(
            Target(
                target.name,
                zone,
                kind,
                target.shard,
                target.status,
                target.weight,
                self._engine.to_scheduler_time(target.started_at),
            ),
            target.host,
            target.port,
        )

    def update(self, kind: TargetListKind, listing: discovery.TargetList) -> None:
        places = [self.to_endpoint(target) for target in listing.targets]
        if kind is not TargetListKind.DELTA:
            self._listed.clear()
        for place in places:
            if place.target.status is TargetStatus.REMOVED:
                self._listed.pop(place.target.target_id, None)
            else:
                self._listed[place.target.target_id] = place
        self._back = {name: times for name, times in self._back.items() if name in self._listed}
        self._engine.update_targets(kind, [self._ours(place) for place in places])

    def _ours(self, place: TargetEndpoint) -> TargetEndpoint:
        entry = place.target
        if (
            entry.target_id in self.detached or entry.target_id in self._withheld
        ) and entry.status is TargetStatus.READY:
            return replace(place, target=replace(entry, status=TargetStatus.DRAINING))
        if entry.target_id in self._starts:
            start = self._engine.to_scheduler_time(self._starts[entry.target_id])
            entry = replace(entry, started_at=max(start, entry.started_at or start))
            place = replace(place, target=entry)
        if entry.target_id in self._back:
            left, back = map(self._engine.to_scheduler_time, self._back[entry.target_id])
            if entry.started_at is None or entry.started_at < left:
                return replace(place, target=replace(entry, started_at=back))
        return place

    def apply_peer_state(self, withheld: frozenset[str], starts: dict[str, float]) -> None:
        """Hold back some listed targets, and take others to have started at a Unix time: only these."""
        changed = self._withheld | self._starts.keys() | withheld | starts.keys()
        self._withheld, self._starts = withheld, starts
        told = [self._ours(self._listed[name]) for name in sorted(changed) if name in self._listed]
        if told:
            self._engine.update_targets(TargetListKind.DELTA, told)

    def has_target(self, name: str) -> bool:
        return name in self._listed or name in self.detached

    def set_detached(self, out: dict[str, float]) -> None:
        """Take out and put back targets, so that those named are out, each since a Unix time."""
        changed = [name for name in (*self.detached, *out) if (name in self.detached) != (name in out)]
        for name in changed:
            if name in self.detached:
                self._back[name] = (self.detached[name], time.time())
            else:
                self._back.pop(name, None)
        self.detached = out
        told = [self._ours(self._listed[name]) for name in changed if name in self._listed]
        if told:
            self._engine.update_targets(TargetListKind.DELTA, told)


class WatchCodec:
    """Words the watch's calls: from the version known, or for the whole list, then for what is newer.

    Guards against a stampede: whole lists for all who come back at once overbook discovery.  From a known
    version the first call does not wait, so that it is soon clear whether the list known is still good; with
    `first_waits` it does.
    """

    def __init__(
        self,
        host: str,
        took: Callable[[discovery.TargetList], None],
        wait: float,
        index: int | None = None,
        first_waits: bool = False,
    ) -> None:
        self._host, self._took, self._wait_ms = host, took, round(wait * 1000)
        self._reader = http.Reader(response=True, limit=http.MAX_ANSWER)
        self._index = index
        self._heard = first_waits  # whether there was an answer so far, or none is needed soon

    def call(self, waits: bool = True) -> bytes:
        """The next call.  One that follows a silent one does not wait: it shows soon whether that is over."""
        self._reader.reset()
        path = discovery.list_path(self._index, self._wait_ms if self._heard and waits else 0)
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
        if head.status in UNKNOWN_VERSION:
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
        self._index, self._heard = listing.version, True
        self._took(listing)
        return head.keeps_alive()
