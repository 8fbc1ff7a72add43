"""Reads the simulator's options, one `path=value` per line, into the scheduler's settings.

Durations are in nanoseconds, under paths that end in `-ns`.  Unknown paths are ignored; if the path of a rule
is absent, the deployment does not have that rule.  The operator's settings use the same paths.
"""

from __future__ import annotations

from stalltiller.scheduling import DeduplicationScope, Idempotency, Plan, RequestClass, Rules, Settings
from stalltiller.simulator.errors import WireError

NANOSECONDS_PER_SECOND = 1_000_000_000
IDEMPOTENCY_BY_OPTION = {
    "repeatable": Idempotency.SAFE,
    "by_key": Idempotency.IDEMPOTENCY_KEY,
    "once": Idempotency.UNSAFE,
}
DEDUPLICATION_SCOPE_BY_OPTION = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
}


class OptionReader:
    """Reads typed options by path below a prefix; raises WireError on a malformed number."""

    def __init__(self, values: dict[str, str], prefix: str = "") -> None:
        self._values = values
        self._prefix = prefix

    def text(self, path: str) -> str | None:
        """Return the option's text, or None if it is absent."""
        return self._values.get(self._prefix + path)

    def number(self, path: str) -> float | None:
        """Return the option as a number, or None if it is absent."""
        value = self.text(path)
        try:
            return None if value is None else float(value)
        except ValueError as error:
            raise WireError(f"option {self._prefix + path} is not a number: {value}") from error

    def number_or_zero(self, path: str) -> float:
        """Return the option as a number, or 0 if it is absent."""
        return self.number(path) or 0.0

    def seconds(self, path: str) -> float | None:
        """Return the duration `<path>-ns` in seconds, or None if it is absent."""
        value = self.number(path + "-ns")
        return None if value is None else value / NANOSECONDS_PER_SECOND

    def seconds_or_zero(self, path: str) -> float:
        """Return the duration `<path>-ns` in seconds, or 0 if it is absent."""
        return self.seconds(path) or 0.0

    def flag(self, path: str) -> bool:
        """Return whether the option is `true`."""
        return self.text(path) == "true"

    def text_list(self, path: str) -> list[str]:
        """Return the parts of a comma-separated option, without empty ones."""
        return [part for part in (self.text(path) or "").split(",") if part]

    def items(self, path: str) -> list[OptionReader]:
        """Return a reader for each item of the list `path`, whose length is `<path>.count`."""
        count = int(self.number_or_zero(path + ".count"))
        return [OptionReader(self._values, f"{self._prefix}{path}.{index}.") for index in range(count)]


def parse_settings(text: str) -> Settings:
    """Parse an initiator's options, one `path=value` per line; raises WireError on a malformed number."""
    pairs = (line.partition("=") for line in text.splitlines() if "=" in line)
    return settings_from_options({path.strip(): value.strip() for path, _, value in pairs})


def settings_from_options(values: dict[str, str]) -> Settings:
    """Convert options, keyed by path, to settings; raises WireError on a malformed number."""
    options = OptionReader(values)
    classes = _request_classes(options)
    plans = tuple(_plan(item) for item in options.items("contracts"))
    rules = _rules(options)
    max_attempts = options.number("limits.attempts-cap")
    return Settings(
        initiator_index=int(options.number_or_zero("position")),
        initiator_count=int(options.number_or_zero("balancers")) or 1,
        zone=int(options.number_or_zero("zone")),
        tick=options.seconds_or_zero("tick"),
        classes=classes,
        plans=plans,
        rules=rules,
        mean_units=options.number_or_zero("family-info.usual-units"),
        max_units=options.number_or_zero("family-info.largest"),
        slow_start_units=options.number_or_zero("family-info.young-limit"),
        within_share_weight=options.number_or_zero("family-info.share-worth"),
        beyond_share_weight=options.number_or_zero("family-info.spare-worth"),
        meter_period=options.seconds_or_zero("family-info.metering"),
        other_usage_reported=options.flag("family-info.tells-elsewhere"),
        list_pushed=options.text("membership-mode") != "ask",
        report_fields=tuple(options.text_list("feedback.fields")),
        reports_in_answers=options.text("feedback.how") == "piggyback",
        may_probe=options.flag("limits.probes"),
        may_message=options.flag("limits.peers"),
        may_cancel=options.flag("limits.cancel"),
        may_hedge=options.flag("limits.parallel-tries"),
        may_send_retry_after=options.flag("limits.retry-after"),
        max_retry_after=options.seconds_or_zero("limits.max-retry-after"),
        max_attempts=1 if max_attempts is None else int(max_attempts),
        retries_marked=options.flag("clients.marks-retry"),
    )


def _request_classes(options: OptionReader) -> tuple[RequestClass, ...]:
    """Read the request classes; a separate list states, by class index, which of them write.

    That list is ignored if its length differs from the number of classes, as in files where classes were
    added or removed: its positions are then meaningless.
    """
    items = options.items("classes")
    write_flags = options.text_list("family-info.changes-data")
    has_write_flags = len(write_flags) == options.number_or_zero("classes.count")
    return tuple(
        _request_class(item, write_flags[index] == "true" if has_write_flags else None)
        for index, item in enumerate(items)
    )


def _request_class(options: OptionReader, is_write: bool | None) -> RequestClass:
    return RequestClass(
        name=options.text("name") or "",
        latency_objective=options.seconds_or_zero("aim"),
        deadline=options.seconds_or_zero("give-up"),
        priority_weight=options.number_or_zero("worth"),
        late_value_fraction=options.number_or_zero("late-share"),
        idempotency=IDEMPOTENCY_BY_OPTION.get(options.text("effect") or "", Idempotency.UNSAFE),
        deduplication_scope=DEDUPLICATION_SCOPE_BY_OPTION.get(
            options.text("key-scope") or "", DeduplicationScope.SHARD
        ),
        deduplication_window=options.seconds_or_zero("key-ttl"),
        streaming=options.flag("streaming"),
        in_order=options.flag("by-arrival"),
        is_write=is_write,
    )


def _plan(options: OptionReader) -> Plan:
    return Plan(
        name=options.text("name") or "",
        rate=options.number_or_zero("nominal"),
        reservation=options.number_or_zero("guaranteed"),
        weight=options.number_or_zero("parts"),
        price_weight=options.number_or_zero("price"),
        limit=options.number_or_zero("cap"),
        burst=options.number_or_zero("burst"),
        slack=options.number_or_zero("slack"),
    )


def _rules(options: OptionReader) -> Rules:
    return Rules(
        answer_slack=options.seconds_or_zero("rules.answer-slack"),
        drain_grace=options.seconds_or_zero("rules.drain-grace"),
        slow_start_initial_fraction=options.number_or_zero("rules.cold-share"),
        slow_start_duration=options.seconds_or_zero("rules.cold"),
        overload_factor=options.number_or_zero("rules.tip-multiple"),
        overload_window=options.seconds_or_zero("rules.tip-after"),
        list_poll_interval=options.seconds("rules.ask-every"),
        ordering_pause=options.seconds("rules.order-pause"),
        retry_budget_base=options.number("rules.budget-free"),
        retry_budget_fraction=options.number("rules.extra-share"),
        retry_budget_window=options.seconds("rules.resend-span"),
    )
