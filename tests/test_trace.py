"""Tests reading traces: across process restarts, in logs of initiators and of benchmarks."""

from __future__ import annotations

import pytest

from stalltiller.trace import follow_request, main, read_traces, summarize

CURRENT_LOG = [
    '{"time":1.0,"event":"started"}',
    '{"time":1.1,"event":"request_received","id":1,"label":"a"}',
    '{"time":1.2,"event":"attempt_started","id":1,"attempt":0,"target":"s-1"}',
    '{"time":1.3,"event":"attempt_finished","id":1,"attempt":0,"target":"s-1","status":"reset"}',
    '{"time":1.4,"event":"request_finished","id":1,"outcome":"failed"}',
    "not json",
    '{"time":"x"}',
]
LEGACY_LOG = [  # the same events under the names of versions up to f5167fe
    '{"time":1.0,"event":"started"}',
    '{"time":1.1,"event":"taken","id":1,"label":"a"}',
    '{"time":1.2,"event":"attempt","id":1,"attempt":0,"node":"s-1"}',
    '{"time":1.3,"event":"attempt_ended","id":1,"attempt":0,"node":"s-1","status":"reset"}',
    '{"time":1.4,"event":"answered","id":1,"how":"failed"}',
    "not json",
    '{"time":"x"}',
]
both_log_versions = pytest.mark.parametrize("log", [CURRENT_LOG, LEGACY_LOG], ids=["current", "legacy"])


@both_log_versions
@pytest.mark.parametrize(
    ("prefix", "line_count", "outcome", "statuses", "received_at"),
    [
        ("", 7, "failed", ("reset",), 1.1),
        ("7.5 ", 7, "failed", ("reset",), 7.5),  # timestamps of a benchmark replace the event times
        ("", 3, "open", (), 1.1),
    ],
)
def test_a_trace_holds_the_outcome_and_attempt_statuses_of_a_request(
    log, prefix, line_count, outcome, statuses, received_at
):
    [trace] = read_traces("n0", [prefix + line for line in log[:line_count]])
    assert (trace.outcome, trace.statuses, trace.received_at, trace.run) == (
        outcome,
        statuses,
        received_at,
        "n0#1",
    )


@both_log_versions
def test_a_request_id_reused_after_a_restart_is_a_separate_request(log):
    traces = read_traces("n0", log + [line.replace('"a"', '"b"') for line in log])
    assert [trace.run for trace in traces] == ["n0#1", "n0#2"]
    assert "n0#2" in follow_request(traces, "b")
    assert "2 requests" in summarize(traces)
    assert follow_request(traces, "c") == "no request with label 'c'"


def test_current_and_legacy_logs_give_the_same_output():
    current, legacy = read_traces("n0", CURRENT_LOG), read_traces("n0", LEGACY_LOG)
    assert follow_request(current, "a") == follow_request(legacy, "a")
    assert summarize(current) == summarize(legacy)


def test_the_slow_start_of_a_target_is_shown_per_second_across_all_logs(capsys, tmp_path):
    state = '{"target_age":%s,"process_age":%s,"share":0.5,"other_initiators":1.0,"overload_backoff":1.0}'
    logs = {
        "n0.log": [
            '{"time":9.0,"event":"started"}',
            '{"time":10.1,"event":"request_received","id":1,"units":2.0}',
            '{"time":10.1,"event":"attempt_started","id":1,"attempt":0,"target":"s-1","slow_start":%s}'
            % (state % (0.1, 1.1)),
            '{"time":11.3,"event":"attempt_finished","id":1,"attempt":0,"target":"s-1","status":"ok"}',
        ],
        "n1.log": [
            '{"time":9.0,"event":"request_received","id":1,"units":9.0}',
            '{"time":9.5,"event":"attempt_started","id":1,"attempt":0,"target":"s-1"}',  # before the start
            '{"time":10.2,"event":"request_received","id":2,"units":1.0}',
            '{"time":10.3,"event":"attempt_started","id":2,"attempt":1,"target":"s-1"}',  # no slow-start data
            '{"time":12.4,"event":"request_received","id":3,"units":3.0}',
            '{"time":12.5,"event":"attempt_started","id":3,"attempt":0,"target":"s-1","slow_start":%s}'
            % (state % (2.5, 8.0)),
        ],
    }
    for name, lines in logs.items():
        (tmp_path / name).write_text("\n".join(lines))
    assert main([*(str(tmp_path / name) for name in logs), "--slow-start", "s-1"]) == 0
    rows = [row.split() for row in capsys.readouterr().out.splitlines()[1:]]
    assert [row[:7] for row in rows] == [
        ["0", "2", "3.0", "0.0", "1", "2", "1"],
        ["1", "0", "0.0", "2.0", "0", "0", "0"],
        ["2", "1", "3.0", "0.0", "0", "1", "0"],
    ]
    assert [row[7] for row in rows] == ["1", "0", "0"]
    assert main([str(tmp_path / "n0.log"), "--slow-start", "s-2"]) == 0
    assert capsys.readouterr().out == "no attempts at the target while it was warming up\n"
