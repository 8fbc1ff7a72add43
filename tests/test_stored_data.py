"""Data written by version f5167fe is still read field by field, and written again with the same bytes."""

from __future__ import annotations

import shutil
import typing
from pathlib import Path

import lmdb
import orjson
import pytest

from stalltiller.daemon.process_handover import ProcessHandover
from stalltiller.fleet import budget_lending
from stalltiller.fleet import codec as fleet_codec
from stalltiller.fleet.member_table import MemberState
from stalltiller.fleet.messages import PacketKind
from stalltiller.leases import codec as lease_codec
from stalltiller.leases import leases_pb2
from stalltiller.leases.store import VoterStore, create_voter_store
from stalltiller.protocol import nvme
from stalltiller.recovery import peer_state_codec
from stalltiller.recovery.store import SnapshotStore
from stalltiller.scheduling import PeerMessage, SendPeerMessage, TargetStatus, token_messages
from tests.fixtures import samples
from tests.helpers import SchedulerHarness, plan, request

DATAGRAMS = orjson.loads(samples.DATAGRAMS.read_bytes())


def fixture_bytes(codec: str, name: str) -> bytes:
    return bytes.fromhex(DATAGRAMS[codec][name])


def copy_store(folder: Path, tmp_path: Path) -> str:
    """Return the folder of a copy of a store, as opening a store writes to its folder."""
    return str(shutil.copytree(folder, tmp_path / folder.name))


def stored_pairs(folder: str) -> dict[bytes, bytes]:
    """Return all keys and values of a store."""
    with lmdb.open(folder, readonly=True, lock=False) as env, env.begin() as transaction:
        return {bytes(key): bytes(value) for key, value in transaction.cursor()}


# --- Recovery store -----------------------------------------------------------------------------------
def test_a_recovery_store_is_read(tmp_path):
    store = SnapshotStore(copy_store(samples.RECOVERY_STORE, tmp_path))
    assert store.load(samples.INITIATOR_NAME, samples.DISCOVERY_ADDRESS, samples.SAVED_AT) == samples.SNAPSHOT
    store.close()


def test_a_recovery_store_is_written_with_the_same_bytes(tmp_path):
    store = SnapshotStore(str(tmp_path / "new"))
    store.save(samples.SNAPSHOT)
    store.close()
    expected = stored_pairs(copy_store(samples.RECOVERY_STORE, tmp_path))
    assert expected.keys() == {b"facts"}
    assert stored_pairs(str(tmp_path / "new")) == expected


def test_the_recovery_store_holds_targets_of_every_status():
    assert {target.status for target in samples.TARGETS} == set(TargetStatus)


# --- Voter's store ------------------------------------------------------------------------------------
def test_a_voters_store_is_read(tmp_path):
    store = VoterStore(copy_store(samples.VOTER_STORE, tmp_path), samples.VOTER)
    assert store.load_state() == (3, samples.CANDIDATE, list(samples.LOG[2:]))
    index, term, state = store.load_snapshot()
    store.close()
    assert (index, term) == (2, 2)
    state_machine = lease_codec.decode_state_machine(state)
    assert state_machine == samples.STATE_MACHINE
    assert list(state_machine.sessions) == ["s-2", "s-1"]  # the least recently used session comes first


def test_a_voters_store_is_written_with_the_same_bytes(tmp_path):
    folder = str(tmp_path / "new")
    create_voter_store(folder, samples.VOTER)
    store = VoterStore(folder, samples.VOTER)
    store.persist_state(samples.PERSIST_STATE)
    store.persist_snapshot(samples.PERSIST_SNAPSHOT)
    store.close()
    expected = stored_pairs(copy_store(samples.VOTER_STORE, tmp_path))
    entries = {b"e" + index.to_bytes(8, "big") for index in range(3, 7)}
    assert expected.keys() == {b"meta", b"made for", b"snapshot"} | entries
    assert stored_pairs(folder) == expected


def test_a_voters_store_is_rejected_when_another_voter_opens_it(tmp_path):
    with pytest.raises(OSError, match="made for 'v-1'"):
        VoterStore(copy_store(samples.VOTER_STORE, tmp_path), "v-2")


# --- Handover file ------------------------------------------------------------------------------------
def test_a_handover_file_is_read_and_written_with_the_same_bytes(tmp_path):
    expected = samples.HANDOVER_FILE.read_bytes()
    path = tmp_path / samples.HANDOVER_FILE.name
    path.write_bytes(expected)
    handover = ProcessHandover(str(tmp_path), samples.INITIATOR_NAME)
    assert handover.load() == samples.DETACHED_TARGETS
    path.unlink()
    handover.save(samples.DETACHED_TARGETS)
    assert path.read_bytes() == expected


