"""stalltiller: a storage initiator that routes volumes' requests to storage targets within their plans."""

from stalltiller.scheduling.scheduler import Scheduler

__all__ = ["Scheduler"]
