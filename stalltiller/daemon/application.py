"""Assembles the components of one initiator, starts them and closes them in order."""

from __future__ import annotations

import asyncio
import resource
from collections.abc import Callable
from typing import TYPE_CHECKING

from stalltiller.adapters.admin_api import admin_listener
from stalltiller.adapters.recent_request_ids import RecentRequestIds
from stalltiller.adapters.target_directory import TargetDirectory
from stalltiller.daemon.admin_calls import AdminCalls
from stalltiller.daemon.background_tasks import BackgroundTasks
from stalltiller.daemon.claim_journal import FileClaimJournal
from stalltiller.daemon.config import Config, format_address
from stalltiller.daemon.detached_targets import DetachedTargets
from stalltiller.daemon.discovery_watch import DiscoveryWatch
from stalltiller.daemon.graceful_shutdown import GracefulShutdown
from stalltiller.daemon.log import JsonLog
from stalltiller.daemon.loop_heartbeat import LoopHeartbeat
from stalltiller.daemon.metrics import MetricsExporter
from stalltiller.daemon.process_handover import ProcessHandover
from stalltiller.daemon.protocol_adapters import build_adapters
from stalltiller.daemon.resource_limits import divide_resources
from stalltiller.daemon.settings_reload import SettingsReloader
from stalltiller.protocol.discovery import TargetList
from stalltiller.routing.drain_schedule import MAX_ACCEPTING_SECONDS
from stalltiller.routing.engine import Engine
from stalltiller.scheduling import TargetListKind
from stalltiller.transport.buffers import BufferPool
from stalltiller.transport.listener import Listener

if TYPE_CHECKING:
    from stalltiller.daemon.fleet_participation import FleetParticipation
    from stalltiller.daemon.recovery_service import RecoveryService
    from stalltiller.fleet.config import FleetConfig

ACCEPT_LOCK_POLL_INTERVAL_SECONDS = 0.01
PREDECESSOR_POLL_INTERVAL_SECONDS = 0.5
SHARING_MARGIN_SECONDS = 1.0  # for a process before this one that ends late
MAX_DISCOVERY_WAIT_SECONDS = 1.0  # if discovery has not responded by then, the known target list is used
COUNTERS_INTERVAL_SECONDS = 5.0  # between log lines with the counters


