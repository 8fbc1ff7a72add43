"""The target list as the engine sees it: discovery's list, changed by what operators and peers say.

`TargetDirectory` owns the last list of discovery, the targets that operators detached and what peers
reported.  Each change reaches the engine as a target list update.
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
    """A detachment that is over; both are Unix times."""

    detached_at: float
    attached_at: float


class TargetDirectory:
    """Turns discovery's list into the engine's.

    A target detached by an operator drains for the engine, whatever discovery says, until it is attached
    again.  It was restarted meanwhile, so it counts as started then unless discovery reports a start since it
    was detached.
    """

    def __init__(self, engine: Engine, zones: list[str], kinds: list[str]) -> None:
        self._engine = engine
        self._zones = zones
        self._kinds = kinds
        self._endpoints: dict[TargetId, TargetEndpoint] = {}  # as discovery last reported them
        self.detached: dict[str, float] = {}  # when each was detached (Unix time)
        self._past_detachments: dict[str, _Detachment] = {}
        self._withheld: frozenset[str] = frozenset()  # reported by peers, as are the start times (Unix time)
        self._peer_start_times: dict[str, float] = {}

    def to_endpoint(self, target: discovery.TargetRecord) -> TargetEndpoint:
        """Convert a line of discovery's list; unknown zones and types share one index past the known ones."""
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
        """Apply a list of discovery, or a change of it, and pass it on to the engine."""
        endpoints = [self.to_endpoint(target) for target in listing.targets]
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
        """Return a listed target with what operators and peers say of it."""
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

    def apply_peer_state(self, withheld: frozenset[str], starts: dict[str, float]) -> None:
        """Withhold some listed targets and set the start of others (Unix time); all others are as listed."""
        changed = self._withheld | self._peer_start_times.keys() | withheld | starts.keys()
        self._withheld = withheld
        self._peer_start_times = starts
        self._notify_engine(sorted(changed))

    def has_target(self, name: str) -> bool:
        """Return whether a target is listed or detached."""
        return name in self._endpoints or name in self.detached

    def set_detached(self, detached: dict[str, float]) -> None:
        """Detach and attach targets so that exactly those named are detached, each since a Unix time."""
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
        """Pass on the state of those of the targets named that are listed."""
        changed = [self._apply_overrides(self._endpoints[name]) for name in names if name in self._endpoints]
        if changed:
            self._engine.update_targets(TargetListKind.DELTA, changed)
