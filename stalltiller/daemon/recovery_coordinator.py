"""Coordinates an initiator's recovery with its fleet: discovery calls, admission, and peers' responses.

The decisions are made in `recovery`; this module connects them to the clock, the fleet, the target list and
the engine.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, TypedDict

from stalltiller.adapters.target_directory import TargetDirectory
from stalltiller.daemon.admission_gate import RecoveryAdmissionGate
from stalltiller.recovery import (
    FleetView,
    LoadBaseline,
    MassRestartDetector,
    PeerAddress,
    PeerState,
    PeerStateFilter,
    PeerStateRequest,
    PollSchedule,
    RecoveryPhaseTracker,
    RecoverySnapshot,
    TargetChange,
    TargetLatencyEstimate,
    TargetListHistory,
    capture_state,
    restore_state,
)
from stalltiller.routing.engine import Engine

if TYPE_CHECKING:
    from stalltiller.fleet.membership_agent import MembershipAgent

PEER_CONTACT_RECHECK_SECONDS = 0.1  # interval of the checks whether the wait for peers is over
MAX_UNCONFIRMED_AGE_SECONDS = 30.0  # an older target list must be confirmed by discovery or a peer
MAX_CONFIRMATION_WAIT_SECONDS = 5.0  # then it is used unconfirmed, as neither discovery nor a peer responds
PEER_ESTIMATES_WINDOW_SECONDS = 5.0  # this soon after the start, a peer's estimate is better than none

Log = Callable[..., None]


class CoordinatorStatus(TypedDict):
    """The coordinator's status for operators; the keys are those of the administration call."""

    ramping: bool
    door: dict[str, int]  # outcomes of requests during the ramp
    withheld: list[str]  # names of the targets that are sent no new requests


