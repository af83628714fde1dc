"""Settings that take effect while an instance runs."""

import msgspec

from sassafrasflow.gateway import settings

__all__ = ["Reload", "merge"]

# Who the instance is, where it listens and what it belongs to: others rely
# on these until its end.
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
    """Tell what a changed settings file brings."""

    settings: settings.GatewaySettings
    changed: tuple[str, ...]
    # Changed in the file, but in force only after a restart.
    postponed: tuple[str, ...]


def merge(
    old: settings.GatewaySettings, new: settings.GatewaySettings
) -> Reload:
    """Take over what may change while the instance runs."""
    fields = msgspec.structs.fields(settings.GatewaySettings)
    differing = [
        field.name
        for field in fields
        if getattr(old, field.name) != getattr(new, field.name)
    ]
    postponed = [name for name in differing if name in RESTART_ONLY]
    kept = {name: getattr(old, name) for name in postponed}
    return Reload(
        msgspec.structs.replace(new, **kept),
        tuple(name for name in differing if name not in RESTART_ONLY),
        tuple(postponed),
    )
