"""Anti-entropy: find and exchange the entries in which two tables differ.

A digest that differs is answered with one short digest for each bucket;
the asker lists its versions in the buckets that differ, gets the newer
entries and sends those that the other side wants.
"""

import random

from sassafrasflow.membership import messages
from sassafrasflow.membership import shared
from sassafrasflow.membership import state as states

__all__ = ["Reconciler"]


class Reconciler:
    """Compare the table of this instance with that of a peer."""

    def __init__(self, state: states.GossipState, rng: random.Random) -> None:
        self._state = state
        self._rng = rng

    def buckets(
        self, message: messages.Gossip, *, always: bool
    ) -> tuple[int, ...]:
        """Return bucket digests if the sender's digest differs."""
        table = self._state.table
        if not message.digest or message.digest == table.digest():
            return ()
        if not always and not self._state.available_bytes(spare=True):
            return ()
        return table.buckets()

    def compare(
        self, message: messages.Gossip
    ) -> tuple[list[shared.Entry], list[int]]:
        """Return the entries that the sender lacks and those to ask for."""
        send: list[shared.Entry] = []
        want: list[int] = []
        if message.asked:
            send, want = self._state.table.compare(
                message.asked, message.versions
            )
        if message.wanted:
            send += self._state.table.by_hash(message.wanted)
        return self._local_members_first(send), want

    def request_versions(self, answer: messages.Gossip) -> messages.Gossip:
        """Return the message that lists versions in differing buckets."""
        differing = self._state.table.differing_buckets(answer.buckets)
        self._rng.shuffle(differing)
        asked: list[int] = []
        versions: list[messages.KnownVersion] = []
        room = self._state.available_bytes() // messages.VERSION_BYTES
        for number in differing:
            found = list(self._state.table.versions([number]))
            if asked and len(versions) + len(found) > room:
                break
            asked.append(number)
            versions += found
        return messages.Gossip(
            sender=self._state.me,
            asked=tuple(asked),
            versions=tuple(versions),
        )

    def _local_members_first(
        self, found: list[shared.Entry]
    ) -> list[shared.Entry]:
        return sorted(found, key=self._is_remote_member)

    def _is_remote_member(self, entry: shared.Entry) -> bool:
        if entry.topic is not shared.Topic.MEMBER:
            return False
        member = self._state.members.get(entry.origin)
        mine = self._state.me.data_centre
        return member is not None and member.peer.data_centre != mine
