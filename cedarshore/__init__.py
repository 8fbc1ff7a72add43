"""cedarshore: the decisions of a storage gateway that keeps volumes to their plans."""

from cedarshore.logic import Scheduler

__all__ = ["Scheduler"]
