"""A voter's store and the form of what is said of leases."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stalltiller.leases import Append, Command, Cut, Entry, Install, Keep, Table, Vote, codec
from stalltiller.leases.messages import Appended, Hand, Installed, Voted
from stalltiller.leases.store import Missing, VoterStore, make

ROOT = Path(__file__).parent.parent
COMMAND = Command("acquire", "allot", "n1", 2.0, 7, 8, "s", 9)


@pytest.mark.parametrize(
    "said",
    [
        Vote(3, True, 5, 2),
        Voted(3, False, True),
        Appended(4, True, 9),
        codec.Ask(COMMAND),
        Install(3, 20, 2, 900, 1000, b"\x00state"),
        Installed(3, 20, 900),
        Hand(3),
        Vote(3, False, 5, 2, True),
        codec.Answer("s", 9, 41),
        codec.NotLeader("s", 9, "n2"),
        Append(4, 8, 3, (Entry(4), Entry(4, COMMAND)), 7),
    ],
)
def test_what_is_said_comes_back_as_it_was(said):
    assert codec.decode(codec.encode(said)) == said


def test_an_append_holds_as_many_entries_as_go_in():
    data = codec.encode(Append(1, 0, 0, (Entry(1, COMMAND),) * 64, 0))
    assert len(data) <= codec.MOST_BYTES and len(codec.decode(data).entries) > 8


@given(st.binary(max_size=120))
def test_no_bytes_make_more_than_a_malformed_message(data):
    try:
        codec.decode(data)
    except codec.Malformed:
        return


def test_a_table_comes_back_from_its_state_with_the_newest_session_last():
    table = Table()
    for n in range(50):
        table.apply(n + 1, Command("acquire", f"l{n % 7}", f"n{n}", 2.0, session=f"s{n % 9}", number=n))
    table.apply(51, Command("renew", "l0", "n0", 2.0, table.leases["l0"].token, session="s1", number=99))
    back = codec.decode_table(codec.encode_table(table))
    assert back == table and list(back.answers) == list(table.answers)
    assert codec.decode_table(b"") == Table()


keeps = st.lists(
    st.tuples(
        st.integers(0, 9),
        st.sampled_from([None, "b"]),
        st.integers(0, 12),
        st.lists(st.sampled_from([Entry(1), Entry(2, COMMAND)]), max_size=4),
        st.sampled_from([None, None, False, True]),
    ),
    max_size=12,
)


@given(keeps)
def test_a_store_holds_what_was_kept_last_over_openings(tmp_path_factory, script):
    folder = str(tmp_path_factory.mktemp("voter"))
    make(folder, "a")
    term, vote, log, store, base = 0, None, [], VoterStore(folder, "a"), 0
    for number, (term, vote, length, entries, whole) in enumerate(script):
        length = min(length, len(log))
        store.keep(Keep(term, vote, base + length, tuple(entries)))
        log = [*log[:length], *entries]
        if whole is not None and log:  # a state for half of it, or for more than there is
            cut = len(log) + 3 if whole else (len(log) + 1) // 2
            store.cut(Cut(base + cut, 7, b"state %d" % number, whole))
            base, log = base + cut, [] if whole else log[cut:]
            assert store.state() == (base, 7, b"state %d" % number)
        assert store.load() == (term, vote, log)
        if number % 3 == 2:
            store.close()
            store = VoterStore(folder, "a")
    assert store.load() == (term, vote, log)
    store.close()


def test_a_voter_without_its_disk_or_with_another_s_does_not_start(tmp_path):
    with pytest.raises(Missing):
        VoterStore(str(tmp_path / "lost"), "a")
    make(str(tmp_path / "kept"), "a")
    with pytest.raises(OSError, match="already"):
        make(str(tmp_path / "kept"), "a")
    with pytest.raises(OSError, match="made for 'a'"):
        VoterStore(str(tmp_path / "kept"), "b")


def test_the_generated_code_is_current(tmp_path):
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
    made = "stalltiller/leases/leases_pb2.py"
    assert (tmp_path / made).read_bytes() == (ROOT / made).read_bytes()