class Application:
    """One initiator: `run` serves until `stop` is set."""

    def __init__(
        self,
        config: Config,
        log: JsonLog,
        loop: asyncio.AbstractEventLoop,
        is_tracing: bool = False,
    ) -> None:
        self._log = log
        self._loop = loop
        self.stop = asyncio.Event()
        self.started = asyncio.Event()
        self.fleet: FleetParticipation | None = None
        self.recovery: RecoveryService | None = None
        self._tasks = BackgroundTasks(loop)
        self._heartbeat = LoopHeartbeat(loop)
        self._periodic_tasks: list[asyncio.Task[None]] = []
        self._build_data_path(config, is_tracing)
        self._build_control_path(config)
        self._discovery_wait_ends_at = loop.time() + MAX_DISCOVERY_WAIT_SECONDS

    def _build_data_path(self, config: Config, is_tracing: bool) -> None:
        """Build the request path: listener, server, engine and target client."""
        self.buffers = BufferPool()
        self.engine = Engine(
            config.settings,
            config.seed,
            self._loop,
            self._log,
            self._log if is_tracing else None,
            config.stream_idle_timeout,
        )
        limits = divide_resources(config.max_descriptors, config.memory_bytes)
        self._adapters = build_adapters(
            config, limits, self._loop, self.engine, self.buffers, self.is_ready, self._log
        )
        self.server = self._adapters.server
        self.target_client = self._adapters.target_client
        self.engine.target_client = self.target_client
        self.listener = Listener(
            self.server.connection,
            limits.max_client_connections,
            limits.usual_client_connections,
        )

    def _build_control_path(self, config: Config) -> None:
        """Build what controls the request path: target list, settings, administration calls, shutdown."""
        directory = TargetDirectory(self.engine, config.zones, config.kinds)
        self._directory = directory
        self._handover = ProcessHandover(config.handover_folder, config.name)
        self.detached_targets = DetachedTargets(self._handover, directory, self._log)
        self.discovery_watch = DiscoveryWatch(
            config.discovery, self.engine, directory, self.buffers, self._tasks, self._log
        )
        self.settings_reloader = SettingsReloader(
            config, self.engine, self._adapters, self.discovery_watch, self._loop, self._log
        )
        self.admin = admin_listener(self.buffers, self.engine.monitor, AdminCalls(self).routes())
        self._metrics = MetricsExporter(config, self.sample, self._loop, self._tasks)
        self._shutdown = GracefulShutdown(
            self._loop, self.engine, self._adapters, self.listener, self._handover, self._log
        )

    async def run(self) -> None:
        """Serve until `stop` is set, then drain the open requests; raises OSError."""
        config = self.settings_reloader.config
        self._heartbeat.start()
        async with self._tasks:
            await self._open(config)
            self._start_background_work()
            await self._start_recovery()
            self._log("started", listen=format_address(self.listener.address))
            self.started.set()
            try:
                await self.stop.wait()
                self._log("stopping", open=self.engine.open_request_count)
                if self.fleet is not None:
                    self.fleet.leave()
                await self._shutdown.drain(has_successor=config.inherited_descriptor is not None)
            finally:
                await self._close()
            if self.recovery is not None:
                await self.recovery.stop()
            self._log("stopped", **self.engine.counts)

    def terminate(self) -> None:
        """Begin to shut down; the time counts from when the signal that is handled now may have been sent."""
        self._shutdown.begin_drain(self._heartbeat.earliest_signal_time())
        self.stop.set()

    def reload(self, read_config: Callable[[], Config]) -> None:
        """Read the configuration again; see SettingsReloader."""
        self.settings_reloader.reload(read_config)

    def is_ready(self) -> bool:
        """Return whether the known target list is good enough to serve from."""
        has_list = self.discovery_watch.has_list or self._loop.time() >= self._discovery_wait_ends_at
        return has_list and (self.recovery is None or self.recovery.is_ready())

    def sample(self) -> dict[str, float]:
        """Return all metrics: the gauges listed in GAUGES; all others are counters."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "open": self.engine.open_request_count,
            "clients": len(self.listener),
            "shed": self.listener.shed_count,
            "connections": self.target_client.pool.opened_count,
            "memory_kb": usage.ru_maxrss,
            "cpu_ms": round((usage.ru_utime + usage.ru_stime) * 1000),
            "timers": self.engine.timer_count,
            "monitored_transfers": len(self.engine.monitor),
            "request_bytes": self._adapters.reserved_request_bytes,
            "log_dropped": self._log.dropped,
            **(self.recovery.metrics() if self.recovery is not None else {}),
            **(self.fleet.totals() if self.fleet is not None else {}),
            **self.engine.counts,
        }

    # --- Start --------------------------------------------------------------------------------------
    async def _open(self, config: Config) -> None:
        """Restore persisted state, open the listeners and join the fleet."""
        self.detached_targets.load()
        target_list = self._restore_target_list(config)
        if target_list is not None:
            self._directory.update(TargetListKind.CACHED, target_list)
        if config.admin is not None:
            await self.admin.open(*config.admin)
            self._log("admin", listen=format_address(self.admin.address))
        # A reload may have changed discovery's address meanwhile; the known version is meaningless there.
        has_address_changed = self.discovery_watch.address != config.discovery
        self.discovery_watch.start(
            None if target_list is None or has_address_changed else target_list.version
        )
        if config.inherited_descriptor is not None:
            await self._wait_for_lock()
        await self.listener.open(*config.listen, config.inherited_descriptor)
        if config.fleet is not None:
            await self._join_fleet(config, config.fleet)

    def _restore_target_list(self, config: Config) -> TargetList | None:
        """Open the recovery service and return the newest target list known before discovery responds."""
        if config.recovery is None:
            return config.initial_target_list
        from stalltiller.daemon.recovery_service import RecoveryService  # not imported on the platform

        self.recovery = RecoveryService(
            config.recovery,
            config.name,
            format_address(config.discovery),
            self.engine,
            self._directory,
            config.fleet is not None,
            self._log,
        )
        self.discovery_watch.set_recovery(self.recovery)
        return self.recovery.initial_target_list(config.initial_target_list)

    async def _wait_for_lock(self) -> None:
        """Wait until the process that shares the listening socket accepts no more clients.

        Guards against two processes that each use this initiator's whole share of the plans' limits.
        """
        while not self._handover.acquire_lock() and not self.stop.is_set():
            await asyncio.sleep(ACCEPT_LOCK_POLL_INTERVAL_SECONDS)
        self._share_request_ids()
        self.engine.activate()

    def _share_request_ids(self) -> None:
        """Reject identifiers that the process before has claimed, or claims until it has ended."""
        recent_ids = self._adapters.recent_request_ids
        if recent_ids is None:
            return
        journal = self._handover.adopt_claims(
            recent_ids, lambda error: self._log("request_ids_not_shared", error=str(error))
        )
        if journal is not None:
            self._tasks.start(self._follow_predecessor(recent_ids, journal))

    async def _follow_predecessor(self, recent_ids: RecentRequestIds, journal: FileClaimJournal) -> None:
        """Share identifiers while the process before takes requests, and keep its own until it has ended.

        A process of an older version does not tell: it takes no more requests after the time waited for here.
        """
        await asyncio.sleep(MAX_ACCEPTING_SECONDS + SHARING_MARGIN_SECONDS)
        while journal.may_other_claim():
            await asyncio.sleep(PREDECESSOR_POLL_INTERVAL_SECONDS)
        self._handover.stop_claiming(recent_ids, journal)
        while not journal.has_other_ended():
            await asyncio.sleep(PREDECESSOR_POLL_INTERVAL_SECONDS)
        self._handover.end_sharing(recent_ids, journal)

    async def _join_fleet(self, config: Config, fleet_config: FleetConfig) -> None:
        from stalltiller.daemon.fleet_participation import FleetParticipation  # not imported on the platform

        self.fleet = FleetParticipation(
            config.name, fleet_config, self.engine, self.buffers, self._tasks, self._log
        )
        await self.fleet.join(self.recovery, config.leases)

    def _start_background_work(self) -> None:
        self._periodic_tasks = [
            self._tasks.start(self._report_counters()),
            self._tasks.start(self.detached_targets.follow_other_process()),
        ]
        self._metrics.start()

    async def _start_recovery(self) -> None:
        if self.recovery is not None:
            await asyncio.sleep(0)  # the scheduler receives the target list in this iteration of the loop
            self.recovery.start(self.is_ready)

    async def _report_counters(self) -> None:
        while True:
            await asyncio.sleep(COUNTERS_INTERVAL_SECONDS)
            self._log("counters", **self.sample())

    # --- Shutdown -----------------------------------------------------------------------------------
    async def _close(self) -> None:
        """Close everything except the recovery service, which saves its state after the last request."""
        self._heartbeat.stop()
        self._metrics.close()
        self.listener.close()
        self.admin.close()
        self.discovery_watch.stop()
        for task in self._periodic_tasks:
            task.cancel()
        self.target_client.pool.close()
        self.engine.monitor.close()
        if self.fleet is not None:
            await self.fleet.close()
