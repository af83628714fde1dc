"""Settings files and configurations in the format of the platform."""

from sassafrasflow.platform.tests import standins


def node_settings(
    name: str,
    data_centre: str,
    ports: tuple[int, int, int],
    store_port: int,
) -> dict:
    """Return the content of the settings file of an instance."""
    front, ready, exchange = ports
    return {
        "Node": name,
        "Ip": standins.HOST,
        "Zone": data_centre,
        "Zones": {"a": "north", "b": "south"},
        "Listen": {
            "Front": f"{standins.HOST}:{front}",
            "Ready": f"{standins.HOST}:{ready}",
        },
        "InternalPorts": [exchange, exchange],
        "Platform": {"Address": f"{standins.HOST}:{store_port}"},
        "Bounds": {
            "GraceS": 4.0,
            "RetryBudgetRatio": 0.8,
            "BudgetSlack": 150,
        },
    }


def route(name: str, kind: str, **changes):
    """Return a route of a configuration."""
    fields = {
        "Name": name,
        "Host": "shop.example",
        "Prefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": 2000,
        "TargetLatencyMs": 300,
        "Priority": 1,
        "Service": "pool",
        "MaxAttempts": 3,
        "AuthExempt": False,
    }
    return {**fields, **changes}


def configuration(version: int = 1, **changes):
    """Return a complete configuration."""
    fields = {
        "Version": version,
        "Routes": [
            route("read", "idempotent"),
            route("book", "non_idempotent", MaxAttempts=1),
            route(
                "plan",
                "streaming",
                Resumable=True,
                TargetGapMs=700,
                TimeoutMs=8000,
                TargetLatencyMs=4500,
            ),
        ],
        "Services": [
            {
                "Name": "pool",
                "MaxConnections": 100,
                "Engine": {
                    "Slots": 4,
                    "KvCapacityTokens": 90000,
                    "Backups": True,
                },
            }
        ],
        "Limits": {
            "MaxHeaderBytes": 4096,
            "MaxBodyBytes": 65536,
            "HeaderTimeoutMs": 1000,
            "IdleTimeoutMs": 5000,
        },
        "Tenants": [{"Name": "club", "ApiKeys": ["secret"], "Priority": 1}],
    }
    return {**fields, **changes}


def limit_stream_targets(config: dict, most: int) -> dict:
    """Limit the number of targets that may run one stream."""
    config["Routes"][2]["MaxAttempts"] = most
    return config


def without_keys(config: dict) -> dict:
    """Return the configuration without any API key."""
    return {**config, "Tenants": []}
