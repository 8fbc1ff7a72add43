"""Fencing: rejects effects of a lease's earlier holders.

Source: Kleppmann, "How to do distributed locking".
"""

from __future__ import annotations

from dataclasses import dataclass

from stalltiller.leases.state_machine import NO_TOKEN


@dataclass(slots=True)
class FencingTokenGuard:
    """Stands in front of whatever executes effects under one lease; tokens grow with each grant."""

    newest_token: int = NO_TOKEN

    def accept(self, token: int) -> bool:
        """Whether an effect may be executed: no effect of a newer grant was accepted before."""
        if token < self.newest_token or token <= NO_TOKEN:
            return False
        self.newest_token = token
        return True
