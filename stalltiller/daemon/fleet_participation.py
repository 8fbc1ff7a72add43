"""Runs this initiator as a member of a fleet: membership, shared budgets and leases.

Not loaded on the platform, which configures no fleet.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from stalltiller.daemon.background_tasks import BackgroundTasks
from stalltiller.daemon.log import JsonLog
from stalltiller.fleet.config import FleetConfig
from stalltiller.fleet.membership_agent import MembershipAgent
from stalltiller.fleet.shared_budgets import SharedBudgets
from stalltiller.routing.engine import Engine
from stalltiller.transport.buffers import BufferPool

if TYPE_CHECKING:
    from stalltiller.daemon.lease_service import LeaseConfig, LeaseService
    from stalltiller.daemon.recovery_service import RecoveryService


class FleetParticipation:
    """Owns the membership agent and the services that use it."""

    def __init__(
        self,
        name: str,
        config: FleetConfig,
        engine: Engine,
        buffers: BufferPool,
        tasks: BackgroundTasks,
        log: JsonLog,
    ) -> None:
        self._name = name
        self._config = config
        self._engine = engine
        self._tasks = tasks
        self._log = log
        self.agent = MembershipAgent(
            name,
            config,
            buffers,
            engine.monitor,
            log,
            lambda: engine.open_request_count,
            engine.settings.initiator_index,
        )
        self.shared_budgets: SharedBudgets | None = None
        self.lease_service: LeaseService | None = None
        self._leave_task: asyncio.Task[None] | None = None

    async def join(self, recovery: RecoveryService | None, lease_config: LeaseConfig | None) -> None:
        """Open the agent and start the services; raises OSError if the address cannot be bound."""
        settings = self._engine.settings
        await self.agent.open()
        if recovery is not None:
            recovery.join_fleet(self.agent)
        if self._config.shares_budgets:
            self.shared_budgets = SharedBudgets(
                self.agent,
                settings.initiator_count,
                settings.rules.overload_window,
                self._engine.handle_peer_message,
            )
            self._engine.set_peer_network(self.shared_budgets)
        if lease_config is not None:
            from stalltiller.daemon.lease_service import LeaseService

            self.lease_service = LeaseService(self._name, lease_config, self.agent, self._log)

    def leave(self) -> None:
        """Announce in the background that this member leaves; it continues to serve requests."""
        if self._leave_task is None:
            if self.lease_service is not None:
                self.lease_service.release()
            self._leave_task = self._tasks.start(self.agent.leave())

    def totals(self) -> dict[str, float]:
        """Return the fleet's totals for metrics, if this member holds the lease to report them."""
        if self.lease_service is None:
            return {}
        return self.lease_service.fleet_totals()

    async def close(self) -> None:
        """Close the services, then the agent."""
        if self.lease_service is not None:
            await self.lease_service.close()
        if self.shared_budgets is not None:
            self.shared_budgets.close()
        self.agent.close()
