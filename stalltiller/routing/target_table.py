"""The targets on the current target list, and until when attempts may start at a draining target."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from stalltiller.routing.ports import Attempt, TargetEndpoint
from stalltiller.scheduling import TargetId, TargetListKind, TargetStatus

# No attempt starts within this margin before a drain grace ends: it could reach the target after the grace.
DRAIN_MARGIN_SECONDS = 0.1


class TargetTable:
    """Targets by id with their addresses.

    The drain grace of a target starts when an update first lists it as draining.  All times are on the clock
    that is passed in, in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._endpoints: dict[TargetId, TargetEndpoint] = {}
        self._drain_notified_at: dict[TargetId, float] = {}

    def __len__(self) -> int:
        return len(self._endpoints)

    def get(self, target_id: TargetId) -> TargetEndpoint | None:
        """Return the address of a target; None if it is not on the list."""
        return self._endpoints.get(target_id)

    def update(self, kind: TargetListKind, endpoints: Sequence[TargetEndpoint]) -> set[TargetId]:
        """Apply an update of the target list, which replaces the list unless it is a delta.

        Returns the targets that the update lists as draining or removed.
        """
        if kind is not TargetListKind.DELTA:
            current_ids = {endpoint.target.target_id for endpoint in endpoints}
            self._endpoints.clear()
            self._drain_notified_at = {
                target_id: notified_at
                for target_id, notified_at in self._drain_notified_at.items()
                if target_id in current_ids
            }
        for endpoint in endpoints:
            self._update_endpoint(endpoint)
        return {
            endpoint.target.target_id
            for endpoint in endpoints
            if endpoint.target.status is not TargetStatus.READY
        }

    def latest_start(self, target_id: TargetId, drain_grace: float) -> float | None:
        """Return the time from which no attempt may start at a target; None if it is not draining."""
        notified_at = self._drain_notified_at.get(target_id)
        return None if notified_at is None else notified_at + drain_grace - DRAIN_MARGIN_SECONDS

    def limit_start(self, attempt: Attempt, drain_grace: float) -> None:
        """Limit the start of an attempt in flight at a target that drains or is no longer listed.

        Without the limit, the first byte of an attempt whose connection is established late could reach its
        target after the grace.  The grace of a target that was removed without a drain starts now.
        """
        notified_at = self._drain_notified_at.get(attempt.target_id, self._clock())
        latest_start = notified_at + drain_grace - DRAIN_MARGIN_SECONDS
        if attempt.latest_start is not None:
            latest_start = min(latest_start, attempt.latest_start)
        attempt.latest_start = latest_start

    def _update_endpoint(self, endpoint: TargetEndpoint) -> None:
        target_id = endpoint.target.target_id
        if endpoint.target.status is TargetStatus.REMOVED:
            self._endpoints.pop(target_id, None)
        else:
            self._endpoints[target_id] = endpoint
        if endpoint.target.status is TargetStatus.DRAINING:
            self._drain_notified_at.setdefault(target_id, self._clock())
        else:
            self._drain_notified_at.pop(target_id, None)
