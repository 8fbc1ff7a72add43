"""A voter's store and the encoding of the lease messages."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stalltiller.leases import (
    AppendEntries,
    AppendEntriesResponse,
    Command,
    CommandKind,
    InstallSnapshot,
    InstallSnapshotResponse,
    LeaseStateMachine,
    LogEntry,
    PersistSnapshot,
    PersistState,
    RequestVote,
    RequestVoteResponse,
    Snapshot,
    TimeoutNow,
    codec,
)
from stalltiller.leases.store import VoterStore, VoterStoreMissingError, create_voter_store

ROOT = Path(__file__).parent.parent
COMMAND = Command(CommandKind.ACQUIRE, "allot", "n1", 2.0, 7, 8, "s", 9)


@pytest.mark.parametrize(
    "message",
    [
        RequestVote(3, True, 5, 2),
        RequestVoteResponse(3, False, True),
        AppendEntriesResponse(4, True, 9),
        codec.CommandRequest(COMMAND),
        codec.CommandRequest(Command("of a later version", "allot")),
        InstallSnapshot(3, 20, 2, 900, 1000, b"\x00state"),
        InstallSnapshotResponse(3, 20, 900),
        TimeoutNow(3),
        RequestVote(3, False, 5, 2, True),
        codec.CommandResponse("s", 9, 41),
        codec.NotLeader("s", 9, "n2"),
        AppendEntries(4, 8, 3, (LogEntry(4), LogEntry(4, COMMAND)), 7),
    ],
)
def test_each_message_is_unchanged_by_encoding_and_decoding(message):
    assert codec.decode(codec.encode(message)) == message


def test_append_entries_carries_only_as_many_entries_as_fit_into_a_datagram():
    data = codec.encode(AppendEntries(1, 0, 0, (LogEntry(1, COMMAND),) * 64, 0))
    assert len(data) <= codec.MAX_MESSAGE_BYTES and len(codec.decode(data).entries) > 8


@given(st.binary(max_size=120))
def test_decoding_arbitrary_bytes_raises_only_malformed_message_error(data):
    try:
        codec.decode(data)
    except codec.MalformedMessageError:
        return


def test_state_machine_and_the_order_of_its_sessions_are_restored_from_a_snapshot():
    state_machine = LeaseStateMachine()
    for n in range(50):
        command = Command(CommandKind.ACQUIRE, f"l{n % 7}", f"n{n}", 2.0, session=f"s{n % 9}", number=n)
        state_machine.apply(n + 1, command)
    renewal = Command(
        CommandKind.RENEW, "l0", "n0", 2.0, state_machine.leases["l0"].token, session="s1", number=99
    )
    state_machine.apply(51, renewal)
    decoded = codec.decode_state_machine(codec.encode_state_machine(state_machine))
    assert decoded == state_machine
    assert list(decoded.sessions) == list(state_machine.sessions)
    assert codec.decode_state_machine(b"") == LeaseStateMachine()


persist_steps = st.lists(
    st.tuples(
        st.integers(0, 9),
        st.sampled_from([None, "b"]),
        st.integers(0, 12),
        st.lists(st.sampled_from([LogEntry(1), LogEntry(2, COMMAND)]), max_size=4),
        st.sampled_from([None, None, False, True]),
    ),
    max_size=12,
)


@given(persist_steps)
def test_store_returns_the_last_persisted_state_after_each_reopening(tmp_path_factory, steps):
    folder = str(tmp_path_factory.mktemp("voter"))
    create_voter_store(folder, "a")
    term = 0
    vote = None
    log = []
    snapshot_index = 0
    store = VoterStore(folder, "a")
    for step_index, (term, vote, retained_count, entries, discard_log) in enumerate(steps):
        retained_count = min(retained_count, len(log))
        store.persist_state(PersistState(term, vote, snapshot_index + retained_count, tuple(entries)))
        log = [*log[:retained_count], *entries]
        if discard_log is not None and log:  # a snapshot of half of the log, or beyond its end
            included_count = len(log) + 3 if discard_log else (len(log) + 1) // 2
            snapshot = Snapshot(snapshot_index + included_count, 7, b"state %d" % step_index)
            store.persist_snapshot(PersistSnapshot(*snapshot, discard_log))
            snapshot_index = snapshot.last_index
            log = [] if discard_log else log[included_count:]
            assert store.load_snapshot() == snapshot
        assert store.load_state() == (term, vote, log)
        if step_index % 3 == 2:
            store.close()
            store = VoterStore(folder, "a")
    assert store.load_state() == (term, vote, log)
    store.close()


def test_store_that_is_missing_or_belongs_to_another_voter_is_not_opened(tmp_path):
    with pytest.raises(VoterStoreMissingError):
        VoterStore(str(tmp_path / "lost"), "a")
    create_voter_store(str(tmp_path / "kept"), "a")
    with pytest.raises(OSError, match="already"):
        create_voter_store(str(tmp_path / "kept"), "a")
    with pytest.raises(OSError, match="made for 'a'"):
        VoterStore(str(tmp_path / "kept"), "b")


def test_generated_protobuf_code_is_current(tmp_path):
    pytest.importorskip("grpc_tools")
    subprocess.run(
        [
            sys.executable,
            "-m",
            "grpc_tools.protoc",
            "-I.",
            f"--python_out={tmp_path}",
            "stalltiller/leases/leases.proto",
        ],
        cwd=ROOT,
        check=True,
    )
    generated = "stalltiller/leases/leases_pb2.py"
    assert (tmp_path / generated).read_bytes() == (ROOT / generated).read_bytes()
