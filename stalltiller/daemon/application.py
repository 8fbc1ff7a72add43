"""Wires the parts of one initiator together, runs it and ends it."""

from __future__ import annotations

import asyncio
import resource
import time
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

import orjson

from stalltiller.adapters.admin_api import admin_listener
from stalltiller.adapters.http_server import HttpServer, HttpTargetClient
from stalltiller.adapters.nvme_controller import NvmeController
from stalltiller.adapters.nvme_mapping import Mapping
from stalltiller.adapters.nvme_target_client import NvmeTargetClient
from stalltiller.adapters.target_directory import TargetDirectory, WatchCodec
from stalltiller.daemon.config import Config, ConfigError, MissingKeyError
from stalltiller.daemon.log import JsonLog
from stalltiller.daemon.metrics import MetricsExporter
from stalltiller.daemon.process_handover import ProcessHandover
from stalltiller.daemon.settings_reload import SETTLE_SECONDS, merge_settings, transitional_settings
from stalltiller.protocol.discovery import TargetList
from stalltiller.routing.engine import Engine
from stalltiller.scheduling import Settings, TargetListKind
from stalltiller.transport.buffers import BufferPool
from stalltiller.transport.listener import Listener
from stalltiller.transport.watch import BackoffPollPolicy, Watch

if TYPE_CHECKING:
    from stalltiller.daemon.lease_service import LeaseService
    from stalltiller.daemon.recovery_service import RecoveryService
    from stalltiller.fleet.config import FleetConfig
    from stalltiller.fleet.membership_agent import MembershipAgent
    from stalltiller.fleet.shared_budgets import SharedBudgets

TURN_EVERY = 0.01  # s between looks whether the process before still takes clients
LOOK_EVERY = 0.2  # s between looks whether the other process has taken targets out
READY_AFTER = 1.0  # s without word of discovery after which the list known before has to do
REPORT_EVERY = 5.0  # s between log lines with the counters
STILL_LISTENING = 0.5  # s after SIGTERM for which it stays though nothing is open: clients learn of it late
LONGEST_STOP = 3.0  # s: of a stop, a deadline longer than this counts as this
STOP_GRACE = 0.1  # s past that, counted from SIGTERM, at which all is answered and the program ends
CLOSING_TIME = 0.5  # s before its end at which it starts to close what clients keep open
LAST_WORDS = 0.4  # s past its end in which clients read the last answers and close
OWN_SOCKETS = 88  # descriptors for the program, discovery, operators, and clients about to be turned away
OWN_SHARE = 0.625  # of all descriptors: the most that these take where there are few
USUAL_SHARE = 5  # of all descriptors: a part in so many for clients is usual; they may hold a third
TARGET_SHARE = 0.45  # of the descriptors, for targets
OWN_MEMORY = 24 * 1024 * 1024  # bytes of the program itself and what is small
ANSWER_SHARE = 0.2  # of the memory left: for answers coming in, and as much for what clients do not read
BODY_SHARE = 0.5  # of the memory left: for the long bodies of requests
NVME_SHARE = 0.3  # of the memory left: for the data of commands, and as much for what hosts do not read
LEAST_SHARE = 2 * 1024 * 1024  # bytes: in any case


def join(host: str, port: int) -> str:
    return f"{host}:{port}"


