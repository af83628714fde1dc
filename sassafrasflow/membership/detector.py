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
        self._deadlines: dict[ids.InstanceId, float] = {}
        self._asked_by: dict[ids.InstanceId, set[ids.InstanceId]] = {}

    def unanswered(self, instance: ids.InstanceId, now_s: float) -> bool:
        """Note a failed probe and tell whether others should be asked."""
        if instance in self._deadlines:
            return False
        wait_s = self._policy.indirect_timeout_ms / policies.MS_PER_S
        self._deadlines[instance] = now_s + wait_s
        return True

    def answered(self, instance: ids.InstanceId) -> set[ids.InstanceId]:
        """Note a sign of life and return who asked for one."""
        self._deadlines.pop(instance, None)
        return self._asked_by.pop(instance, set())

    def confirmed(self, instance: ids.InstanceId) -> None:
        """Note that another instance reached a member."""
        self._deadlines.pop(instance, None)

    def ask(self, instance: ids.InstanceId, requester: ids.InstanceId) -> None:
        """Note that a member wants to hear whether another one answers."""
        self._asked_by.setdefault(instance, set()).add(requester)

    def give_up(self, instance: ids.InstanceId) -> None:
        """Forget requests about a member that did not answer."""
        self._asked_by.pop(instance, None)

    def reset(self) -> None:
        """Forget every missing answer, after this instance was paused."""
        self._deadlines.clear()
        self._asked_by.clear()

    def overdue(self, now_s: float) -> Iterator[ids.InstanceId]:
        """Yield and forget members that nobody reached in time."""
        due = [name for name, at in self._deadlines.items() if at <= now_s]
        for name in due:
            del self._deadlines[name]
            yield name

    def unrefuted(
        self, table: members.MemberTable, now_s: float
    ) -> list[view.Peer]:
        """Return suspected members whose time to refute is over."""
        wait_s = self._policy.suspect_ms / policies.MS_PER_S
        return [
            member.peer
            for member in table.suspects()
            if member.since_s + wait_s <= now_s
        ]
