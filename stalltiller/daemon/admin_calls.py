"""Administration calls: the operators' HTTP requests to the admin address and their effects."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import orjson

if TYPE_CHECKING:
    from stalltiller.daemon.application import Application

# A call takes the request's body and returns whether it succeeded, or the response's body.  It raises OSError
# if its effect could not be persisted; the effect is then not applied.
AdminHandler = Callable[[str], bool | bytes]
MethodAndPath = tuple[str, str]


class AdminCalls:
    """Runs administration calls on one application.  Fleet calls fail on an initiator without a fleet."""

    def __init__(self, application: Application) -> None:
        self._application = application

    def routes(self) -> dict[MethodAndPath, AdminHandler]:
        """Return the calls, keyed by method and path of their requests."""
        return {
            ("GET", "/_ready"): self._is_ready,
            ("PUT", "/_targets/detach"): self._application.detached_targets.detach,
            ("PUT", "/_targets/attach"): self._application.detached_targets.attach,
            ("GET", "/_fleet/status"): self._fleet_status,
            ("GET", "/_fleet/members"): self._fleet_members,
            ("GET", "/_fleet/leases"): self._fleet_leases,
            ("PUT", "/_fleet/leave"): self._leave_fleet,
        }

    def _is_ready(self, _body: str) -> bool:
        return self._application.is_ready() and not self._application.stop.is_set()

    def _fleet_status(self, _body: str) -> bool | bytes:
        fleet = self._application.fleet
        if fleet is None:
            return False
        status = fleet.agent.status().to_json()
        recovery = self._application.recovery
        if recovery is not None:
            status.update(recovery.status())
        return orjson.dumps(status)

    def _fleet_members(self, _body: str) -> bool | bytes:
        fleet = self._application.fleet
        if fleet is None:
            return False
        return orjson.dumps(fleet.agent.members())

    def _fleet_leases(self, _body: str) -> bool | bytes:
        fleet = self._application.fleet
        if fleet is None or fleet.lease_service is None:
            return False
        return orjson.dumps(fleet.lease_service.status())

    def _leave_fleet(self, _body: str) -> bool:
        fleet = self._application.fleet
        if fleet is None:
            return False
        fleet.leave()
        return True
