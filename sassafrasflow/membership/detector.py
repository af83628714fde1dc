"""Failure detection: unanswered probes, suspicion, then death."""

from collections.abc import Iterator

from sassafrasflow import ids
from sassafrasflow.membership import members
from sassafrasflow.membership import policy as policies
from sassafrasflow.membership import view

__all__ = ["FailureDetector"]


class FailureDetector:
    """Turn missing answers into beliefs about members.

    A suspicion needs a direct probe and its indirect probes to fail; death
    needs a suspicion that nobody refuted in time.
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
        """Note a failed probe and tell whether others should be asked."""
        if instance in self._deadline_by_instance:
            return False
        wait_s = self._policy.indirect_timeout_ms / policies.MS_PER_S
        self._deadline_by_instance[instance] = now_s + wait_s
        return True

    def record_answer(self, instance: ids.InstanceId) -> set[ids.InstanceId]:
        """Note a sign of life and return who asked for one."""
        self._deadline_by_instance.pop(instance, None)
        return self._requesters_by_instance.pop(instance, set())

    def record_confirmation(self, instance: ids.InstanceId) -> None:
        """Note that another instance reached a member."""
        self._deadline_by_instance.pop(instance, None)

    def record_request(
        self, instance: ids.InstanceId, requester: ids.InstanceId
    ) -> None:
        """Note that a member wants to hear whether another one answers."""
        self._requesters_by_instance.setdefault(instance, set()).add(requester)

    def drop_requests(self, instance: ids.InstanceId) -> None:
        """Forget requests about a member that did not answer."""
        self._requesters_by_instance.pop(instance, None)

    def reset(self) -> None:
        """Forget every missing answer, after this instance was paused."""
        self._deadline_by_instance.clear()
        self._requesters_by_instance.clear()

    def pop_overdue(self, now_s: float) -> Iterator[ids.InstanceId]:
        """Yield and forget members that nobody reached in time."""
        due = [
            name
            for name, at in self._deadline_by_instance.items()
            if at <= now_s
        ]
        for name in due:
            del self._deadline_by_instance[name]
            yield name

    def unrefuted_suspects(
        self, table: members.MemberTable, now_s: float
    ) -> list[view.Peer]:
        """Return suspected members whose time to refute is over."""
        wait_s = self._policy.suspect_ms / policies.MS_PER_S
        return [
            member.peer
            for member in table.suspects()
            if member.since_s + wait_s <= now_s
        ]