class RecoveryCoordinator:
    """The recovery of one process among the members of its fleet.

    `load_baseline` initially comes from the snapshot; the owner replaces it with newly measured values.
    `targets_with_estimates` names the targets whose latency is known from the snapshot or from a peer.
    """

    def __init__(
        self,
        name: str,
        discovery_address: str,
        engine: Engine,
        directory: TargetDirectory,
        target_list_history: TargetListHistory,
        load_baseline: LoadBaseline,
        mass_restart_detector: MassRestartDetector,
        phase_tracker: RecoveryPhaseTracker,
        log: Log,
    ) -> None:
        self._name = name
        self._discovery_address = discovery_address
        self._engine = engine
        self._directory = directory
        self._target_list_history = target_list_history
        self._log = log
        self.load_baseline = load_baseline
        self.mass_restart_detector = mass_restart_detector
        self.phase_tracker = phase_tracker
        self.targets_with_estimates: set[str] = set()
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        self._membership: MembershipAgent | None = None
        self._peer_state_filter = PeerStateFilter(discovery_address)
        self._is_initial_poll_scheduled = False
        self._is_confirmed_by_discovery = False  # the known target list is the newest
        self._is_confirmed_by_peer = False
        self.admission_gate = RecoveryAdmissionGate(lambda: engine.settings, lambda: engine.target_count)
        engine.set_admission_gate(self.admission_gate)

    @property
    def age(self) -> float:
        """Seconds since the start of the process."""
        return self._loop.time() - self._started_at

    @property
    def fleet_view(self) -> FleetView:
        """This initiator's current view of the fleet."""
        if self._membership is None:
            return FleetView()
        members = [self._membership.swim.local_member, *self._membership.swim.table.other_running_members]
        start_times = {member.name: member.start_time_ms / 1000 for member in members}
        return FleetView.from_start_times(self._name, start_times)

    @property
    def peers(self) -> tuple[PeerAddress, ...]:
        """The other running members, or those of the snapshot if no running one is known."""
        others = [] if self._membership is None else self._membership.swim.table.other_running_members
        return tuple(PeerAddress(member.name, *member.address) for member in others) or (
            self.load_baseline.peers
        )

    def status(self) -> CoordinatorStatus:
        """Return the state of the ramp and the withheld targets, for operators."""
        ramp = self.admission_gate.ramp
        return {
            "ramping": ramp is not None,
            "door": {} if ramp is None else ramp.counts_by_name(),
            "withheld": sorted(self._peer_state_filter.withheld_targets),
        }

    def join_fleet(self, membership: MembershipAgent) -> None:
        """Start to use the membership of a fleet."""
        self._membership = membership

    # --- Admission --------------------------------------------------------------------------------
    def start_ramp_if_needed(self) -> None:
        """Start a ramp if this may be a mass restart."""
        view = self.fleet_view
        if self.mass_restart_detector.is_mass_restart(view, self.age):
            shard_rates = dict(self.load_baseline.shard_rates)
            self.admission_gate.start_ramp(shard_rates, self.mass_restart_detector.fleet_size(view))

    def end_ramp_if_complete(self) -> None:
        """End the ramp once it is complete, or if this turns out not to be a mass restart."""
        ramp = self.admission_gate.ramp
        if ramp is None or not self._target_list_history.version:
            return
        if ramp.is_complete(self._loop.time()) or not self.mass_restart_detector.is_mass_restart(
            self.fleet_view, self.age
        ):
            outcomes = self.admission_gate.end_ramp()
            self._log("recovery_ramp_ended", after_s=round(self.age, 3), **outcomes)

    # --- Target list ------------------------------------------------------------------------------
    def initial_poll_delay(self, schedule: PollSchedule) -> float:
        """Return 0 if the first list call may be made now, else the seconds until the next check."""
        if self._is_initial_poll_scheduled:
            return 0.0
        has_target_list = bool(self._target_list_history.version)
        if has_target_list and self.mass_restart_detector.is_waiting_for_peers(self.age):
            return PEER_CONTACT_RECHECK_SECONDS
        self._is_initial_poll_scheduled = True
        view = self.fleet_view
        is_mass_restart = self.mass_restart_detector.is_mass_restart(view, self.age)
        delay = schedule.initial_delay(time.time(), view) if is_mass_restart else 0.0
        self._log(
            "recovery_initial_poll_scheduled",
            is_mass_restart=is_mass_restart,
            fleet_size=self.mass_restart_detector.fleet_size(view),
            recently_started=view.recently_started_count,
            delay_s=round(delay, 3),
        )
        return delay

    def handle_poll_failure(self) -> FleetView:
        """Start to request changes from peers, since a list call failed; return the current fleet view."""
        self._is_confirmed_by_discovery = False
        return self.fleet_view

    def handle_target_list(self, version: int, is_first: bool) -> None:
        """Handle a response of discovery, including one without changes.

        `is_first` means that no target list was known before.
        """
        self._is_confirmed_by_discovery = True
        if is_first and self.admission_gate.ramp is not None:
            self.admission_gate.ramp.restart(self._loop.time())
        if self._peer_state_filter.discard_up_to(version):
            self._apply_peer_state()

    def change_discovery(self, discovery_address: str) -> None:
        """Switch to another discovery service, which invalidates all previous responses of peers."""
        self._discovery_address = discovery_address
        self._is_confirmed_by_discovery = False
        self._is_confirmed_by_peer = False
        self._peer_state_filter = PeerStateFilter(discovery_address)
        self._apply_peer_state()

    def is_target_list_trusted(self, confirmed_at: float, peer_confirmation_wait: float) -> bool:
        """Return whether the target list is good enough for this initiator to be ready.

        `confirmed_at` is the Unix time at which discovery last confirmed it; `peer_confirmation_wait` is the
        configured time in seconds for which readiness waits for a peer's confirmation.
        """
        if self._is_confirmed_by_discovery or self._is_confirmed_by_peer:
            return True
        if self.age < peer_confirmation_wait:
            return False
        is_recent = confirmed_at > time.time() - MAX_UNCONFIRMED_AGE_SECONDS
        return is_recent or self.age >= MAX_CONFIRMATION_WAIT_SECONDS

    # --- Peers ------------------------------------------------------------------------------------
    def build_request(self) -> PeerStateRequest | None:
        """Return a request for all changes, or None if discovery itself has confirmed the target list."""
        if self._is_confirmed_by_discovery:
            return None
        return PeerStateRequest(self._discovery_address, self._target_list_history.version)

    def build_response(self, request: PeerStateRequest) -> PeerState | None:
        """Return the state to send to a restarted peer, or None if there is none for this request."""
        target_list = self._target_list_history.target_list
        if target_list is None or request.discovery_address != self._discovery_address:
            return None
        known_changes = self._target_list_history.changes_since(request.version)
        changed_targets = known_changes
        if changed_targets is None:  # fallback: the targets that may have restarted meanwhile
            changed_targets = [target for target in target_list.targets if target.started_at]
        return PeerState(
            discovery_address=self._discovery_address,
            version=target_list.version,
            requested_version=request.version,
            is_complete=self._is_confirmed_by_discovery and known_changes is not None,
            changes=tuple(
                TargetChange(target.name, target.status, target.started_at) for target in changed_targets
            ),
            latency_estimates=self._engine.inspect_scheduler(capture_state).latency_estimates,
            load_baseline=self.load_baseline,
        )

    def handle_peer_state(self, response: PeerState) -> None:
        """Use a peer's response as far as the filter allows it."""
        target_list = self._target_list_history.target_list
        if target_list is None or response.discovery_address != self._discovery_address:
            return
        if self._peer_state_filter.confirms_version(response, target_list.version):
            self._is_confirmed_by_peer = True
        start_times = {target.name: target.started_at for target in target_list.targets}
        if self._peer_state_filter.apply(response, target_list.version, start_times):
            self._apply_peer_state()
        self.phase_tracker.set_default_served_fraction(response.load_baseline.served_fraction)
        if self.admission_gate.ramp is not None:
            self.admission_gate.ramp.add_peer_rates(dict(response.load_baseline.shard_rates))
        self._use_estimates(response.latency_estimates)

    def _use_estimates(self, estimates: tuple[TargetLatencyEstimate, ...]) -> None:
        """Use a peer's estimates for targets without one, within a short time after the start."""
        new_estimates = tuple(
            estimate for estimate in estimates if estimate.target_name not in self.targets_with_estimates
        )
        if not new_estimates or self.age >= PEER_ESTIMATES_WINDOW_SECONDS:
            return
        self.targets_with_estimates |= {estimate.target_name for estimate in new_estimates}
        snapshot = RecoverySnapshot(
            self._name, self._discovery_address, time.time(), latency_estimates=new_estimates
        )
        self._engine.inspect_scheduler(
            lambda scheduler, now, clock_offset: restore_state(scheduler, snapshot, now, clock_offset)
        )

    def _apply_peer_state(self) -> None:
        withheld_targets = self._peer_state_filter.withheld_targets
        restarted_targets = self._peer_state_filter.restarted_targets
        self._log(
            "recovery_peer_state_applied",
            withheld_targets=sorted(withheld_targets),
            restarted_targets=sorted(restarted_targets),
        )
        self._directory.apply_peer_state(withheld_targets, restarted_targets)
