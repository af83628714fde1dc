"""What an instance knows of those that share the slack with it."""

import msgspec

__all__ = ["FleetKnowledge"]


class FleetKnowledge(msgspec.Struct, frozen=True):
    """What an instance knows of the others since its start."""

    # Whether the list of instances has been read.
    is_read: bool
    peers: int
    # Live peers that have sent nothing to this instance yet. Who sends to it
    # counts it among the instances.
    unheard: int

    @property
    def is_counted(self) -> bool:
        """Return whether every live peer counts this instance."""
        return self.is_read and not self.unheard
