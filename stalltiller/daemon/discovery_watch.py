"""Watches one discovery service at a time and passes its target lists to the engine."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from stalltiller.adapters.discovery_codec import WatchCodec
from stalltiller.adapters.target_directory import TargetDirectory
from stalltiller.daemon.background_tasks import BackgroundTasks
from stalltiller.daemon.config import format_address
from stalltiller.daemon.log import JsonLog
from stalltiller.protocol.discovery import TargetList
from stalltiller.routing.engine import Engine
from stalltiller.scheduling import TargetListKind
from stalltiller.transport.buffers import BufferPool
from stalltiller.transport.watch import BackoffPollPolicy, PollPolicy, Watch

if TYPE_CHECKING:
    from stalltiller.daemon.recovery_service import RecoveryService


class DiscoveryWatch:
    """The watch on the current address; `has_list` is set once discovery has responded."""

    def __init__(
        self,
        address: tuple[str, int],
        engine: Engine,
        directory: TargetDirectory,
        buffers: BufferPool,
        tasks: BackgroundTasks,
        log: JsonLog,
    ) -> None:
        self.address = address
        self.has_list = False
        self._engine = engine
        self._directory = directory
        self._buffers = buffers
        self._tasks = tasks
        self._log = log
        self._recovery: RecoveryService | None = None
        self._task: asyncio.Task[None] | None = None

    def set_recovery(self, recovery: RecoveryService) -> None:
        """Notify a recovery service of target lists and address changes, and use its poll policy."""
        self._recovery = recovery

    def start(self, known_version: int | None = None) -> None:
        """Watch for changes since a known list version, or without one start with a full list."""
        backoff_policy = self._backoff_policy()
        codec = WatchCodec(
            format_address(self.address),
            self._on_list,
            backoff_policy.poll_wait,
            known_version,
            self._recovery is not None and self._recovery.first_poll_may_wait,
        )
        poll_policy: PollPolicy = backoff_policy
        if self._recovery is not None:
            poll_policy = self._recovery.poll_policy(backoff_policy)
        watch = Watch(self.address, self._buffers, self._engine.monitor, codec, poll_policy, self._on_failure)
        self._task = self._tasks.start(watch.run())

    def change_address(self, address: tuple[str, int]) -> None:
        """Watch another address, starting with a full list: list versions are valid for one address only."""
        if address == self.address:
            return
        self.address = address
        if self._recovery is not None:
            self._recovery.change_discovery(format_address(address))
        if self._task is not None:
            self._task.cancel()
            self.start()

    def stop(self) -> None:
        """End the watch; the known target list remains in use."""
        if self._task is not None:
            self._task.cancel()

    def _backoff_policy(self) -> BackoffPollPolicy:
        settings = self._engine.settings
        age_limit = settings.rules.list_poll_interval
        if settings.list_pushed or not age_limit:
            return BackoffPollPolicy()
        return BackoffPollPolicy.for_remote_discovery(age_limit)

    def _on_list(self, target_list: TargetList) -> None:
        self.has_list = True
        if self._recovery is not None:
            self._recovery.handle_target_list(target_list)
        if not target_list.targets and not target_list.is_full:
            return  # no changes
        self._log(
            "list",
            index=target_list.version,
            whole=target_list.is_full,
            targets={target.name: target.status.value for target in target_list.targets},
        )
        kind = TargetListKind.FULL if target_list.is_full else TargetListKind.DELTA
        self._directory.update(kind, target_list)

    def _on_failure(self, error: Exception) -> None:
        self._engine.counts["watch_failures"] += 1
        self._log("discovery_failed", error=f"{type(error).__name__}: {error}")