def test_the_lock_file_keeps_its_name(tmp_path):
    handover = ProcessHandover(str(tmp_path), samples.INITIATOR_NAME)
    assert handover.acquire_lock()
    handover.release_lock()
    assert [path.name for path in tmp_path.iterdir()] == ["stalltiller-w_1.lock"]


# --- Datagrams of the fleet ---------------------------------------------------------------------------
@pytest.mark.parametrize("name", DATAGRAMS["fleet packets"])
def test_a_packet_is_read_and_written(name):
    data = fixture_bytes("fleet packets", name)
    assert fleet_codec.decode_packet(samples.FLEET_NAME, data) == samples.PACKETS[name]
    assert fleet_codec.encode_packet(samples.FLEET_NAME, samples.PACKETS[name]) == data


def test_a_push_pull_sync_is_read_and_written():
    data = fixture_bytes("fleet exchange", "exchange")
    assert fleet_codec.decode_sync(samples.FLEET_NAME, data) == samples.PUSH_PULL_SYNC
    assert fleet_codec.encode_sync(samples.FLEET_NAME, samples.PUSH_PULL_SYNC) == data


def test_packets_of_all_kinds_are_covered():
    assert DATAGRAMS["fleet packets"].keys() == samples.PACKETS.keys()
    assert sorted(packet.kind for packet in samples.PACKETS.values()) == sorted(PacketKind)
    assert [int(kind) for kind in PacketKind] == list(range(1, 9))
    assert {member.state for member in samples.MEMBERS} == set(MemberState)
    assert {type(message) for message in samples.BUDGET_MESSAGES} == {
        budget_lending.BudgetRequest,
        budget_lending.BudgetGrant,
    }


# --- Lease messages -----------------------------------------------------------------------------------
@pytest.mark.parametrize("name", DATAGRAMS["leases"])
def test_a_lease_message_is_read_and_written(name):
    data = fixture_bytes("leases", name)
    assert lease_codec.decode(data) == samples.LEASE_MESSAGES[name]
    assert lease_codec.encode(samples.LEASE_MESSAGES[name]) == data


def test_lease_messages_of_all_kinds_are_covered():
    assert DATAGRAMS["leases"].keys() == samples.LEASE_MESSAGES.keys()
    assert {type(message) for message in samples.LEASE_MESSAGES.values()} == set(
        typing.get_args(lease_codec.Message)
    )
    kinds = {leases_pb2.Message.FromString(bytes.fromhex(data)).kind for data in DATAGRAMS["leases"].values()}
    assert kinds == {kind for kind in range(256) if is_lease_kind(kind)}


def is_lease_kind(kind: int) -> bool:
    """Return whether the codec decodes lease messages of a kind."""
    try:
        lease_codec.decode(leases_pb2.Message(kind=kind).SerializeToString())
    except lease_codec.MalformedMessageError:
        return False
    return True


def test_commands_of_all_kinds_are_covered():
    assert [command.kind for command in samples.COMMANDS] == ["acquire", "renew", "release", "expire"]


# --- Recovery messages --------------------------------------------------------------------------------
@pytest.mark.parametrize("name", DATAGRAMS["recovery"])
def test_a_recovery_message_is_written(name):
    parts = [part.hex() for part in peer_state_codec.encode_message(samples.RECOVERY_MESSAGES[name])]
    assert parts == DATAGRAMS["recovery"][name]


@pytest.mark.parametrize("name", ["ask", "word"])
def test_a_recovery_message_is_read(name):
    (data,) = DATAGRAMS["recovery"][name]
    assert peer_state_codec.decode_message(bytes.fromhex(data)) == samples.RECOVERY_MESSAGES[name]


def test_a_response_split_into_datagrams_is_read():
    """No single datagram claims to hold all changes, but together they hold them."""
    whole = samples.RECOVERY_MESSAGES["word in parts"]
    parts = [
        peer_state_codec.decode_message(bytes.fromhex(data))
        for data in DATAGRAMS["recovery"]["word in parts"]
    ]
    assert len(parts) > 2
    for part in parts:
        assert (part.discovery_address, part.version, part.requested_version, part.is_complete) == (
            samples.DISCOVERY_ADDRESS,
            41,
            40,
            False,
        )
        assert part.load_baseline.served_fraction == whole.load_baseline.served_fraction
    assert tuple(change for part in parts for change in part.changes) == whole.changes
    assert tuple(estimate for part in parts for estimate in part.latency_estimates) == whole.latency_estimates
    assert (
        tuple(rate for part in parts for rate in part.load_baseline.shard_rates)
        == whole.load_baseline.shard_rates
    )


