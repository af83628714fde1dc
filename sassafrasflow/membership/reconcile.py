"""Anti-entropy: exchange of the entries in which two tables differ.

The receiver of a digest that differs from its own answers with one short
digest for each bucket. The sender then lists its versions in the buckets that
differ, gets newer entries and sends the entries that the receiver wants.
"""

import random

from sassafrasflow.membership import messages
from sassafrasflow.membership import shared
from sassafrasflow.membership import state as states

__all__ = ["Reconciler"]


class Reconciler:
    """Compare the table of this instance with the table of a peer."""

    def __init__(self, state: states.GossipState, rng: random.Random) -> None:
        self._state = state
        self._rng = rng

    def buckets(
        self, message: messages.Gossip, *, always: bool
    ) -> tuple[int, ...]:
        """Return bucket digests if the sender's digest differs.

        Without ``always``, return none when the spare bytes are used up.
        """
        table = self._state.table
        if not message.digest or message.digest == table.digest():
            return ()
        if not always and not self._state.available_bytes(spare=True):
            return ()
        return table.buckets()

    def compare(
        self, message: messages.Gossip
    ) -> tuple[list[shared.Entry], list[int]]:
        """Return the entries to send back and the key hashes to request."""
        send: list[shared.Entry] = []
        wanted: list[int] = []
        if message.asked:
            send, wanted = self._state.table.compare(
                message.asked, message.versions
            )
        if message.wanted:
            send += self._state.table.by_hash(message.wanted)
        return self._local_members_first(send), wanted

    def request_versions(self, answer: messages.Gossip) -> messages.Gossip:
        """Return a message with the versions in the buckets that differ.

        It lists as many buckets as the byte budget allows, but at least one.
        """
        differing = self._state.table.differing_buckets(answer.buckets)
        self._rng.shuffle(differing)
        asked: list[int] = []
        versions: list[messages.KnownVersion] = []
        max_versions = self._state.available_bytes() // messages.VERSION_BYTES
        for number in differing:
            stored = list(self._state.table.versions([number]))
            if asked and len(versions) + len(stored) > max_versions:
                break
            asked.append(number)
            versions += stored
        return messages.Gossip(
            sender=self._state.me,
            asked=tuple(asked),
            versions=tuple(versions),
        )

    def _local_members_first(
        self, entries: list[shared.Entry]
    ) -> list[shared.Entry]:
        return sorted(entries, key=self._is_remote_member)

    def _is_remote_member(self, entry: shared.Entry) -> bool:
        if entry.topic is not shared.Topic.MEMBER:
            return False
        member = self._state.members.get(entry.origin)
        local_data_centre = self._state.me.data_centre
        return (
            member is not None and member.peer.data_centre != local_data_centre
        )
