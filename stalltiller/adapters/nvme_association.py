"""A host's association with the controller: its queues, its properties and its keep alive timer.

`NvmeController` owns the associations by controller identifier.  When one queue of an association is lost,
all of it ends.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from stalltiller.adapters.nvme_controller import NvmeController
    from stalltiller.adapters.nvme_host_queue import HostQueue

KEEP_ALIVE_GRACE_SECONDS = 1.0  # past the host's own keep alive time-out, for what is on its way
TIMER_MARGIN_SECONDS = 0.01  # so that the check comes after the time it waits for


class Association:
    """One host's view of the controller.

    `keep_alive` is the host's keep alive time-out in seconds, 0 for none.
    """

    def __init__(self, controller: NvmeController, controller_id: int, keep_alive: float) -> None:
        self.controller = controller
        self.controller_id = controller_id
        self.keep_alive = keep_alive
        self.queues: dict[int, HostQueue] = {}
        self.is_enabled = False
        self.is_shut_down = False
        self.last_received_at = controller.loop.time()
        self._keep_alive_timer: asyncio.TimerHandle | None = None
        self._check_keep_alive()

    def has_commands(self) -> bool:
        """Return whether commands are in progress."""
        return any(queue.commands for queue in self.queues.values())

    def reset(self) -> None:
        """Close the I/O queues: the host disables or shuts down the controller.  The admin queue stays."""
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
        if not self.keep_alive:
            return
        silence = self.controller.loop.time() - self.last_received_at
        if silence > self.keep_alive + KEEP_ALIVE_GRACE_SECONDS:
            self.controller.log("keep_alive_expired", association=self.controller_id)
            self.close()
        else:
            self._keep_alive_timer = self.controller.loop.call_later(
                self.keep_alive + KEEP_ALIVE_GRACE_SECONDS - silence + TIMER_MARGIN_SECONDS,
                self._check_keep_alive,
            )
