"""Raft's elections with pre-vote: this voter's candidacies, and its votes for other candidates.

Source: Ongaro's thesis, sections 3.4 (elections), 9.6 (pre-vote) and 3.10 (leadership transfer).
"""

from __future__ import annotations

from collections.abc import Callable

from stalltiller.leases.messages import RequestVote, RequestVoteResponse
from stalltiller.leases.raft_state import RaftState, Role


class Elections:
    """Starts elections and responds to other candidates; calls `on_elected` when this voter is elected."""

    def __init__(self, state: RaftState, on_elected: Callable[[], None]) -> None:
        self._state = state
        self._on_elected = on_elected
        self._votes: set[str] = set()

    def start_pre_vote(self) -> None:
        """Request pre-votes, which show whether an election could be won, without changing the term."""
        self._campaign_as(Role.PRE_CANDIDATE)
        if self._has_won():
            self.start_election()
        else:
            self._request_votes(self._state.term + 1, is_pre_vote=True, is_leadership_transfer=False)

    def start_election(self, is_leadership_transfer: bool = False) -> None:
        """Start a new term and request votes."""
        state = self._state
        state.term += 1
        state.voted_for = state.name
        state.persist_vote()
        self._campaign_as(Role.CANDIDATE)
        if self._has_won():
            self._on_elected()
        else:
            self._request_votes(state.term, False, is_leadership_transfer)

    def handle_timeout_now(self, sender: str) -> None:
        """Start an election if the current leader requests it."""
        if sender == self._state.leader and self._state.role is Role.FOLLOWER:
            self.start_election(is_leadership_transfer=True)

    def handle_request(self, sender: str, request: RequestVote) -> None:
        """Respond to a candidate.

        No vote is granted while a leader is active, so a voter that returns from a partition can't depose it.
        """
        if self._has_active_leader() and not request.is_leadership_transfer:
            self._reject_for_active_leader(sender, request)
        elif request.is_pre_vote:
            self._respond_to_pre_vote(sender, request)
        else:
            self._respond_to_vote_request(sender, request)

    def handle_response(self, sender: str, response: RequestVoteResponse) -> None:
        """Count a vote if it belongs to this voter's current election."""
        state = self._state
        role = Role.PRE_CANDIDATE if response.is_pre_vote else Role.CANDIDATE
        term = state.term + 1 if response.is_pre_vote else state.term
        if not response.is_granted or state.role is not role or response.term != term:
            return
        self._votes.add(sender)
        if not self._has_won():
            return
        if response.is_pre_vote:
            self.start_election()
        else:
            self._on_elected()

    def _campaign_as(self, role: Role) -> None:
        self._state.role = role
        self._state.leader = None
        self._votes = {self._state.name}
        self._state.reset_election_timer()

    def _has_won(self) -> bool:
        return self._state.is_quorum(len(self._votes))

    def _request_votes(self, term: int, is_pre_vote: bool, is_leadership_transfer: bool) -> None:
        state = self._state
        request = RequestVote(term, is_pre_vote, state.last_index, state.last_term, is_leadership_transfer)
        for voter in state.other_voters:
            state.send(voter, request)

    def _has_active_leader(self) -> bool:
        state = self._state
        return state.role is Role.LEADER or state.now - state.last_leader_contact_at < state.timeouts.election

    def _reject_for_active_leader(self, sender: str, request: RequestVote) -> None:
        """Reject a vote; a pre-vote for a newer term is ignored, since no response could help its sender."""
        if request.term <= self._state.term or not request.is_pre_vote:
            self._state.send(sender, RequestVoteResponse(self._state.term, request.is_pre_vote, False))

    def _is_log_up_to_date(self, request: RequestVote) -> bool:
        own_log = (self._state.last_term, self._state.last_index)
        return (request.last_log_term, request.last_log_index) >= own_log

    def _respond_to_pre_vote(self, sender: str, request: RequestVote) -> None:
        state = self._state
        is_granted = request.term >= state.term and self._is_log_up_to_date(request)
        state.send(sender, RequestVoteResponse(request.term if is_granted else state.term, True, is_granted))

    def _respond_to_vote_request(self, sender: str, request: RequestVote) -> None:
        state = self._state
        if request.term > state.term:
            state.become_follower(request.term)
        is_granted = (
            request.term == state.term
            and self._is_log_up_to_date(request)
            and state.voted_for in (None, sender)
        )
        if is_granted and state.voted_for is None:
            state.voted_for = sender
            state.persist_vote()
        if is_granted:
            state.reset_election_timer()
        state.send(sender, RequestVoteResponse(state.term, False, is_granted))
