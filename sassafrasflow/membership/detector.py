"""Failure detection: unanswered probes, suspicion, declaration as dead."""

from collections.abc import Iterator

from sassafrasflow import ids
from sassafrasflow.membership import members
from sassafrasflow.membership import policy as policies
from sassafrasflow.membership import view

__all__ = ["FailureDetector"]


class FailureDetector:
    """Derive the status of members from missing answers.

    A member is suspected when a direct probe and its indirect probes fail.
    It is dead when nobody refuted the suspicion in time.
    """

    def __init__(self, policy: policies.GossipPolicy) -> None:
        self._policy = policy
        self._deadline_by_instance: dict[ids.InstanceId, float] = {}
        self._requesters_by_instance: dict[
            ids.InstanceId, set[ids.InstanceId]
        ] = {}

    def record_unanswered_probe(
        self, instance: ids.InstanceId, now_s: float
    ) -> bool:
        """Record a failed probe; return whether to start indirect probes."""
        if instance in self._deadline_by_instance:
            return False
        wait_s = self._policy.indirect_timeout_ms / policies.MS_PER_S
        self._deadline_by_instance[instance] = now_s + wait_s
        return True

    def record_answer(self, instance: ids.InstanceId) -> set[ids.InstanceId]:
        """Record an answer; return who requested an indirect probe."""
        self._deadline_by_instance.pop(instance, None)
        return self._requesters_by_instance.pop(instance, set())

    def record_confirmation(self, instance: ids.InstanceId) -> None:
        """Record that another instance reached a member."""
        self._deadline_by_instance.pop(instance, None)

    def record_request(
        self, instance: ids.InstanceId, requester: ids.InstanceId
    ) -> None:
        """Record that a peer requested an indirect probe of a member."""
        self._requesters_by_instance.setdefault(instance, set()).add(requester)

    def drop_requests(self, instance: ids.InstanceId) -> None:
        """Drop the requests to probe a member that did not answer."""
        self._requesters_by_instance.pop(instance, None)

    def reset(self) -> None:
        """Drop missing answers and requests after a suspension."""
        self._deadline_by_instance.clear()
        self._requesters_by_instance.clear()

    def pop_overdue(self, now_s: float) -> Iterator[ids.InstanceId]:
        """Yield and remove the members that nobody reached in time."""
        overdue = [
            name
            for name, at in self._deadline_by_instance.items()
            if at <= now_s
        ]
        for name in overdue:
            del self._deadline_by_instance[name]
            yield name

    def unrefuted_suspects(
        self, table: members.MemberTable, now_s: float
    ) -> list[view.Peer]:
        """Return the suspected members that did not refute in time."""
        wait_s = self._policy.suspect_ms / policies.MS_PER_S
        return [
            member.peer
            for member in table.suspects()
            if member.since_s + wait_s <= now_s
        ]