class Application:
    """One initiator on the platform."""

    def __init__(
        self, config: Config, log: JsonLog, loop: asyncio.AbstractEventLoop, trace: bool = False
    ) -> None:
        self._config, self._log, self._loop = config, log, loop
        self.buffers = BufferPool()
        self.engine = Engine(config.settings, config.seed, loop, log, log if trace else None)
        common = (loop, self.engine, self.buffers)
        descriptors = min(config.max_descriptors, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        sockets = descriptors - min(OWN_SOCKETS, int(descriptors * OWN_SHARE))
        targets = max(16, int(sockets * TARGET_SHARE))
        channels = (config.connect_timeout, config.idle_timeout, targets, log)
        answers, bodies, commands = (
            max(LEAST_SHARE, int((config.memory_bytes - OWN_MEMORY) * share))
            for share in (ANSWER_SHARE, BODY_SHARE, NVME_SHARE)
        )
        if config.nvme is None:
            self.server = HttpServer(*common, config.settings, self.is_ready, answers, bodies)
            self.target_client = HttpTargetClient(*common, *channels, config.settings, answers)
        else:
            self.server = NvmeController(*common, config.settings, config.name, config.nvme, log, commands)
            self.target_client = NvmeTargetClient(*common, *channels, config.name, config.nvme)
        self.engine.target_client = self.target_client
        self._directory = TargetDirectory(self.engine, config.zones, config.kinds)
        self._handover = ProcessHandover(config.handover_folder, config.name)
        self.admin = admin_listener(
            self.buffers,
            {
                ("GET", "/_ready"): lambda _: self.is_ready() and not self.stop.is_set(),
                ("PUT", "/_targets/detach"): lambda name: self._take_out(name, True),
                ("PUT", "/_targets/attach"): lambda name: self._take_out(name, False),
                ("GET", "/_fleet/status"): lambda _: self.fleet
                and orjson.dumps(
                    {**self.fleet.status(), **(self.recovery.status() if self.recovery else {})}
                ),
                ("GET", "/_fleet/members"): lambda _: self.fleet and orjson.dumps(self.fleet.members()),
                ("GET", "/_fleet/leases"): lambda _: self.lease_service
                and orjson.dumps(self.lease_service.status()),
                ("PUT", "/_fleet/leave"): self._leave_fleet,
            },
        )
        self.fleet: MembershipAgent | None = None
        self.shared_budgets: SharedBudgets | None = None
        self.recovery: RecoveryService | None = None
        self.lease_service: LeaseService | None = None
        self._leaving: asyncio.Task | None = None
        usual = descriptors // USUAL_SHARE
        self.listener = Listener(self.server.connection, max(16, sockets - targets), usual)
        self._ready_at = loop.time() + READY_AFTER
        self._listed = False
        self._discovery = config.discovery
        self._settling: asyncio.TimerHandle | None = None  # until settings read anew hold in full
        self._watching: asyncio.Task | None = None
        self.stop = asyncio.Event()
        self.started = asyncio.Event()

    async def run(self) -> None:
        """Serve until `stop` is set, then until all is answered."""
        config = self._config
        self._directory.set_detached(self._handover.load())
        known = config.initial_target_list
        if config.recovery is not None:
            from stalltiller.daemon.recovery_service import (
                RecoveryService,
            )  # the platform's start does without it

            self.recovery = RecoveryService(
                config.recovery,
                config.name,
                join(*config.discovery),
                self.engine,
                self._directory,
                config.fleet is not None,
                self._log,
            )
            known = self.recovery.known(known)
        if known is not None:
            self._directory.update(TargetListKind.CACHED, known)
        if config.admin is not None:
            await self.admin.open(*config.admin)
            self._log("admin", listen=join(*self.admin.address))
        moved = self._discovery != config.discovery  # by a SIGHUP meanwhile: other versions count there
        self._watch(None if known is None or moved else known.version)
        if config.inherited_descriptor is not None:
            await self._own_turn()
        await self.listener.open(*config.listen, config.inherited_descriptor)
        if config.fleet is not None:
            await self._join_fleet(config.fleet)
        tasks = [self._loop.create_task(work) for work in (self._report(), self._follow())]
        metrics = MetricsExporter(config, self.sample, self._loop)
        metrics.start()
        if self.recovery is not None:
            await asyncio.sleep(0)  # a turn of the loop, in which the decisions hear of the list
            self.recovery.begin(self.is_ready)
        self._log("started", listen=join(*self.listener.address))
        self.started.set()
        try:
            await self.stop.wait()
            self._log("stopping", open=self.engine.open_request_count)
            self._leave_fleet()
            await self._drain()
        finally:
            metrics.close()
            self.listener.close()
            self.admin.close()
            for task in (self._watching, *tasks):
                task.cancel()
            self.target_client.pool.close()
            if self.lease_service is not None:
                await self.lease_service.close()
            if self.shared_budgets is not None:
                self.shared_budgets.close()
            if self.fleet is not None:
                self.fleet.close()
        if self.recovery is not None:
            await self.recovery.end()
        self._log("stopped", **self.engine.counts)

    async def _own_turn(self) -> None:
        """Wait until the process that shares the listening socket takes no more clients.

        Guards against two processes that each spend the whole of this initiator's part of the limits.
        """
        while not self._handover.acquire_lock() and not self.stop.is_set():
            await asyncio.sleep(TURN_EVERY)
        self.engine.activate()

    def _take_out(self, name: str, out: bool) -> bool:
        """Take a target out or put it back; whether it is known.  OSError: it can't be kept, so not done."""
        if not self._directory.has_target(name):
            return False
        now = self._handover.load() if self._handover.has_changed() else dict(self._directory.detached)
        if out:
            now.setdefault(name, time.time())
        else:
            now.pop(name, None)
        self._handover.save(now)
        self._directory.set_detached(now)
        self._log("taken_out" if out else "put_back", target=name)
        return True

    async def _join_fleet(self, config: FleetConfig) -> None:
        from stalltiller.fleet.membership_agent import MembershipAgent
        from stalltiller.fleet.shared_budgets import SharedBudgets  # the platform's start does without them

        settings = self.engine.settings
        self.fleet = MembershipAgent(
            self._config.name,
            config,
            self.buffers,
            self._log,
            lambda: self.engine.open_request_count,
            settings.initiator_index,
        )
        await self.fleet.open()
        if self.recovery is not None:
            self.recovery.joined(self.fleet)
        if config.share:
            self.shared_budgets = SharedBudgets(
                self.fleet,
                settings.initiator_count,
                settings.rules.overload_window,
                self.engine.handle_peer_message,
            )
            self.engine.set_peer_network(self.shared_budgets)
        if self._config.leases is not None:
            from stalltiller.daemon.lease_service import LeaseService

            self.lease_service = LeaseService(self._config.name, self._config.leases, self.fleet, self._log)

    def _leave_fleet(self, _: str = "") -> bool:
        """Have the others know that this one leaves; it serves on meanwhile."""
        if self.fleet is None:
            return False
        if self._leaving is None:
            if self.lease_service is not None:
                self.lease_service.release()
            self._leaving = self._loop.create_task(self.fleet.leave())
        return True

    async def _follow(self) -> None:
        """Do as the other process of this initiator was told, while there are two."""
        while True:
            await asyncio.sleep(LOOK_EVERY)
            if self._handover.has_changed():
                self._directory.set_detached(self._handover.load())

    async def _drain(self) -> None:
        """Serve on, then close connection by connection, and end when nothing is left or time is up.

        Guards against standing idle: clients of this initiator have no other way to their data, and its next
        start waits for no early end.  Whoever stops it gives it the longest deadline, of 3 s at most.
        """
        longest = max(cls.deadline for cls in self.engine.settings.classes)
        end = self._loop.time() + min(longest, LONGEST_STOP) + STOP_GRACE
        self.listener.keep_idle = True
        if self._config.inherited_descriptor is not None:
            # Whoever holds the socket next serves what comes on new connections; here each answer ends one.
            await self.listener.stop(take_in=False)
            self.server.stopping = True
            self.engine.deactivate()
            self._handover.release_lock()
        await asyncio.sleep(STILL_LISTENING)
        while self._loop.time() < end - CLOSING_TIME and self._in_use():
            await asyncio.sleep(0.02)
        # What waits to be accepted now is served too.
        await self.listener.stop(take_in=self._config.inherited_descriptor is None)
        self.server.stopping = True  # from now on each answer ends its connection
        while self._loop.time() < end and self._in_use():
            self.listener.close_idle()
            await asyncio.sleep(0.02)
        self.engine.finish_all()
        while self._loop.time() < end + LAST_WORDS and len(self.listener):
            self.listener.close_idle()
            await asyncio.sleep(0.01)
        self.listener.abort_partial_responses()
        await asyncio.sleep(0)

    def _in_use(self) -> bool:
        return self.engine.open_request_count > 0 or len(self.listener) > 0

    def reload(self, read: Callable[[], Config]) -> None:
        """Read the configuration anew; a new address of discovery is watched at once, from its whole list on.

        Guards against an end by SIGHUP, whose default it is, and against a file that can't be read or lacks
        what the one before had: then all stays as it was.  Settings change in two steps, since clients learn
        of them late.  Addresses, limits and sinks wait for the next start.
        """
        try:
            config = read()
            missing = sorted(self._config.required_keys - config.required_keys)
            if missing:
                raise MissingKeyError(missing[0])
        except ConfigError as error:
            self._log("reload_failed", error=str(error))
            return
        if (self._config.nvme is None) != (config.nvme is None):
            config = replace(config, nvme=self._config.nvme)  # another wire waits for the next start
        config = replace(config, settings=merge_settings(self.engine.settings, config.settings))
        address = config.discovery
        self._log("reloaded", discovery=join(*address), classes=[cls.name for cls in config.settings.classes])
        settling = self._settling is not None  # what the file before brought does not hold in full yet
        if settling:
            self._settling.cancel()
        if settling or config.settings != self.engine.settings or config.nvme != self._config.nvme:
            self._retune(transitional_settings(self.engine.settings, config.settings))
            self._settling = self._loop.call_later(
                SETTLE_SECONDS, self._settled, config.settings, config.nvme
            )
        self._config = config
        if address != self._discovery:
            self._discovery = address
            if self.recovery is not None:
                self.recovery.moved(join(*address))
            if self._watching is not None:
                self._watching.cancel()
                self._watch()

    def _settled(self, settings: Settings, mapping: Mapping | None) -> None:
        self._settling = None
        self._retune(settings, mapping)

    def _retune(self, settings: Settings, mapping: Mapping | None = None) -> None:
        self.engine.update_settings(settings)
        if isinstance(self.server, NvmeController):
            self.server.update_settings(settings, mapping or self.server.mapping)
        else:
            self.server.update_settings(settings)
            self.target_client.update_settings(settings)

    def _watch(self, index: int | None = None) -> None:
        """Watch discovery from a version of its list on; versions of one address mean nothing to another."""
        settings = self.engine.settings
        limit = settings.rules.list_poll_interval
        pace = (
            BackoffPollPolicy()
            if settings.list_pushed or not limit
            else BackoffPollPolicy.for_remote_discovery(limit)
        )
        codec = WatchCodec(
            join(*self._discovery),
            self._took_list,
            pace.poll_wait,
            index,
            self.recovery is not None and self.recovery.first_waits,
        )
        pacing = pace if self.recovery is None else self.recovery.pace(pace)
        watch = Watch(self._discovery, self.buffers, codec, pacing, self._watch_failed)
        self._watching = self._loop.create_task(watch.run())

    def is_ready(self) -> bool:
        ready = self._listed or self._loop.time() >= self._ready_at
        return ready and (self.recovery is None or self.recovery.is_ready())

    def _took_list(self, listing: TargetList) -> None:
        self._listed = True
        if self.recovery is not None:
            self.recovery.took(listing)
        if listing.targets or listing.is_full:
            self._log(
                "list",
                index=listing.version,
                whole=listing.is_full,
                targets={target.name: target.status.value for target in listing.targets},
            )
            self._directory.update(TargetListKind.FULL if listing.is_full else TargetListKind.DELTA, listing)

    def _watch_failed(self, error: Exception) -> None:
        self.engine.counts["watch_failures"] += 1
        self._log("discovery_failed", error=f"{type(error).__name__}: {error}")

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(REPORT_EVERY)
            self._log("counters", **self.sample())

    def sample(self) -> dict[str, float]:
        """All figures: gauges as in GAUGES, the others only ever rise."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "open": self.engine.open_request_count,
            "clients": len(self.listener),
            "shed": self.listener.shed_count,
            "connections": self.target_client.pool.opened_count,
            "memory_kb": usage.ru_maxrss,
            "cpu_ms": round((usage.ru_utime + usage.ru_stime) * 1000),
            "log_dropped": self._log.dropped,
            **(self.recovery.figures() if self.recovery is not None else {}),
            **(self.lease_service.totals() if self.lease_service is not None else {}),
            **self.engine.counts,
        }
