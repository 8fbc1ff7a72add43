"""Applies a reloaded configuration to a running initiator.

Clients are notified of new settings late, so these apply in two steps: first `transitional_settings`, which
accept requests by the old or the new settings under the stricter rules, and the new settings
TRANSITION_SECONDS later.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import replace

from stalltiller.adapters.nvme_mapping import Mapping
from stalltiller.daemon.config import Config, ConfigError, MissingKeyError, format_address
from stalltiller.daemon.discovery_watch import DiscoveryWatch
from stalltiller.daemon.log import JsonLog
from stalltiller.daemon.protocol_adapters import ProtocolAdapters
from stalltiller.routing.engine import Engine
from stalltiller.scheduling import DeduplicationScope, Idempotency, RequestClass, Settings

TRANSITION_SECONDS = 1.5  # after SIGHUP, clients may use the old settings for this long
SCOPES_NARROWEST_FIRST = (DeduplicationScope.SHARD, DeduplicationScope.ZONE, DeduplicationScope.ALL)
IDEMPOTENCY_STRICTEST_LAST = (Idempotency.SAFE, Idempotency.IDEMPOTENCY_KEY, Idempotency.UNSAFE)


def preserve_write_flags(old: Settings, new: Settings) -> Settings:
    """Return the new settings with `is_write` of each class taken from the old class of the same name.

    It is None for classes without an old one.  Guards against files that list by position which classes
    write, and keep that list when the classes are reordered: every write would be treated as a read and
    rejected with 400.
    """
    write_flags = {cls.name: cls.is_write for cls in old.classes}
    return replace(
        new, classes=tuple(replace(cls, is_write=write_flags.get(cls.name)) for cls in new.classes)
    )


def transitional_settings(old: Settings, new: Settings) -> Settings:
    """Return settings with all classes and plans of both, and the stricter of their rules.

    Guards against rejecting requests for a class or plan that only one of them has, and against retrying a
    request that only the new settings allow to be retried while its client still uses the old ones.
    """
    new_classes = {cls.name: cls for cls in new.classes}
    classes = [_stricter_class(cls, new_classes.pop(cls.name, cls)) for cls in old.classes]
    plans = {plan.name: plan for plan in old.plans}
    for plan in new.plans:
        plans[plan.name] = min(
            plan, plans.get(plan.name, plan), key=lambda candidate: candidate.limit or math.inf
        )
    return replace(
        new,
        classes=(*classes, *new_classes.values()),
        plans=tuple(plans.values()),
        max_attempts=min(old.max_attempts, new.max_attempts),
    )


def _stricter_class(old: RequestClass, new: RequestClass) -> RequestClass:
    return replace(
        new,
        idempotency=max(old.idempotency, new.idempotency, key=IDEMPOTENCY_STRICTEST_LAST.index),
        deduplication_scope=min(
            old.deduplication_scope, new.deduplication_scope, key=SCOPES_NARROWEST_FIRST.index
        ),
        deduplication_window=min(old.deduplication_window, new.deduplication_window),
    )


class SettingsReloader:
    """Reads the configuration again and applies the changes that are possible at run time.

    Discovery's address, the NVMe mapping, the idle limit of transfers and the settings with their timeouts
    are applied; listening addresses, other limits of the process, the protocol and metrics change only with
    a restart.
    """

    def __init__(
        self,
        config: Config,
        engine: Engine,
        adapters: ProtocolAdapters,
        discovery_watch: DiscoveryWatch,
        loop: asyncio.AbstractEventLoop,
        log: JsonLog,
    ) -> None:
        self.config = config
        self._engine = engine
        self._adapters = adapters
        self._discovery_watch = discovery_watch
        self._loop = loop
        self._log = log
        self._transition: asyncio.TimerHandle | None = None  # until the latest settings alone apply

    def reload(self, read_config: Callable[[], Config]) -> None:
        """Read the configuration and apply it; if that fails or a key is missing, nothing changes."""
        try:
            config = self._read_complete_config(read_config)
        except ConfigError as error:
            self._log("reload_failed", error=str(error))
            return
        if self.config.nvme is None:
            config = replace(config, nvme=None)  # the protocol changes only with a restart
        config = replace(config, settings=preserve_write_flags(self._engine.settings, config.settings))
        self._log(
            "reloaded",
            discovery=format_address(config.discovery),
            classes=[cls.name for cls in config.settings.classes],
        )
        self._change_settings(config)
        self._engine.monitor.idle_limit = config.stream_idle_timeout
        self.config = config
        self._discovery_watch.change_address(config.discovery)

    def apply_settings(self, settings: Settings, mapping: Mapping | None = None) -> None:
        """Apply settings, and an NVMe mapping unless it is None."""
        self._engine.update_settings(settings)
        self._adapters.update_settings(settings, mapping)
        self._log(
            "settings_applied",
            classes={cls.name: cls.idempotency.value for cls in settings.classes},
            command_classes=self._adapters.command_classes(),
        )

    def _read_complete_config(self, read_config: Callable[[], Config]) -> Config:
        config = read_config()
        missing = sorted(self.config.required_keys - config.required_keys)
        if missing:
            raise MissingKeyError(missing[0])
        if self.config.nvme is not None and config.nvme is None:
            raise MissingKeyError("nvme")
        if self.config.has_final_line_end and not config.has_final_line_end:
            raise ConfigError("the file ends within a line, unlike the one before: it was cut short")
        return config

    def _change_settings(self, config: Config) -> None:
        """Start a transition if anything changed or the previous one, now cancelled, had not ended."""
        # From now on a target may close idle connections by the old timeout or by the new one.
        idle_timeout = min(self.config.idle_timeout, config.idle_timeout)
        self._adapters.target_client.pool.update_timeouts(config.connect_timeout, idle_timeout)
        in_transition = self._transition is not None
        if self._transition is not None:
            self._transition.cancel()
        has_changed = (
            config.settings != self._engine.settings
            or config.nvme != self.config.nvme
            or config.idle_timeout != self.config.idle_timeout
        )
        if in_transition or has_changed:
            self.apply_settings(transitional_settings(self._engine.settings, config.settings))
            self._transition = self._loop.call_later(TRANSITION_SECONDS, self._end_transition, config)

    def _end_transition(self, config: Config) -> None:
        self._transition = None
        self.apply_settings(config.settings, config.nvme)
        self._adapters.target_client.pool.update_timeouts(config.connect_timeout, config.idle_timeout)
