"""The identifiers that the processes of an upgrade share, without processes."""

from __future__ import annotations

import errno
import os

import pytest

from stalltiller.adapters.recent_request_ids import RecentRequestIds
from stalltiller.daemon import claim_journal
from stalltiller.daemon.process_handover import ProcessHandover


class Sharing:
    """The identifiers of an old and a new process that share a folder."""

    def __init__(self, folder) -> None:
        self.errors: list[OSError] = []
        self.handover = ProcessHandover(str(folder), "n1")
        self.old = RecentRequestIds(5.0)
        self.new = RecentRequestIds(5.0)

    def start(self) -> None:
        self.handover.publish_claims(self.old, self.errors.append)
        self.journal = self.handover.adopt_claims(self.new, self.errors.append)


@pytest.fixture
def sharing(tmp_path):
    return Sharing(tmp_path)


def test_each_identifier_is_claimed_once_by_two_processes(sharing):
    assert sharing.old.claim(0.0, "before")
    sharing.start()
    assert not sharing.new.claim(0.1, "before")
    claimed = [
        (name, process.claim(0.2, name))
        for name in ("a", "b", "c")
        for process in ((sharing.old, sharing.new) if name != "b" else (sharing.new, sharing.old))
    ]
    assert claimed == [(name, is_first) for name in ("a", "b", "c") for is_first in (True, False)]
    assert sharing.errors == []


def test_what_the_old_process_claims_last_is_kept_and_the_file_removed(sharing, tmp_path):
    sharing.start()
    assert sharing.old.claim(0.1, "last")
    sharing.handover.end_sharing(sharing.new, sharing.journal)
    assert not sharing.new.claim(0.2, "last") and sharing.new.claim(0.2, "other")
    assert not (tmp_path / "stalltiller-n1.ids").exists()


def test_a_process_that_is_replaced_soon_shares_with_the_next_one(sharing, tmp_path):
    """Guards against the end of the first sharing, which comes after the second has begun."""
    sharing.start()
    third = RecentRequestIds(5.0)
    sharing.handover.publish_claims(sharing.new, sharing.errors.append)
    sharing.handover.adopt_claims(third, sharing.errors.append)
    sharing.handover.end_sharing(sharing.new, sharing.journal)
    assert sharing.new.claim(0.1, "a") and not third.claim(0.1, "a")
    assert third.claim(0.2, "b") and not sharing.new.claim(0.2, "b")


def test_a_file_that_can_not_be_written_leaves_each_process_its_own_claims(sharing, monkeypatch):
    sharing.start()

    def fail(descriptor, data):
        raise OSError(errno.ENOSPC, "no space left")

    monkeypatch.setattr(claim_journal.os, "write", fail)
    assert [sharing.old.claim(0.1, "a") for _ in range(2)] == [True, False]
    assert [error.errno for error in sharing.errors] == [errno.ENOSPC]
    monkeypatch.undo()
    assert sharing.old.claim(0.2, "b") and len(sharing.errors) == 1


def test_without_a_folder_or_a_previous_process_nothing_is_shared(tmp_path):
    recent_ids = RecentRequestIds(5.0)
    assert ProcessHandover(None, "n1").adopt_claims(recent_ids, lambda _: None) is None
    assert ProcessHandover(str(tmp_path), "n1").adopt_claims(recent_ids, lambda _: None) is None
    assert recent_ids.claim(0.0, "a")


def test_identifiers_are_remembered_for_the_retention_however_many_there_are():
    recent_ids = RecentRequestIds(5.0)
    assert recent_ids.claim(0.0, "first")
    assert all(recent_ids.claim(4.9 * number / 40_000, f"id{number}") for number in range(40_000))
    assert not recent_ids.claim(4.95, "first")


def test_an_identifier_is_remembered_while_its_exchange_goes_on_and_for_the_retention_after_it():
    """Guards against an identifier that is forgotten while its response is still being passed on."""
    recent_ids = RecentRequestIds(5.0)
    assert recent_ids.claim(0.0, "long")
    for number in range(1, 8):
        assert recent_ids.claim(6.0 * number, f"other{number}")
        assert not recent_ids.claim(6.0 * number, "long")
    recent_ids.release("long")
    assert not recent_ids.claim(46.0, "long")
    assert recent_ids.claim(60.0, "other") and recent_ids.claim(70.0, "another")
    assert recent_ids.claim(71.0, "long")


def test_what_a_process_has_claimed_stays_claimed_until_it_has_ended(sharing, tmp_path):
    """Guards against a sharing that ends with the time of a drain, while an exchange of it goes on."""
    next_handover = ProcessHandover(str(tmp_path), "n1")
    assert sharing.old.claim(0.0, "long")
    sharing.handover.publish_claims(sharing.old, sharing.errors.append)
    sharing.journal = next_handover.adopt_claims(sharing.new, sharing.errors.append)
    assert sharing.journal.may_other_claim() and not sharing.journal.has_other_ended()
    sharing.handover.end_claims()
    assert not sharing.journal.may_other_claim() and not sharing.journal.has_other_ended()
    next_handover.stop_claiming(sharing.new, sharing.journal)
    assert all(sharing.new.claim(6.0 * number, f"other{number}") for number in range(1, 8))
    assert not sharing.new.claim(50.0, "long")
    os.close(sharing.handover._published_claims._descriptor)  # as the end of its process does
    assert sharing.journal.has_other_ended()
    next_handover.end_sharing(sharing.new, sharing.journal)
    assert not sharing.new.claim(50.0, "long")
    assert not (tmp_path / "stalltiller-n1.ids").exists()
