"""stalltiller: a storage initiator that routes requests of volumes to storage targets within their plans."""

from stalltiller.scheduling.scheduler import Scheduler

__all__ = ["Scheduler"]
