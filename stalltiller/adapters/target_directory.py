"""The engine's target list: discovery's list with the overrides of operators and peers.

`TargetDirectory` owns the last list from discovery, the targets that operators detached and the overrides
reported by peers.  It passes each change to the engine as a target list update.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, replace

from stalltiller.protocol import discovery
from stalltiller.routing.engine import Engine
from stalltiller.routing.ports import TargetEndpoint
from stalltiller.scheduling import Target, TargetId, TargetListKind, TargetStatus


@dataclass(slots=True, frozen=True)
class _Detachment:
    """A detachment that has ended; both are Unix times."""

    detached_at: float
    attached_at: float


class _StableIndexes:
    """Indexes of names: the place in the settings' list; any other name keeps a free one of its own.

    Guards against taking two names that the settings lack for one: a keyed write would be retried in a zone
    that does not know its key.
    """

    def __init__(self, names: list[str]) -> None:
        self._indexes: dict[str, int] = {}
        for index, name in enumerate(names):
            self._indexes.setdefault(name, index)
        self._next_index = len(names)

    def index_of(self, name: str) -> int:
        """Return the index of a name."""
        if name not in self._indexes:
            self._indexes[name] = self._next_index
            self._next_index += 1
        return self._indexes[name]


class TargetDirectory:
    """Derives the engine's target list from discovery's.

    A target detached by an operator drains for the engine, whatever status discovery reports, until it is
    attached again.  It is assumed to have been restarted in between: its start time is then that of the
    attachment, unless discovery reports a start since the detachment.
    """

    def __init__(self, engine: Engine, zones: list[str], kinds: list[str]) -> None:
        self._engine = engine
        self._zones = _StableIndexes(zones)
        self._kinds = _StableIndexes(kinds)
        self._endpoints: dict[TargetId, TargetEndpoint] = {}  # as last reported by discovery
        self.detached: dict[str, float] = {}  # detachment times by name (Unix time)
        self._past_detachments: dict[str, _Detachment] = {}
        self._withheld: frozenset[str] = frozenset()  # targets that must drain according to peers
        self._peer_start_times: dict[str, float] = {}  # start times reported by peers (Unix time)

    def to_endpoint(self, target: discovery.TargetRecord) -> TargetEndpoint:
        """Convert an entry of discovery's list."""
        return TargetEndpoint(
            Target(
                target.name,
                self._zones.index_of(target.zone),
                self._kinds.index_of(target.kind),
                target.shard,
                target.status,
                target.weight,
                self._engine.to_scheduler_time(target.started_at),
            ),
            target.host,
            target.port,
        )

    def update(self, kind: TargetListKind, target_list: discovery.TargetList) -> None:
        """Apply a list from discovery, or a change to it, and pass it to the engine."""
        endpoints = [self.to_endpoint(target) for target in target_list.targets]
        if kind is not TargetListKind.DELTA:
            self._endpoints.clear()
        for endpoint in endpoints:
            if endpoint.target.status is TargetStatus.REMOVED:
                self._endpoints.pop(endpoint.target.target_id, None)
            else:
                self._endpoints[endpoint.target.target_id] = endpoint
        self._past_detachments = {
            name: detachment for name, detachment in self._past_detachments.items() if name in self._endpoints
        }
        self._engine.update_targets(kind, [self._apply_overrides(endpoint) for endpoint in endpoints])

    def _apply_overrides(self, endpoint: TargetEndpoint) -> TargetEndpoint:
        """Return a listed target with the overrides of operators and peers applied."""
        target = endpoint.target
        name = target.target_id
        must_drain = name in self.detached or name in self._withheld
        if must_drain and target.status is TargetStatus.READY:
            return replace(endpoint, target=replace(target, status=TargetStatus.DRAINING))
        if name in self._peer_start_times:
            start = self._engine.to_scheduler_time(self._peer_start_times[name])
            assert start is not None
            target = replace(target, started_at=max(start, target.started_at or start))
            endpoint = replace(endpoint, target=target)
        if name in self._past_detachments:
            detachment = self._past_detachments[name]
            detached_at = self._engine.to_scheduler_time(detachment.detached_at)
            attached_at = self._engine.to_scheduler_time(detachment.attached_at)
            assert detached_at is not None
            if target.started_at is None or target.started_at < detached_at:
                return replace(endpoint, target=replace(target, started_at=attached_at))
        return endpoint

    def apply_peer_state(self, withheld: frozenset[str], start_times: dict[str, float]) -> None:
        """Replace the overrides of peers: the targets to drain and the start times of others (Unix time)."""
        changed = self._withheld | self._peer_start_times.keys() | withheld | start_times.keys()
        self._withheld = withheld
        self._peer_start_times = start_times
        self._notify_engine(sorted(changed))

    def has_target(self, name: str) -> bool:
        """Return whether a target is listed or detached."""
        return name in self._endpoints or name in self.detached

    def set_detached(self, detached: dict[str, float]) -> None:
        """Detach and attach targets so that exactly those given are detached, each since a Unix time."""
        names = (*self.detached, *detached)
        changed = [name for name in names if (name in self.detached) != (name in detached)]
        for name in changed:
            if name in self.detached:
                self._past_detachments[name] = _Detachment(self.detached[name], time.time())
            else:
                self._past_detachments.pop(name, None)
        self.detached = detached
        self._notify_engine(changed)

    def _notify_engine(self, names: list[str]) -> None:
        """Update the engine's state of the named targets, except those that are not listed."""
        changed = [self._apply_overrides(self._endpoints[name]) for name in names if name in self._endpoints]
        if changed:
            self._engine.update_targets(TargetListKind.DELTA, changed)
