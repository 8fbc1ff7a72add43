"""stalltiller: the decisions of a storage gateway that keeps volumes to their plans."""

from stalltiller.scheduling.scheduler import Scheduler

__all__ = ["Scheduler"]
