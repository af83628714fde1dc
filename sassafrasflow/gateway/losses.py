"""Forward the losses of targets to the instances that need to know."""

from collections.abc import Callable
from collections.abc import Iterable

from sassafrasflow import ids
from sassafrasflow.gateway import loads
from sassafrasflow.gateway import peer_table
from sassafrasflow.gateway import registry as registries

__all__ = ["LossForwarder"]

# Number of losses that are forwarded within the window, the time in which a
# failing data centre loses its engines. Two losses already show that more than
# one engine failed.
MAX_FORWARDED_LOSSES = 3
FORWARDED_LOSS_WINDOW_S = 1.2


class LossForwarder:
    """Forward notices of losses hop by hop."""

    def __init__(
        self,
        peers: peer_table.PeerTable,
        load_table: loads.LoadTable,
        send: Callable[
            [Iterable[registries.InstanceEntry], loads.LossNotice], None
        ],
    ) -> None:
        self._peers = peers
        self._load_table = load_table
        self._send = send
        # Times of the losses that were forwarded lately, by target.
        self._forwarded_at: dict[ids.TargetId, float] = {}

    def forward(self, notice: loads.LossNotice, now: float) -> None:
        """Forward a loss to the instances of the notice's next hop.

        A data centre may lose its engines within 0.1 s. Instances with work
        there then check their streams at once, and none places more work
        there.
        """
        if notice.hop > 1 or not self._may_forward(notice.target, now):
            return
        notified = {notice.sender.id, self._peers.own_entry.id}
        if notice.hop == 0:
            local_peers = self._peers.local_peers(now)
            forwarded = loads.LossNotice(
                self._peers.own_entry, notice.target, 1
            )
            self._send(
                [e for e in local_peers if e.id not in notified], forwarded
            )
            notified.update(entry.id for entry in local_peers)
        users: set[ids.InstanceId] = set()
        for target in self._load_table.targets():
            users |= self._load_table.instances_using(target, now)
        entries = [
            entry
            for entry in self._peers.live(now)
            if entry.id in users - notified
        ]
        forwarded = loads.LossNotice(self._peers.own_entry, notice.target, 2)
        self._send(entries, forwarded)

    def _may_forward(self, target: ids.TargetId, now: float) -> bool:
        """Return whether a loss is among the first within the window."""
        self._forwarded_at = {
            forwarded: at
            for forwarded, at in self._forwarded_at.items()
            if now - at < FORWARDED_LOSS_WINDOW_S
        }
        if (
            target in self._forwarded_at
            or len(self._forwarded_at) >= MAX_FORWARDED_LOSSES
        ):
            return False
        self._forwarded_at[target] = now
        return True
