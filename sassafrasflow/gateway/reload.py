"""Apply changed settings to a running instance."""

import msgspec

from sassafrasflow.gateway import settings

__all__ = ["Reload", "merge"]

# The identity, addresses and location of an instance change only with a
# restart, because other parties rely on them while it runs.
RESTART_ONLY = (
    "instance",
    "data_centre",
    "regions",
    "host",
    "caller_address",
    "health_address",
    "exchange_port",
    "store_address",
)


class Reload(msgspec.Struct, frozen=True):
    """Result of a reload of the settings file."""

    settings: settings.GatewaySettings
    # Names of settings that change now.
    changed: tuple[str, ...]
    # Names of settings that change only after a restart.
    postponed: tuple[str, ...]


def merge(
    old: settings.GatewaySettings, new: settings.GatewaySettings
) -> Reload:
    """Combine new settings with the old values that need a restart."""
    fields = msgspec.structs.fields(settings.GatewaySettings)
    differing = [
        field.name
        for field in fields
        if getattr(old, field.name) != getattr(new, field.name)
    ]
    postponed = [name for name in differing if name in RESTART_ONLY]
    fixed = {name: getattr(old, name) for name in postponed}
    return Reload(
        msgspec.structs.replace(new, **fixed),
        tuple(name for name in differing if name not in RESTART_ONLY),
        tuple(postponed),
    )
