"""Persists an initiator's state, restores it after a restart and reports the progress of the recovery."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from stalltiller.adapters.target_directory import TargetDirectory
from stalltiller.daemon.list_poll_policy import ListPollPolicy
from stalltiller.daemon.peer_state_exchange import PeerStateExchange
from stalltiller.daemon.recovery_coordinator import CoordinatorStatus, RecoveryCoordinator
from stalltiller.protocol.discovery import TargetList
from stalltiller.recovery import (
    LoadBaseline,
    MassRestartDetector,
    RecoveryPhase,
    RecoveryPhaseTracker,
    RecoverySnapshot,
    SnapshotRejectedError,
    SnapshotStore,
    TargetListHistory,
    capture_state,
    discard_expired,
    restore_state,
)
from stalltiller.routing.engine import Engine
from stalltiller.transport.watch import BackoffPollPolicy, PollPolicy

if TYPE_CHECKING:
    from stalltiller.fleet.membership_agent import MembershipAgent

PHASE_CHECK_INTERVAL_SECONDS = 0.1
MIN_SAVE_INTERVAL_SECONDS = 0.05  # limits the writes when the target list changes rapidly
SERVED_FRACTION_GAIN = 0.2  # weight of the newest served fraction in the load baseline's moving average

Log = Callable[..., None]


@dataclass(slots=True, frozen=True)
class RecoveryConfig:
    """The [recovery] section of an operator's configuration file; times in seconds.

    `is_ramp_enabled` enables the pacing of a fleet's mass restarts, and `peer_confirmation_wait` is how long
    readiness waits for a peer's confirmation of the target list.
    """

    folder: str
    save_interval: float = 2.0
    is_ramp_enabled: bool = True
    peer_confirmation_wait: float = 0.0


class RecoveryStatus(CoordinatorStatus):
    """The status of the recovery for operators; the keys are those of the administration call."""

    phase: str
    full_after_s: float  # time from the start until service was full; 0 until then


class RecoveryService:
    """Persists and restores the state of one initiator that outlives its process.

    It is created before the target list is loaded, then started, and stopped once all requests are finished.
    Snapshots are saved on a worker thread, never on the event loop's thread.
    """

    def __init__(
        self,
        config: RecoveryConfig,
        name: str,
        discovery_address: str,
        engine: Engine,
        directory: TargetDirectory,
        in_fleet: bool,
        log: Log,
    ) -> None:
        """Load the snapshot and start a ramp if this may be a mass restart.  Raises OSError."""
        self._config = config
        self._store = SnapshotStore(config.folder)
        self._name = name
        self._discovery_address = discovery_address
        self._engine = engine
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._target_list_history = TargetListHistory()
        self._target_list_confirmed_at = 0.0
        self._target_list_changed = asyncio.Event()
        self._is_paced = in_fleet and config.is_ramp_enabled
        self._snapshot = self._load_snapshot()
        load_baseline = LoadBaseline() if self._snapshot is None else self._snapshot.load_baseline
        self.phase_tracker = RecoveryPhaseTracker(self._loop.time(), load_baseline.served_fraction)
        self.coordinator = self._create_coordinator(directory, load_baseline)
        if self._is_paced:
            self.coordinator.start_ramp_if_needed()
        self._peer_state_exchange: PeerStateExchange | None = None
        self._save_task: asyncio.Task[None] | None = None
        self._phase_timer: asyncio.TimerHandle | None = None
        self._check_readiness: Callable[[], bool] = self.is_ready

    @property
    def first_poll_may_wait(self) -> bool:
        """Whether the first list call waits for changes, as later ones do.

        In a fleet, peers report the changes, and an additional call from each restarted member would double
        the load of discovery.
        """
        return self._is_paced

    def initial_target_list(self, configured: TargetList | None) -> TargetList | None:
        """Return the newer of the stored target list and the configured one.

        Only this initiator's own lists are used: a target that neither list contains is sent no requests.
        """
        initial = configured
        if self._snapshot is not None and _is_newer(self._snapshot.target_list, configured):
            initial = self._snapshot.target_list
            self._target_list_confirmed_at = self._snapshot.target_list_confirmed_at
        if initial is not None:
            self._target_list_history.apply(replace(initial, is_full=True))
        return initial

    def poll_policy(self, standalone_policy: BackoffPollPolicy) -> PollPolicy:
        """Return the policy of list calls, given that of a standalone initiator."""
        return ListPollPolicy(standalone_policy, self.coordinator) if self._is_paced else standalone_policy

    def join_fleet(self, membership: MembershipAgent) -> None:
        """Start to exchange state with the members of a fleet."""
        self.coordinator.join_fleet(membership)
        self._peer_state_exchange = PeerStateExchange(
            membership,
            [(peer.host, peer.port) for peer in self.coordinator.load_baseline.peers],
            self.coordinator.build_request,
            self.coordinator.build_response,
            self.coordinator.handle_peer_state,
        )

    def start(self, check_readiness: Callable[[], bool]) -> None:
        """Restore the snapshot and start to save new ones; the scheduler must already have its targets.

        `check_readiness` is called periodically, so that the start of service is detected without readiness
        probes.
        """
        self._check_readiness = check_readiness
        if self._snapshot is not None:
            self._restore_snapshot(self._snapshot)
            self._snapshot = None
        self._save_task = self._loop.create_task(self._save_periodically())
        self._update_phase()

    def handle_target_list(self, target_list: TargetList) -> None:
        """Handle a response of discovery, including one without changes."""
        self._target_list_confirmed_at = time.time()
        if target_list.targets or target_list.is_full:
            self._target_list_changed.set()  # saved immediately, so that a drain survives a kill
        is_first = not self._target_list_history.version
        self._target_list_history.apply(target_list)
        self.coordinator.handle_target_list(target_list.version, is_first)

    def change_discovery(self, discovery_address: str) -> None:
        """Switch to another discovery service, which invalidates the previous one's versions."""
        self._discovery_address = discovery_address
        self._target_list_confirmed_at = 0.0
        self._target_list_history.clear()
        self.coordinator.change_discovery(discovery_address)

    def is_ready(self) -> bool:
        """Return whether the known target list is good enough to serve requests."""
        if not self._engine.target_count:
            return False  # without a target every request would be rejected
        if not self.coordinator.is_target_list_trusted(
            self._target_list_confirmed_at, self._config.peer_confirmation_wait
        ):
            return False
        if self.phase_tracker.mark_ready():
            self._log_phase(self.coordinator.age)
        return True

    def status(self) -> RecoveryStatus:
        """Return the status of the recovery for operators."""
        return {
            "phase": self.phase_tracker.phase.value,
            "full_after_s": round(self.phase_tracker.full_after, 3),
            **self.coordinator.status(),
        }

    def metrics(self) -> dict[str, float]:
        """Return the recovery metrics by name."""
        return {
            "recovery_full": float(self.phase_tracker.phase is RecoveryPhase.FULL),
            "recovery_full_after_s": self.phase_tracker.full_after,
            "recovery_ramping": float(self.coordinator.admission_gate.ramp is not None),
        }

    async def stop(self) -> None:
        """Save a last snapshot, marked as a clean shutdown; nothing may be sent to targets afterwards."""
        if self._peer_state_exchange is not None:
            self._peer_state_exchange.close()
        if self._save_task is not None:
            self._save_task.cancel()
            await asyncio.gather(self._save_task, return_exceptions=True)
        if self._phase_timer is not None:
            self._phase_timer.cancel()
        await self._save(is_clean_shutdown=True)
        self._store.close()

    def _load_snapshot(self) -> RecoverySnapshot | None:
        """Return the stored snapshot without its expired parts, or None if there is no usable one."""
        now = time.time()
        try:
            stored = self._store.load(self._name, self._discovery_address, now)
        except (SnapshotRejectedError, OSError) as error:
            self._log("recovery_snapshot_rejected", reason=str(error))
            return None
        if stored is None:
            return None
        snapshot = discard_expired(stored, now)
        target_list = snapshot.target_list
        self._log(
            "recovery_snapshot_loaded",
            age_s=round(now - stored.saved_at, 3),
            is_clean_shutdown=stored.is_clean_shutdown,
            target_list_version=None if target_list is None else target_list.version,
            latency_estimates=len(snapshot.latency_estimates),
            token_levels=len(snapshot.token_levels),
            peers=len(snapshot.load_baseline.peers),
        )
        return snapshot

    def _create_coordinator(
        self, directory: TargetDirectory, load_baseline: LoadBaseline
    ) -> RecoveryCoordinator:
        return RecoveryCoordinator(
            self._name,
            self._discovery_address,
            self._engine,
            directory,
            self._target_list_history,
            load_baseline,
            self._create_mass_restart_detector(load_baseline),
            self.phase_tracker,
            self._log,
        )

    def _create_mass_restart_detector(self, load_baseline: LoadBaseline) -> MassRestartDetector:
        was_killed = self._snapshot is None or not self._snapshot.is_clean_shutdown
        fleet_size = 1
        if self._is_paced:
            fleet_size = self._engine.settings.initiator_count
            if load_baseline.peers:  # a snapshot saved before any peer was known contains none
                fleet_size = len(load_baseline.peers) + 1
        return MassRestartDetector(fleet_size, was_killed)

    def _restore_snapshot(self, snapshot: RecoverySnapshot) -> None:
        self.coordinator.targets_with_estimates = {
            estimate.target_name for estimate in snapshot.latency_estimates
        }
        restored = self._engine.inspect_scheduler(
            lambda scheduler, now, clock_offset: restore_state(scheduler, snapshot, now, clock_offset)
        )
        self._log(
            "recovery_state_restored",
            latency_estimates=restored.latency_estimates,
            token_levels=restored.token_levels,
        )

    def _update_phase(self) -> None:
        self._phase_timer = self._loop.call_later(PHASE_CHECK_INTERVAL_SECONDS, self._update_phase)
        if self.phase_tracker.phase is RecoveryPhase.STARTING:
            self._check_readiness()
        counts = self._engine.counts
        finished = counts["served"] + counts["refused"] + counts["failed"]
        if self.phase_tracker.record_counts(
            self._loop.time(), finished, counts["served"], counts["attempt_full"]
        ):
            self._log_phase(self.phase_tracker.full_after)
        self.coordinator.end_ramp_if_complete()

    def _log_phase(self, after: float) -> None:
        self._log("recovery_phase", phase=self.phase_tracker.phase.value, after_s=round(after, 3))

    async def _save_periodically(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._config.save_interval):
                    await self._target_list_changed.wait()
            self._target_list_changed.clear()
            await self._save(is_clean_shutdown=False)
            await asyncio.sleep(MIN_SAVE_INTERVAL_SECONDS)

    async def _save(self, is_clean_shutdown: bool) -> None:
        state = self._engine.inspect_scheduler(capture_state)
        self.coordinator.load_baseline = self._measured_load_baseline()
        snapshot = RecoverySnapshot(
            initiator_name=self._name,
            discovery_address=self._discovery_address,
            saved_at=time.time(),
            is_clean_shutdown=is_clean_shutdown,
            target_list=self._target_list_history.target_list,
            target_list_confirmed_at=self._target_list_confirmed_at,
            latency_estimates=state.latency_estimates,
            token_levels=state.token_levels,
            load_baseline=self.coordinator.load_baseline,
        )
        try:
            await self._loop.run_in_executor(None, self._store.save, snapshot)
        except OSError as error:  # the previous snapshot is kept
            self._log("recovery_snapshot_save_failed", error=str(error))

    def _measured_load_baseline(self) -> LoadBaseline:
        """Return the load baseline to store; until service is full, only its peers change."""
        previous = self.coordinator.load_baseline
        served_fraction = self.phase_tracker.served_fraction
        if self.phase_tracker.phase is not RecoveryPhase.FULL or served_fraction is None:
            return replace(previous, peers=self.coordinator.peers)
        known_fraction = served_fraction if previous.served_fraction is None else previous.served_fraction
        return LoadBaseline(
            served_fraction=known_fraction + SERVED_FRACTION_GAIN * (served_fraction - known_fraction),
            shard_rates=self.coordinator.admission_gate.load_meter.rates(self._loop.time()),
            peers=self.coordinator.peers,
        )


def _is_newer(target_list: TargetList | None, other: TargetList | None) -> bool:
    """Return whether a target list exists and is newer than another one, which may be missing."""
    if target_list is None:
        return False
    return other is None or other.version < target_list.version