def test_recovery_messages_of_all_kinds_are_covered():
    assert DATAGRAMS["recovery"].keys() == samples.RECOVERY_MESSAGES.keys()
    message_types = set(typing.get_args(typing.get_type_hints(peer_state_codec.decode_message)["return"]))
    assert {type(message) for message in samples.RECOVERY_MESSAGES.values()} == message_types
    assert {change.status for change in samples.TARGET_CHANGES} == set(TargetStatus)


# --- Token messages between schedulers ----------------------------------------------------------------
@pytest.mark.parametrize("name", DATAGRAMS["tokens"])
def test_a_token_message_is_read_and_written(name):
    data = fixture_bytes("tokens", name)
    assert token_messages.MESSAGE_LAYOUT.unpack(data) == samples.TOKEN_MESSAGES[name]
    assert token_messages.MESSAGE_LAYOUT.pack(*samples.TOKEN_MESSAGES[name]) == data


def test_token_messages_of_all_kinds_are_covered():
    assert {message[0] for message in samples.TOKEN_MESSAGES.values()} == {
        token_messages.Kind.REQUEST,
        token_messages.Kind.GRANT,
    }
    assert (token_messages.Kind.REQUEST, token_messages.Kind.GRANT) == (1, 2)


def test_a_scheduler_responds_to_a_token_request_with_a_grant():
    scheduler = SchedulerHarness(may_message=True, plans=(plan(limit=100.0, burst=50.0),))
    scheduler.handle(10.0, request(1, volume=17, volume_initiator_count=2))
    actions = scheduler.handle(10.1, PeerMessage(1, fixture_bytes("tokens", "ask")))
    assert actions == [SendPeerMessage(1, fixture_bytes("tokens", "grant"))]


# --- NVMe PDUs ----------------------------------------------------------------------------------------
def read_pdu(data: bytes) -> nvme.Pdu:
    """Decode the single PDU in the data."""
    reader = nvme.PduReader(nvme.FROM_HOST | nvme.FROM_CONTROLLER)
    consumed, pdu = reader.feed(memoryview(data))
    assert consumed == len(data)
    assert pdu is not None
    return pdu


def test_pdus_are_written_with_the_same_bytes():
    assert {name: data.hex() for name, data in samples.pdus().items()} == DATAGRAMS["nvme"]
    pages = {name: data.rstrip(b"\0").hex() for name, data in samples.identify_pages().items()}
    assert pages == DATAGRAMS["nvme pages"]


def test_pdus_of_all_kinds_are_covered():
    kinds = {read_pdu(bytes.fromhex(data)).kind for data in DATAGRAMS["nvme"].values()}
    assert kinds == set(nvme.HEADER_LENGTHS)


def test_connection_pdus_are_read():
    assert nvme.parse_ic(read_pdu(fixture_bytes("nvme", "ic request"))) == 2
    assert nvme.parse_ic(read_pdu(fixture_bytes("nvme", "ic response"))) == 65536
    for name in ("h2c term", "c2h term"):
        pdu = read_pdu(fixture_bytes("nvme", name))
        assert (nvme.parse_term(pdu), pdu.data) == ((4, 8), b"\x04\x00\x48")


def test_data_pdus_are_read():
    for name, fields, data, flags in (
        ("h2c data", (9, 4, 512, 4), b"data", 4),
        ("c2h data", (9, 0, 0, 4), b"back", 12),
        ("r2t", (9, 4, 512, 1024), b"", 0),
    ):
        pdu = read_pdu(fixture_bytes("nvme", name))
        assert (nvme.parse_data(pdu), pdu.data, pdu.flags) == (fields, data, flags)


def test_commands_are_read():
    read = nvme.parse_command(read_pdu(fixture_bytes("nvme", "read")))
    assert (read.opcode, read.cid, read.nsid, read.lba, read.blocks, read.length) == (2, 9, 3, 2**33, 8, 4096)
    write = read_pdu(fixture_bytes("nvme", "write"))
    command = nvme.parse_command(write)
    assert (command.opcode, command.lba, command.blocks, command.length) == (1, 5, 1, 8)
    assert write.data == b"written!"
    connect = read_pdu(fixture_bytes("nvme", "connect"))
    assert nvme.parse_connect(connect.data) == (0xFFFF, "nqn.subsystem", "nqn.host")


def test_a_completion_is_read():
    completion = nvme.parse_completion(read_pdu(fixture_bytes("nvme", "response")))
    assert completion == nvme.Completion(cid=7, status=0x181, result=2**33, delay=2, no_retry=True)


def test_identify_pages_are_read():
    page = fixture_bytes("nvme pages", "controller").ljust(nvme.IDENTIFY_DATA_BYTES, b"\0")
    assert nvme.capsule_limit(page) == 8192
    assert nvme.retry_delays(page) == (1, 2, 3)
