"""A host's association with the controller: its queues, its properties and its keep alive timer.

`NvmeController` owns the associations by controller identifier.  The loss of one queue ends the whole
association.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from stalltiller.adapters.nvme_controller import NvmeController
    from stalltiller.adapters.nvme_host_queue import HostQueue

KEEP_ALIVE_GRACE_SECONDS = 1.0  # added to the host's timeout for commands in transit
TIMER_MARGIN_SECONDS = 0.01  # lets the check run after the expiry time, not just before it


class Association:
    """The queues and controller properties of one host.

    `keep_alive_timeout` is the host's keep alive timeout (KATO) in seconds, 0 for none.
    """

    def __init__(self, controller: NvmeController, controller_id: int, keep_alive_timeout: float) -> None:
        self.controller = controller
        self.controller_id = controller_id
        self.keep_alive_timeout = keep_alive_timeout
        self.queues: dict[int, HostQueue] = {}
        self.is_enabled = False
        self.is_shut_down = False
        self.last_progress_at = controller.loop.time()
        self._acknowledged_bytes = 0  # of all queues, at the last check
        self._keep_alive_timer: asyncio.TimerHandle | None = None
        self._check_keep_alive()

    def has_commands_in_flight(self) -> bool:
        """Return whether I/O commands are in flight."""
        return any(queue.commands for queue in self.queues.values())

    def reset(self) -> None:
        """Close the I/O queues when the host disables or shuts down the controller; keep the admin queue."""
        for queue_id in [queue_id for queue_id in self.queues if queue_id]:
            queue = self.queues.pop(queue_id)
            queue.association = None
            queue.cancel_commands()
            queue.close_gracefully()

    def close(self) -> None:
        """Close all queues and cancel all commands."""
        if self._keep_alive_timer is not None:
            self._keep_alive_timer.cancel()
        self.controller.associations.pop(self.controller_id, None)
        queues = self.queues
        self.queues = {}
        for queue in queues.values():
            queue.cancel_commands()
            queue.close_gracefully()

    def _check_keep_alive(self) -> None:
        if not self.keep_alive_timeout:
            return
        acknowledged_bytes = sum(queue.acknowledged_bytes() for queue in self.queues.values())
        if acknowledged_bytes != self._acknowledged_bytes:  # the host reads, however slowly
            self._acknowledged_bytes = acknowledged_bytes
            self.last_progress_at = max(self.last_progress_at, self.controller.loop.time())
        idle_seconds = self.controller.loop.time() - self.last_progress_at
        if idle_seconds > self.keep_alive_timeout + KEEP_ALIVE_GRACE_SECONDS:
            self.controller.log("keep_alive_expired", association=self.controller_id)
            self.close()
        else:
            self._keep_alive_timer = self.controller.loop.call_later(
                self.keep_alive_timeout + KEEP_ALIVE_GRACE_SECONDS - idle_seconds + TIMER_MARGIN_SECONDS,
                self._check_keep_alive,
            )
